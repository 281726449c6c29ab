/** Faults on command, drawn from a seed. */

import pg from 'pg';
import {chooseRandom, wait, type Random} from '@guavapitch/load';
import type {Stack, StackTarget} from './stack.js';

/** Kinds of faults. */
export type FaultKind
	= | 'killPrimary' | 'freezePrimary' | 'cutPrimary' | 'killReplica' | 'lagReplica'
		| 'killProxy' | 'freezeProxy' | 'platformDown' | 'loseAnswers' | 'freezePlatform'
		| 'slowPlatform' | 'lapseLeases' | 'cutProxy' | 'cutDataCentre';

/** One fault of a schedule. */
export type Fault = Readonly<{kind: FaultKind; atMs: number; forMs: number; choice: number}>;

/** A fault as it was carried out. */
export type AppliedFault = Readonly<{fault: Fault; target: string; at: number}>;

const KINDS: readonly FaultKind[] = [
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
/** Failures of connecting to a target that another fault has killed. */
const DEAD_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET']);
/** Messages about a target that another fault has killed or frozen. */
const SILENT_MESSAGES = ['Connection terminated', 'timeout expired', 'Query read timeout'];
const FAULTS_KEY = '/standin/faults';
const SHORTEST_MS = 800;
const LONGEST_MS = 3500;
const LAG_MS = 1500;
const LOST_ANSWERS = 3;
const SLOW_MS = 400;

/** Draws a schedule: one to three faults, some of them together, some twice. */
export const drawFaultSchedule = (random: Random, durationMs: number, only?: FaultKind): readonly Fault[] => {
	const count = only ? 1 : 1 + Math.floor(random() * 3);
	const faults: Fault[] = [];
	for (let index = 0; index < count; index++) {
		const previous = faults.at(-1);
		const isTogether = previous !== undefined && random() < 0.4;
		const isTwice = previous !== undefined && random() < 0.25;
		faults.push({
			kind: only ?? (isTwice ? previous.kind : chooseRandom(KINDS, random)),
			atMs: isTogether ? previous.atMs + (random() * 100) : 500 + (random() * durationMs * 0.6),
			forMs: SHORTEST_MS + (random() * (LONGEST_MS - SHORTEST_MS)),
			choice: random(),
		});
	}

	return faults.toSorted((a, b) => a.atMs - b.atMs);
};

/** Runs a command of a target that no fault holds up; one that another fault has killed or frozen may not hear it. */
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
		if (!DEAD_CODES.has(code ?? '') && !SILENT_MESSAGES.some(silent => message.startsWith(silent))) {
			throw error;
		}
	} finally {
		await client.end().catch(() => undefined);
	}
};

/** Sets the faults of the platform. */
const setPlatformFaults = async (stack: Stack, faults: Readonly<Record<string, unknown>>): Promise<void> => {
	const text = JSON.stringify(faults);
	const current = await stack.store.read(FAULTS_KEY);
	await stack.store.compareAndSwap(FAULTS_KEY, current.ok ? current.val?.revision ?? 0 : 0, text);
};

/** Gets the primary of a database as the fleet's newest record says. */
export const findPrimary = async (stack: Stack, database: string): Promise<string> => {
	const statuses = await stack.getStatuses();
	const views = statuses.flatMap(status => status.groups).filter(view => view.record.database === database);
	const newest = views.toSorted((a, b) => b.revision - a.revision)[0];
	if (!newest) {
		throw new RangeError(`The primary of ${database} is not known`);
	}

	return newest.record.primary;
};

/** Cuts vms off from all other vms, from the targets of other places, and maybe from the platform. */
const cutOff = async (stack: Stack, vms: ReadonlySet<string>, places: ReadonlySet<string>, withPlatform: boolean) => {
	const settings = Object.values(stack.inventory.databases).flatMap(database => database.targets);
	const inside = settings.filter(target => places.has(target.dataCentre));
	const outside = settings.filter(target => !places.has(target.dataCentre));
	const otherVms = [...stack.proxies.keys()].filter(vm => !vms.has(vm));
	stack.links.setPartition((from, to) => vms.has(from) !== vms.has(to));
	if (withPlatform) {
		await setPlatformFaults(stack, {cut: [...vms]});
	}

	const cutFrom = async (name: string, peers: readonly string[]) => {
		const running = stack.targets.get(name);
		if (!running) {
			return;
		}

		for (const peer of peers) {
			await runControlStatement(running, `SELECT standin_cut('${peer}')`);
		}
	};

	await Promise.all([
		...inside.map(async one => cutFrom(one.name, [...otherVms, ...outside.map(other => other.name)])),
		...outside.map(async one => cutFrom(one.name, [...vms, ...inside.map(other => other.name)])),
	]);
};

/** Ends every cut; also at the end of a schedule, as a frozen target may hear of a cut after it was healed. */
export const removePartitions = async (stack: Stack) => {
	stack.links.setPartition(() => false);
	await setPlatformFaults(stack, {});
	await Promise.all([...stack.targets.values()].map(async target => runControlStatement(target, 'SELECT standin_heal()')));
};

const restartTarget = async (stack: Stack, target: StackTarget, forMs: number) => {
	if (target.process.exitCode !== null || target.process.signalCode !== null) {
		return;
	}

	target.process.kill('SIGKILL');
	await target.exited;
	await wait(forMs);
	await stack.startTarget(target.name, '');
};

const freeze = async (child: Readonly<{process: Readonly<{kill: (signal: NodeJS.Signals) => boolean}>}>, forMs: number) => {
	child.process.kill('SIGSTOP');
	await wait(forMs);
	child.process.kill('SIGCONT');
};

/** Carries out one fault and heals it; `onStart` hears of its target. */
export const applyFault = async (stack: Stack, fault: Fault, database: string, onStart: (target: string) => void): Promise<void> => {
	const targets = [...stack.targets.values()].filter(target => target.database === database);
	const primaryName = await findPrimary(stack, database);
	const primary = stack.targets.get(primaryName);
	const replicas = targets.filter(target => target.name !== primaryName);
	const replica = replicas[Math.floor(fault.choice * replicas.length)];
	const proxies = [...stack.proxies.values()];
	const proxy = proxies[Math.floor(fault.choice * proxies.length)];
	if (!primary || !replica || !proxy) {
		throw new RangeError('The stack is too small for faults');
	}

	const steps: Readonly<Record<FaultKind, readonly [target: string, run: () => Promise<void>]>> = {
		killPrimary: [primary.name, async () => restartTarget(stack, primary, fault.forMs)],
		freezePrimary: [primary.name, async () => freeze(primary, fault.forMs)],
		cutPrimary: [primary.name, async () => {
			await runControlStatement(primary, 'SELECT standin_cut(\'*\')');
			await wait(fault.forMs);
			await runControlStatement(primary, 'SELECT standin_heal()');
		}],
		killReplica: [replica.name, async () => restartTarget(stack, replica, fault.forMs)],
		lagReplica: [replica.name, async () => {
			await runControlStatement(replica, `SELECT standin_lag(${LAG_MS})`);
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
		freezeProxy: [proxy.vm, async () => freeze(proxy, fault.forMs)],
		platformDown: ['platform', async () => {
			await setPlatformFaults(stack, {down: true});
			await wait(fault.forMs);
			await setPlatformFaults(stack, {});
		}],
		loseAnswers: ['platform', async () => setPlatformFaults(stack, {loseAnswers: LOST_ANSWERS})],
		freezePlatform: ['platform', async () => freeze(stack.platform, fault.forMs)],
		slowPlatform: ['platform', async () => {
			await setPlatformFaults(stack, {slowMs: SLOW_MS});
			await wait(fault.forMs);
			await setPlatformFaults(stack, {});
		}],
		lapseLeases: ['platform', async () => setPlatformFaults(stack, {lapseLeases: true})],
		cutProxy: [proxy.vm, async () => {
			await cutOff(stack, new Set([proxy.vm]), new Set(), fault.choice < 0.5);
			await wait(fault.forMs);
			await removePartitions(stack);
		}],
		cutDataCentre: [proxy.dataCentre, async () => {
			const inside = proxies.filter(one => one.dataCentre === proxy.dataCentre);
			await cutOff(stack, new Set(inside.map(one => one.vm)), new Set([proxy.dataCentre]), fault.choice < 0.5);
			await wait(fault.forMs);
			await removePartitions(stack);
		}],
	};
	const [target, run] = steps[fault.kind];
	onStart(target);
	await run();
};
