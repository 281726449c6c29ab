/** Starts a whole fleet with stand-ins for its platform and targets, as separate processes on loopback. For development and tests only. */

import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createRuntime} from '@guavapitch/core';
import {changeConfiguration, readConfiguration} from '@guavapitch/configuration';
import type {Inventory} from '@guavapitch/inventory';
import {
	issueKey, openFleetClient, withdrawKey, type FleetClient, type ProxyStatus,
} from '@guavapitch/operator';
import type {PeerTls} from '@guavapitch/peer-protocol';
import {openEtcdStore, type EtcdStore} from '@guavapitch/store';
import type {EventRecord} from '@guavapitch/telemetry';
import {parseEvents} from '@guavapitch/timeline';
import {createPeerLinks, type PeerLinks} from './relays.js';

/** A child process that runs a program of the project. */
export type ChildProgram = Readonly<{
	name: string;
	process: ChildProcess;
	/** Resolves when the process has exited. */
	exited: Promise<void>;
}>;

/** A proxy process of the stack, with its ports for callers and for peers. */
export type StackProxy = ChildProgram & Readonly<{vm: string; dataCentre: string; port: number; peerPort: number}>;

/** A target process of the stack. */
export type StackTarget = ChildProgram & Readonly<{port: number; database: string}>;

/** Options of a stack. */
export type StackOptions = Readonly<{
	inventory: Inventory;
	/** Proxies in each data centre. */
	proxiesPerDataCentre: number;
	/** Time to open a connection to a target, in milliseconds. */
	connectMs: number;
	/** Time that a statement occupies a slot of a target, in milliseconds. */
	statementMs: number;
	/** Delay of replay on the replicas, in milliseconds. */
	lagMs: number;
	/** Additional command-line flags of every proxy. */
	extraProxyFlags?: readonly string[];
	/** Connects the proxies through relays, so that they can be partitioned from each other. */
	usesRelays?: boolean;
	/** Records all bytes that targets receive. */
	recordsTraffic?: boolean;
	/** TLS certificate and key with which this process calls the proxies. */
	peerTls?: PeerTls;
}>;

/** A running stack; disposing of it kills all its processes. */
export type Stack = AsyncDisposable & Readonly<{
	/** Inventory from the options, without the addresses and keys that the stack adds to it. */
	inventory: Inventory;
	store: EtcdStore;
	fleet: FleetClient;
	platform: ChildProgram;
	platformPort: number;
	/** Proxies by vm. */
	proxies: Map<string, StackProxy>;
	/** Targets by name. */
	targets: Map<string, StackTarget>;
	/** Secret of each customer's key, by customer. */
	secrets: ReadonlyMap<string, string>;
	links: PeerLinks;
	/** Folder with the log files of the proxies. */
	logFolder: string;
	/** Starts a proxy, or restarts one of the same name on its former ports. */
	startProxy: (vm: string, dataCentre: string) => Promise<StackProxy>;
	/** Starts or restarts a target: as a primary without an upstream, otherwise as a replica of it. With an empty string, the replica starts without a reachable upstream. */
	startTarget: (name: string, upstream: string | undefined) => Promise<StackTarget>;
	/** Changes the active configuration; returns the new revision. */
	changeConfiguration: (update: (inventory: Inventory) => Inventory) => Promise<number>;
	/** Withdraws a customer's key; returns the new revision of the configuration. */
	withdrawKey: (keyId: string) => Promise<number>;
	/** Returns the status of every proxy that responds. */
	getStatuses: () => Promise<readonly ProxyStatus[]>;
	/** Waits until every proxy serves and regards all members as alive, and all replicas of every database are synced; throws after 30 s. */
	waitUntilReady: () => Promise<void>;
	/** Reads the events in the log files of all proxies. */
	readEvents: () => readonly EventRecord[];
	/** Returns the bytes that the targets received as Latin-1 text; empty unless `recordsTraffic` is set. */
	readReceivedTraffic: () => string;
}>;

type Relay = Readonly<{port: number; server: AsyncDisposable}>;

const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
const STORE_TIMEOUT_MS = 2000;
const require = createRequire(import.meta.url);

const getProgramPath = (name: string): string => path.join(path.dirname(require.resolve(`@guavapitch/${name}`)), 'main.js');

/** First port, and number of ports, among which free ports are looked for. */
const FIRST_PORT = 10_000;
const PORT_RANGE = 20_000;
/** Distance between the first ports of processes with consecutive identifiers, so that stacks in parallel processes rarely try the same ports. */
const PORT_STEP = 97;
let lastPort = FIRST_PORT + ((process.pid * PORT_STEP) % PORT_RANGE);

const isPortFree = async (port: number): Promise<boolean> => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/** Finds a port that is free now, below the ephemeral ports that the system gives to outgoing connections. Does not return the same port again before all others of its range. */
export const findFreePort = async (): Promise<number> => {
	while (true) {
		lastPort = FIRST_PORT + ((lastPort + 1 - FIRST_PORT) % PORT_RANGE);
		const port = lastPort;
		if (await isPortFree(port)) {
			return port;
		}
	}
};

const runningChildren = new Set<ChildProcess>();
process.on('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/** Starts the program of a package as a child process, with command-line arguments and flags for Node; the child is killed when this process exits. */
export const startChild = (name: string, program: string, args: readonly string[], nodeFlags: readonly string[] = []): ChildProgram => {
	const child = spawn(process.execPath, [...nodeFlags, getProgramPath(program), ...args], {stdio: ['ignore', 'ignore', 'inherit']});
	runningChildren.add(child);
	const exited = new Promise<void>(resolve => {
		child.once('exit', () => {
			runningChildren.delete(child);
			resolve();
		});
	});
	return {name, process: child, exited};
};

const stopChild = async (child: ChildProgram, signal: NodeJS.Signals): Promise<void> => {
	child.process.kill('SIGCONT');
	child.process.kill(signal);
	await child.exited;
};

const readLog = (file: string): readonly EventRecord[] => parseEvents(readFileSync(file, 'utf8')).unwrap();

/** Starts a stack and waits until it serves; if that fails, stops all its processes and throws. */
export const startStack = async (options: StackOptions): Promise<Stack> => {
	const stack = await launchStack(options);
	try {
		await stack.start();
		return stack;
	} catch (error) {
		await stack[Symbol.asyncDispose]();
		throw error;
	}
};

/** Starts the stand-in of the platform; the targets and proxies are started by `start`. */
const launchStack = async (options: StackOptions): Promise<Stack & Readonly<{start: () => Promise<void>}>> => {
	const runtime = createRuntime();
	const logFolder = mkdtempSync(path.join(os.tmpdir(), 'guavapitch-'));
	const trafficFolder = options.recordsTraffic === true ? mkdtempSync(path.join(os.tmpdir(), 'guavapitch-')) : undefined;
	const platformPort = await findFreePort();
	const platform = startChild('platform', 'standin', ['platform', '--port', String(platformPort)]);
	const store = openEtcdStore({address: `127.0.0.1:${platformPort}`, callTimeoutMs: STORE_TIMEOUT_MS}, runtime);
	const fleet = openFleetClient(runtime, options.peerTls);
	const proxies = new Map<string, StackProxy>();
	const targets = new Map<string, StackTarget>();
	const secrets = new Map<string, string>();
	const links = createPeerLinks(runtime);
	const relays = new Map<string, Relay>();

	const waitFor = async (description: string, isReady: () => Promise<boolean>) => {
		const deadlineMs = runtime.now() + READY_TIMEOUT_MS;
		while (!await isReady()) {
			if (runtime.now() > deadlineMs) {
				throw new Error(`Not ready in time: ${description}`);
			}

			await runtime.sleep(POLL_MS);
		}
	};

	const findTargetSettings = (name: string) => {
		for (const [database, settings] of Object.entries(options.inventory.databases)) {
			const target = settings.targets.find(candidate => candidate.name === name);
			if (target) {
				return {database, target};
			}
		}

		throw new Error(`The inventory has no target ${name}`);
	};

	let isStopped = false;
	const assertNotStopped = () => {
		if (isStopped) {
			throw new Error('The stack has been stopped');
		}
	};

	const ports = new Map<string, number>();
	const startTarget = async (name: string, upstream: string | undefined): Promise<StackTarget> => {
		const {database, target} = findTargetSettings(name);
		const port = ports.get(name) ?? await findFreePort();
		ports.set(name, port);
		assertNotStopped();
		const upstreamFlags = upstream === undefined ? [] : ['--follow', upstream === '' ? '127.0.0.1:1' : `127.0.0.1:${ports.get(upstream)}`];
		const child = startChild(name, 'standin', [
			'database',
			'--name',
			name,
			'--port',
			String(port),
			'--slots',
			String(target.slots),
			'--connections',
			String(target.connections),
			'--connect-ms',
			String(options.connectMs),
			'--statement-ms',
			String(options.statementMs),
			'--lag-ms',
			String(options.lagMs),
			...(trafficFolder === undefined ? [] : ['--record', path.join(trafficFolder, name)]),
			...upstreamFlags,
		]);
		const started = {...child, port, database};
		targets.set(name, started);
		return started;
	};

	/** Returns the port at which peers connect to a vm: that of its relay, which is opened first if the stack uses relays, or else its own. */
	const getAdvertisedPeerPort = async (vm: string, peerPort: number): Promise<number> => {
		const existing = relays.get(vm);
		if (existing) {
			return existing.port;
		}

		if (options.usesRelays !== true) {
			return peerPort;
		}

		const port = await findFreePort();
		relays.set(vm, {port, server: await links.openRelay(vm, peerPort, port)});
		return port;
	};

	const startProxy = async (vm: string, dataCentre: string): Promise<StackProxy> => {
		const existing = proxies.get(vm);
		const port = existing?.port ?? await findFreePort();
		const peerPort = existing?.peerPort ?? await findFreePort();
		const vmDocument = {
			vm, dataCentre, host: '127.0.0.1', port: await getAdvertisedPeerPort(vm, peerPort), state: 'live',
		};
		const current = await store.read(`/platform/vms/${vm}`);
		await store.compareAndSwap(`/platform/vms/${vm}`, current.ok ? current.val?.revision ?? 0 : 0, JSON.stringify(vmDocument));
		assertNotStopped();
		const child = startChild(vm, 'proxy', [
			'--vm',
			vm,
			'--data-centre',
			dataCentre,
			'--listen',
			`127.0.0.1:${port}`,
			'--peer-listen',
			`127.0.0.1:${peerPort}`,
			'--platform',
			`127.0.0.1:${platformPort}`,
			'--log-file',
			path.join(logFolder, `${vm}-${runtime.createId()}.log`),
			...options.extraProxyFlags ?? [],
		]);
		const started = {
			...child, vm, dataCentre, port, peerPort,
		};
		proxies.set(vm, started);
		return started;
	};

	const getStatuses = async (): Promise<readonly ProxyStatus[]> => {
		const statuses = await Promise.all([...proxies.values()].map(async proxy => fleet.call<ProxyStatus>({host: '127.0.0.1', port: proxy.peerPort}, 'status', null)));
		return statuses.filter(status => status.ok).map(status => status.unwrap());
	};

	const updateConfiguration = async (update: (inventory: Inventory) => Inventory): Promise<number> => {
		const current = (await readConfiguration(store)).unwrap();
		const inventory = update(current.document?.inventory ?? options.inventory);
		return (await changeConfiguration(store, runtime, {expectedRevision: current.revision, author: 'stack', inventory})).unwrap();
	};

	const isDatabaseReady = (statuses: readonly ProxyStatus[], name: string): boolean => {
		const targetCount = options.inventory.databases[name]?.targets.length ?? 0;
		return statuses.some(status => status.groups.some(({record}) => record.database === name && record.synced.length === targetCount - 1));
	};

	const waitUntilReady = async () => {
		await waitFor('proxies and databases', async () => {
			const statuses = await getStatuses();
			return statuses.length === proxies.size
				&& statuses.every(status => status.revision > 0 && status.members.every(member => member.status === 'alive'))
				&& Object.keys(options.inventory.databases).every(name => isDatabaseReady(statuses, name));
		});
	};

	const startTargets = async () => {
		for (const database of Object.values(options.inventory.databases)) {
			const [primary, ...replicas] = database.targets;
			if (primary) {
				await startTarget(primary.name, undefined);
				for (const replica of replicas) {
					await startTarget(replica.name, primary.name);
				}
			}
		}
	};

	const addAddresses = (inventory: Inventory): Inventory => ({
		...inventory,
		databases: Object.fromEntries(Object.entries(inventory.databases).map(([name, database]) => [name, {
			...database,
			targets: database.targets.map(target => ({...target, address: `127.0.0.1:${ports.get(target.name)}`})),
		}])),
	});

	const addKeys = (inventory: Inventory): Inventory => {
		let inventoryWithKeys = inventory;
		for (const customer of Object.keys(inventory.customers)) {
			const issued = issueKey(inventoryWithKeys, customer, `${customer}-key`).unwrap();
			secrets.set(customer, issued.secret);
			inventoryWithKeys = issued.inventory;
		}

		return inventoryWithKeys;
	};

	const start = async () => {
		await waitFor('platform', async () => (await store.read('/')).ok);
		await startTargets();
		const inventory = addKeys(addAddresses(options.inventory));
		await updateConfiguration(() => inventory);
		for (const dataCentre of inventory.dataCentres) {
			for (let proxyNumber = 1; proxyNumber <= options.proxiesPerDataCentre; proxyNumber++) {
				await startProxy(`${dataCentre}-${proxyNumber}`, dataCentre);
			}
		}

		await waitUntilReady();
	};

	return {
		start,
		inventory: options.inventory,
		store,
		fleet,
		platform,
		platformPort,
		proxies,
		targets,
		secrets,
		links,
		logFolder,
		startProxy,
		startTarget,
		changeConfiguration: updateConfiguration,
		withdrawKey: async keyId => updateConfiguration(current => withdrawKey(current, keyId).unwrap()),
		getStatuses,
		waitUntilReady,
		readReceivedTraffic: () => trafficFolder === undefined ? '' : readdirSync(trafficFolder).map(file => readFileSync(path.join(trafficFolder, file), 'latin1')).join('\n'),
		readEvents: () => readdirSync(logFolder).flatMap(file => readLog(path.join(logFolder, file))),
		async [Symbol.asyncDispose]() {
			isStopped = true;
			await Promise.all([...proxies.values()].map(async child => stopChild(child, 'SIGKILL')));
			await Promise.all([...targets.values()].map(async child => stopChild(child, 'SIGKILL')));
			await stopChild(platform, 'SIGKILL');
			await Promise.all([...relays.values()].map(async relay => relay.server[Symbol.asyncDispose]()));
			await fleet[Symbol.asyncDispose]();
			await store[Symbol.asyncDispose]();
		},
	};
};
