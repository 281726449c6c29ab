/** Fault injection: schedules drawn from a seed, and the faults themselves. */

import pg from 'pg';
import {chooseRandom, wait, type Random} from '@guavapitch/load';
import type {Stack, StackTarget} from './stack.js';

/** Kind of an injected fault. */
export type FaultKind
	= | 'killPrimary' | 'freezePrimary' | 'cutPrimary' | 'killReplica' | 'lagReplica'
		| 'killProxy' | 'freezeProxy' | 'platformDown' | 'loseAnswers' | 'freezePlatform'
		| 'slowPlatform' | 'lapseLeases' | 'cutProxy' | 'cutDataCentre';

/** A fault of a schedule: start and duration in milliseconds, and a random number in [0, 1) that decides what it affects and its variant. */
export type Fault = Readonly<{kind: FaultKind; atMs: number; forMs: number; choice: number}>;

/** A fault that was injected, the name of the target, vm or data centre that it affects, or `platform`, and its time in milliseconds since the start of the schedule. */
export type AppliedFault = Readonly<{fault: Fault; target: string; at: number}>;

const FAULT_KINDS: readonly FaultKind[] = [
	'killPrimary',
	'freezePrimary',
	'cutPrimary',
	'killReplica',
	'lagReplica',
	'killProxy',
	'freezeProxy',
	'platformDown',
	'loseAnswers',
	'freezePlatform',
	'slowPlatform',
	'lapseLeases',
	'cutProxy',
	'cutDataCentre',
];
/** Error codes of connecting to a target that another fault has killed. */
const UNREACHABLE_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET']);
/** Prefixes of the error messages about a target that another fault has killed or frozen. */
const UNRESPONSIVE_MESSAGES = ['Connection terminated', 'timeout expired', 'Query read timeout'];
const FAULTS_KEY = '/standin/faults';
const MIN_FAULT_MS = 800;
const MAX_FAULT_MS = 3500;
const INJECTED_LAG_MS = 1500;
const LOST_RESPONSE_COUNT = 3;
const PLATFORM_DELAY_MS = 400;

/** Draws a schedule of one to three faults; some start at nearly the same time, some repeat the kind of the previous fault. With `onlyKind`, the schedule is one fault of that kind. */
export const drawFaultSchedule = (random: Random, durationMs: number, onlyKind?: FaultKind): readonly Fault[] => {
	const faultCount = onlyKind ? 1 : 1 + Math.floor(random() * 3);
	const faults: Fault[] = [];
	for (let index = 0; index < faultCount; index++) {
		const previous = faults.at(-1);
		const isSimultaneous = previous !== undefined && random() < 0.4;
		const repeatsKind = previous !== undefined && random() < 0.25;
		faults.push({
			kind: onlyKind ?? (repeatsKind ? previous.kind : chooseRandom(FAULT_KINDS, random)),
			atMs: isSimultaneous ? previous.atMs + (random() * 100) : 500 + (random() * durationMs * 0.6),
			forMs: MIN_FAULT_MS + (random() * (MAX_FAULT_MS - MIN_FAULT_MS)),
			choice: random(),
		});
	}

	return faults.toSorted((a, b) => a.atMs - b.atMs);
};

/** Runs a statement on the control database of a target, which injected faults do not delay. Does nothing if another fault has killed or frozen the target; throws on any other error. */
export const runControlStatement = async (target: StackTarget, statement: string): Promise<void> => {
	const client = new pg.Client({
		host: '127.0.0.1', port: target.port, user: 'control', database: 'control', connectionTimeoutMillis: 2000, query_timeout: 2000,
	});
	client.on('error', () => undefined);
	try {
		await client.connect();
		await client.query(statement);
	} catch (error) {
		const {code, message} = error as Readonly<{code?: string; message: string}>;
		if (!UNREACHABLE_CODES.has(code ?? '') && !UNRESPONSIVE_MESSAGES.some(prefix => message.startsWith(prefix))) {
			throw error;
		}
	} finally {
		await client.end().catch(() => undefined);
	}
};

/** Replaces the faults that the stand-in of the platform simulates. */
const setPlatformFaults = async (stack: Stack, faults: Readonly<Record<string, unknown>>): Promise<void> => {
	const document = JSON.stringify(faults);
	const current = await stack.store.read(FAULTS_KEY);
	await stack.store.compareAndSwap(FAULTS_KEY, current.ok ? current.val?.revision ?? 0 : 0, document);
};

/** Returns the name of the primary of a database according to the newest group record in the fleet; throws if no proxy has a record. */
export const findPrimary = async (stack: Stack, database: string): Promise<string> => {
	const statuses = await stack.getStatuses();
	const views = statuses.flatMap(status => status.groups).filter(view => view.record.database === database);
	const newest = views.toSorted((a, b) => b.revision - a.revision)[0];
	if (!newest) {
		throw new RangeError(`No proxy has a group record of ${database}: its primary is unknown`);
	}

	return newest.record.primary;
};

/** Isolates vms from all other vms, from the targets of other data centres and, if requested, from the platform. */
const partitionVms = async (stack: Stack, vms: ReadonlySet<string>, dataCentres: ReadonlySet<string>, includesPlatform: boolean) => {
	const targets = Object.values(stack.inventory.databases).flatMap(database => database.targets);
	const insideTargets = targets.filter(target => dataCentres.has(target.dataCentre));
	const outsideTargets = targets.filter(target => !dataCentres.has(target.dataCentre));
	const otherVms = [...stack.proxies.keys()].filter(vm => !vms.has(vm));
	stack.links.setPartition((from, to) => vms.has(from) !== vms.has(to));
	if (includesPlatform) {
		await setPlatformFaults(stack, {cut: [...vms]});
	}

	const partitionTarget = async (name: string, peers: readonly string[]) => {
		const target = stack.targets.get(name);
		if (!target) {
			return;
		}

		for (const peer of peers) {
			await runControlStatement(target, `SELECT standin_cut('${peer}')`);
		}
	};

	await Promise.all([
		...insideTargets.map(async target => partitionTarget(target.name, [...otherVms, ...outsideTargets.map(peer => peer.name)])),
		...outsideTargets.map(async target => partitionTarget(target.name, [...vms, ...insideTargets.map(peer => peer.name)])),
	]);
};

/** Removes all network partitions and all faults that the stand-in of the platform simulates. Also runs at the end of a schedule, because a target that was frozen may execute the statement that creates a partition only after the partition has been removed. */
export const removePartitions = async (stack: Stack) => {
	stack.links.setPartition(() => false);
	await setPlatformFaults(stack, {});
	await Promise.all([...stack.targets.values()].map(async target => runControlStatement(target, 'SELECT standin_heal()')));
};

/** Kills a target and restarts it after the downtime as a replica without a reachable upstream; does nothing if another fault has killed it already. */
const restartTarget = async (stack: Stack, target: StackTarget, downtimeMs: number) => {
	if (target.process.exitCode !== null || target.process.signalCode !== null) {
		return;
	}

	target.process.kill('SIGKILL');
	await target.exited;
	await wait(downtimeMs);
	await stack.startTarget(target.name, '');
};

const freezeProcess = async (child: Readonly<{process: Readonly<{kill: (signal: NodeJS.Signals) => boolean}>}>, durationMs: number) => {
	child.process.kill('SIGSTOP');
	await wait(durationMs);
	child.process.kill('SIGCONT');
};

/** Injects a fault and removes it after its duration. `onStart` is called before the injection with the name of what the fault affects. */
export const applyFault = async (stack: Stack, fault: Fault, database: string, onStart: (target: string) => void): Promise<void> => {
	const targets = [...stack.targets.values()].filter(target => target.database === database);
	const primaryName = await findPrimary(stack, database);
	const primary = stack.targets.get(primaryName);
	const replicas = targets.filter(target => target.name !== primaryName);
	const replica = replicas[Math.floor(fault.choice * replicas.length)];
	const proxies = [...stack.proxies.values()];
	const proxy = proxies[Math.floor(fault.choice * proxies.length)];
	if (!primary || !replica || !proxy) {
		throw new RangeError('The stack needs a primary, a replica and a proxy to inject faults');
	}

	const actions: Readonly<Record<FaultKind, readonly [target: string, run: () => Promise<void>]>> = {
		killPrimary: [primary.name, async () => restartTarget(stack, primary, fault.forMs)],
		freezePrimary: [primary.name, async () => freezeProcess(primary, fault.forMs)],
		cutPrimary: [primary.name, async () => {
			await runControlStatement(primary, 'SELECT standin_cut(\'*\')');
			await wait(fault.forMs);
			await runControlStatement(primary, 'SELECT standin_heal()');
		}],
		killReplica: [replica.name, async () => restartTarget(stack, replica, fault.forMs)],
		lagReplica: [replica.name, async () => {
			await runControlStatement(replica, `SELECT standin_lag(${INJECTED_LAG_MS})`);
			await wait(fault.forMs);
			await runControlStatement(replica, 'SELECT standin_lag(5)');
		}],
		killProxy: [proxy.vm, async () => {
			if (proxy.process.signalCode !== null) {
				return;
			}

			proxy.process.kill('SIGKILL');
			await proxy.exited;
			await wait(fault.forMs);
			await stack.startProxy(proxy.vm, proxy.dataCentre);
		}],
		freezeProxy: [proxy.vm, async () => freezeProcess(proxy, fault.forMs)],
		platformDown: ['platform', async () => {
			await setPlatformFaults(stack, {down: true});
			await wait(fault.forMs);
			await setPlatformFaults(stack, {});
		}],
		loseAnswers: ['platform', async () => setPlatformFaults(stack, {loseAnswers: LOST_RESPONSE_COUNT})],
		freezePlatform: ['platform', async () => freezeProcess(stack.platform, fault.forMs)],
		slowPlatform: ['platform', async () => {
			await setPlatformFaults(stack, {slowMs: PLATFORM_DELAY_MS});
			await wait(fault.forMs);
			await setPlatformFaults(stack, {});
		}],
		lapseLeases: ['platform', async () => setPlatformFaults(stack, {lapseLeases: true})],
		cutProxy: [proxy.vm, async () => {
			await partitionVms(stack, new Set([proxy.vm]), new Set(), fault.choice < 0.5);
			await wait(fault.forMs);
			await removePartitions(stack);
		}],
		cutDataCentre: [proxy.dataCentre, async () => {
			const isolatedProxies = proxies.filter(candidate => candidate.dataCentre === proxy.dataCentre);
			await partitionVms(stack, new Set(isolatedProxies.map(isolatedProxy => isolatedProxy.vm)), new Set([proxy.dataCentre]), fault.choice < 0.5);
			await wait(fault.forMs);
			await removePartitions(stack);
		}],
	};
	const [target, run] = actions[fault.kind];
	onStart(target);
	await run();
};
