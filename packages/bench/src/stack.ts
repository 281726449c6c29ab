/** Starts a whole fleet with its stand-ins as separate processes on loopback; a development script, not part of the product. */

import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createWorld} from '@guavapitch/core';
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

/** One child process. */
export type ChildProgram = Readonly<{
	name: string;
	process: ChildProcess;
	/** Waits until it has ended. */
	exited: Promise<void>;
}>;

/** A proxy of the stack. */
export type StackProxy = ChildProgram & Readonly<{vm: string; dataCentre: string; port: number; peerPort: number}>;

/** A target of the stack. */
export type StackTarget = ChildProgram & Readonly<{port: number; database: string}>;

/** What to start. */
export type StackOptions = Readonly<{
	inventory: Inventory;
	/** Proxies in each data centre. */
	proxiesPerDataCentre: number;
	connectMs: number;
	statementMs: number;
	lagMs: number;
	/** Further flags of every proxy. */
	extraProxyFlags?: readonly string[];
	/** Puts relays between the proxies, so that they can be cut off from each other. */
	usesRelays?: boolean;
	/** Records every byte that targets receive. */
	recordsTraffic?: boolean;
	/** Keys with which this script asks the proxies. */
	peerTls?: PeerTls;
}>;

/** A running stack. */
export type Stack = AsyncDisposable & Readonly<{
	inventory: Inventory;
	store: EtcdStore;
	fleet: FleetClient;
	platform: ChildProgram;
	platformPort: number;
	proxies: Map<string, StackProxy>;
	targets: Map<string, StackTarget>;
	/** Secret of the key of each customer. */
	secrets: ReadonlyMap<string, string>;
	links: PeerLinks;
	logFolder: string;
	startProxy: (vm: string, dataCentre: string) => Promise<StackProxy>;
	startTarget: (name: string, follow: string | undefined) => Promise<StackTarget>;
	/** Changes the configuration in force. */
	changeConfiguration: (edit: (inventory: Inventory) => Inventory) => Promise<number>;
	withdrawKey: (keyId: string) => Promise<number>;
	getStatuses: () => Promise<readonly ProxyStatus[]>;
	/** Waits until every proxy serves and every database has a full synced set. */
	waitUntilReady: () => Promise<void>;
	/** Reads the events of all processes. */
	readEvents: () => readonly EventRecord[];
	/** Reads what the targets received, if it is recorded. */
	readReceivedTraffic: () => string;
}>;

type Relay = Readonly<{port: number; owner: AsyncDisposable}>;

const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;
const STORE_TIMEOUT_MS = 2000;
const require = createRequire(import.meta.url);

const getProgram = (name: string): string => path.join(path.dirname(require.resolve(`@guavapitch/${name}`)), 'main.js');

const FIRST_PORT = 10_000;
const PORT_RANGE = 20_000;
const PORT_STEP = 97;
let lastPort = FIRST_PORT + ((process.pid * PORT_STEP) % PORT_RANGE);

const isFree = async (port: number): Promise<boolean> => new Promise(resolve => {
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

/** Finds a port that is free now, below those that clients are given, and never the same one twice. */
export const findFreePort = async (): Promise<number> => {
	while (true) {
		lastPort = FIRST_PORT + ((lastPort + 1 - FIRST_PORT) % PORT_RANGE);
		const port = lastPort;
		if (await isFree(port)) {
			return port;
		}
	}
};

const running = new Set<ChildProcess>();
process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/** Starts one program of the project; it ends with this process at the latest. */
export const startChild = (name: string, program: string, args: readonly string[], flags: readonly string[] = []): ChildProgram => {
	const child = spawn(process.execPath, [...flags, getProgram(program), ...args], {stdio: ['ignore', 'ignore', 'inherit']});
	running.add(child);
	const ended = new Promise<void>(resolve => {
		child.once('exit', () => {
			running.delete(child);
			resolve();
		});
	});
	return {name, process: child, exited: ended};
};

const stopChild = async (child: ChildProgram, signal: NodeJS.Signals): Promise<void> => {
	child.process.kill('SIGCONT');
	child.process.kill(signal);
	await child.exited;
};

const readLog = (file: string): readonly EventRecord[] => parseEvents(readFileSync(file, 'utf8')).unwrap();

/** Starts a stack and waits until it serves; if it does not, everything is stopped. */
export const startStack = async (plan: StackOptions): Promise<Stack> => {
	const stack = await launchStack(plan);
	try {
		await stack.start();
		return stack;
	} catch (error) {
		await stack[Symbol.asyncDispose]();
		throw error;
	}
};

const launchStack = async (plan: StackOptions): Promise<Stack & Readonly<{start: () => Promise<void>}>> => {
	const world = createWorld();
	const logFolder = mkdtempSync(path.join(os.tmpdir(), 'guavapitch-'));
	const recordFolder = plan.recordsTraffic === true ? mkdtempSync(path.join(os.tmpdir(), 'guavapitch-')) : undefined;
	const platformPort = await findFreePort();
	const platform = startChild('platform', 'standin', ['platform', '--port', String(platformPort)]);
	const store = openEtcdStore({address: `127.0.0.1:${platformPort}`, callTimeoutMs: STORE_TIMEOUT_MS}, world);
	const fleet = openFleetClient(world, plan.peerTls);
	const proxies = new Map<string, StackProxy>();
	const targets = new Map<string, StackTarget>();
	const secrets = new Map<string, string>();
	const links = createPeerLinks(world);
	const relays = new Map<string, Relay>();

	const waitFor = async (what: string, isReady: () => Promise<boolean>) => {
		const giveUpAt = world.now() + READY_TIMEOUT_MS;
		while (!await isReady()) {
			if (world.now() > giveUpAt) {
				throw new Error(`Not ready in time: ${what}`);
			}

			await world.sleep(POLL_MS);
		}
	};

	const findSettings = (name: string) => {
		for (const [database, settings] of Object.entries(plan.inventory.databases)) {
			const target = settings.targets.find(one => one.name === name);
			if (target) {
				return {database, target};
			}
		}

		throw new Error(`There is no target ${name}`);
	};

	let stopped = false;
	const requireRunning = () => {
		if (stopped) {
			throw new Error('The stack has been stopped');
		}
	};

	const ports = new Map<string, number>();
	const startTarget = async (name: string, follow: string | undefined): Promise<StackTarget> => {
		const {database, target} = findSettings(name);
		const port = ports.get(name) ?? await findFreePort();
		ports.set(name, port);
		requireRunning();
		const upstream = follow === undefined ? [] : ['--follow', follow === '' ? '127.0.0.1:1' : `127.0.0.1:${ports.get(follow)}`];
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
			String(plan.connectMs),
			'--statement-ms',
			String(plan.statementMs),
			'--lag-ms',
			String(plan.lagMs),
			...(recordFolder === undefined ? [] : ['--record', path.join(recordFolder, name)]),
			...upstream,
		]);
		const started = {...child, port, database};
		targets.set(name, started);
		return started;
	};

	/** Gets the port at which peers reach a vm. */
	const getOuterPort = async (vm: string, peerPort: number): Promise<number> => {
		const known = relays.get(vm);
		if (known) {
			return known.port;
		}

		if (plan.usesRelays !== true) {
			return peerPort;
		}

		const port = await findFreePort();
		relays.set(vm, {port, owner: await links.openRelay(vm, peerPort, port)});
		return port;
	};

	const startProxy = async (vm: string, dataCentre: string): Promise<StackProxy> => {
		const known = proxies.get(vm);
		const port = known?.port ?? await findFreePort();
		const peerPort = known?.peerPort ?? await findFreePort();
		const listed = {
			vm, dataCentre, host: '127.0.0.1', port: await getOuterPort(vm, peerPort), state: 'live',
		};
		const current = await store.read(`/platform/vms/${vm}`);
		await store.compareAndSwap(`/platform/vms/${vm}`, current.ok ? current.val?.revision ?? 0 : 0, JSON.stringify(listed));
		requireRunning();
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
			path.join(logFolder, `${vm}-${world.createId()}.log`),
			...plan.extraProxyFlags ?? [],
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

	const change = async (edit: (inventory: Inventory) => Inventory): Promise<number> => {
		const current = (await readConfiguration(store)).unwrap();
		const inventory = edit(current.document?.inventory ?? plan.inventory);
		return (await changeConfiguration(store, world, {expectedRevision: current.revision, author: 'stack', inventory})).unwrap();
	};

	const isDatabaseReady = (statuses: readonly ProxyStatus[], name: string): boolean => {
		const count = plan.inventory.databases[name]?.targets.length ?? 0;
		return statuses.some(status => status.groups.some(({record}) => record.database === name && record.synced.length === count - 1));
	};

	const waitUntilReady = async () => {
		await waitFor('proxies and databases', async () => {
			const statuses = await getStatuses();
			return statuses.length === proxies.size
				&& statuses.every(status => status.revision > 0 && status.members.every(member => member.status === 'alive'))
				&& Object.keys(plan.inventory.databases).every(name => isDatabaseReady(statuses, name));
		});
	};

	const startTargets = async () => {
		for (const database of Object.values(plan.inventory.databases)) {
			const [first, ...others] = database.targets;
			if (first) {
				await startTarget(first.name, undefined);
				for (const other of others) {
					await startTarget(other.name, first.name);
				}
			}
		}
	};

	const withAddresses = (inventory: Inventory): Inventory => ({
		...inventory,
		databases: Object.fromEntries(Object.entries(inventory.databases).map(([name, database]) => [name, {
			...database,
			targets: database.targets.map(target => ({...target, address: `127.0.0.1:${ports.get(target.name)}`})),
		}])),
	});

	const addKeys = (inventory: Inventory): Inventory => {
		let withKeys = inventory;
		for (const customer of Object.keys(inventory.customers)) {
			const issued = issueKey(withKeys, customer, `${customer}-key`).unwrap();
			secrets.set(customer, issued.secret);
			withKeys = issued.inventory;
		}

		return withKeys;
	};

	const start = async () => {
		await waitFor('platform', async () => (await store.read('/')).ok);
		await startTargets();
		const inventory = addKeys(withAddresses(plan.inventory));
		await change(() => inventory);
		for (const dataCentre of inventory.dataCentres) {
			for (let number = 1; number <= plan.proxiesPerDataCentre; number++) {
				await startProxy(`${dataCentre}-${number}`, dataCentre);
			}
		}

		await waitUntilReady();
	};

	return {
		start,
		inventory: plan.inventory,
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
		changeConfiguration: change,
		withdrawKey: async keyId => change(current => withdrawKey(current, keyId).unwrap()),
		getStatuses,
		waitUntilReady,
		readReceivedTraffic: () => recordFolder === undefined ? '' : readdirSync(recordFolder).map(file => readFileSync(path.join(recordFolder, file), 'latin1')).join('\n'),
		readEvents: () => readdirSync(logFolder).flatMap(file => readLog(path.join(logFolder, file))),
		async [Symbol.asyncDispose]() {
			stopped = true;
			await Promise.all([...proxies.values()].map(async child => stopChild(child, 'SIGKILL')));
			await Promise.all([...targets.values()].map(async child => stopChild(child, 'SIGKILL')));
			await stopChild(platform, 'SIGKILL');
			await Promise.all([...relays.values()].map(async relay => relay.owner[Symbol.asyncDispose]()));
			await fleet[Symbol.asyncDispose]();
			await store[Symbol.asyncDispose]();
		},
	};
};
