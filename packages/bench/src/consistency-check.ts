/** Consistency check: runs a seeded workload under a seeded fault schedule and checks the recorded history against the guarantees. */

import {performance} from 'node:perf_hooks';
import {
	checkHistory, computeWriteGapMs, createRandom, wait, type FinalState, type Operation, type Violation,
} from '@guavapitch/load';
import type {EventRecord} from '@guavapitch/telemetry';
import {takeFirstDatabase, readExample, type ExampleName} from './examples.js';
import {
	applyFault, drawFaultSchedule, removePartitions, type AppliedFault, type FaultKind,
} from './faults.js';
import {computeReadCounts, computeFailoverPhases, type FailoverPhases} from './failover-phases.js';
import {startStack, type Stack, type StackOptions} from './stack.js';
import {
	connectCustomer, createTables, startWorkload, type WorkloadOptions,
} from './workload.js';

/** Result of a consistency check. */
export type ConsistencyCheckResult = Readonly<{
	seed: number;
	faults: readonly AppliedFault[];
	violations: readonly Violation[];
	/** Longest time without an acknowledged write, in milliseconds. */
	gapMs: number;
	/** Number of operations by kind, outcome and SQLSTATE, such as `lodge.done` and `read.unknown.08007`; `lost` stands for a failure without an SQLSTATE. */
	counts: Readonly<Record<string, number>>;
	/** Why the check could not be completed, for example because the fleet did not recover. */
	failure: string | undefined;
	events: readonly EventRecord[];
	history: readonly Operation[];
	/** Phases of the first failover after the first fault, if one completed. */
	phases: FailoverPhases | undefined;
	/** Number of reads that replicas served, and of all reads, counted at the proxies that run at the end. */
	reads: Readonly<{replica: number; all: number}>;
}>;

/** Options of a consistency check. */
export type ConsistencyCheckOptions = Readonly<{
	seed: number;
	example: ExampleName;
	/** Duration of the fault schedule, in milliseconds. */
	durationMs: number;
	/** Injects a single fault of this kind. */
	onlyFault?: FaultKind;
	/** Mechanism that is switched off, to verify that the check fails without it. */
	disabledMechanism?: 'replication';
	proxiesPerDataCentre: number;
	/** Replication lag of the replicas, in milliseconds. */
	lagMs: number;
}>;

const SESSION_COUNT = 8;
const MAX_PAUSE_MS = 30;
const ACCOUNT_COUNT = 6;
const INITIAL_BALANCE = 100;
/** Time for which the workload continues after all network partitions have been removed, in milliseconds. */
const SETTLE_MS = 300;

/** Creates the options of the stack and of the workload for the first database of the example. */
const createOptions = (options: ConsistencyCheckOptions): Readonly<{stack: StackOptions; workload: WorkloadOptions; database: string}> => {
	const inventory = takeFirstDatabase(readExample(options.example), {rate: 500, burst: 1000});
	const [[database, settings]] = Object.entries(inventory.databases) as [[string, (typeof inventory.databases)[string]]];
	const [service, browseService] = Object.keys(inventory.services);
	const acknowledge = options.disabledMechanism === 'replication' ? 'primary' : settings.acknowledge;
	return {
		database,
		workload: {
			service: service ?? '', browseService: browseService ?? '', sessionCount: SESSION_COUNT, accountCount: ACCOUNT_COUNT, initialBalance: INITIAL_BALANCE, maxPauseMs: MAX_PAUSE_MS,
		},
		stack: {
			inventory: {...inventory, databases: {[database]: {...settings, acknowledge}}},
			proxiesPerDataCentre: options.proxiesPerDataCentre,
			connectMs: options.example === 'siphon' ? 30 : 10,
			statementMs: 1,
			lagMs: options.lagMs,
			usesRelays: true,
		},
	};
};

const readFinalState = async (stack: Stack, options: WorkloadOptions): Promise<FinalState> => {
	const [proxy] = stack.proxies.values();
	const [customer] = stack.secrets.keys();
	if (!proxy || !customer) {
		throw new RangeError('The stack has no proxy or no customer');
	}

	const client = await connectCustomer(stack, proxy, customer, options.service);
	await client.query('BEGIN');
	const idResult = await client.query<{id: string}>('SELECT id FROM lodged');
	const sumResult = await client.query<{sum: string}>('SELECT sum(balance) FROM accounts');
	await client.query('COMMIT');
	await client.end();
	return {storedIds: idResult.rows.map(row => row.id), sum: Number(sumResult.rows[0]?.sum), expectedSum: ACCOUNT_COUNT * INITIAL_BALANCE};
};

const countOutcomes = (history: readonly Operation[]): Readonly<Record<string, number>> => {
	const counts: Record<string, number> = {};
	for (const operation of history) {
		const key = operation.outcome === 'done' ? `${operation.kind}.done` : `${operation.kind}.${operation.outcome}.${operation.sqlState ?? 'lost'}`;
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
};

/** Runs a consistency check. Errors of the run itself are returned as `failure`. */
export const runConsistencyCheck = async (options: ConsistencyCheckOptions): Promise<ConsistencyCheckResult> => {
	const {stack: stackOptions, workload: workloadOptions, database} = createOptions(options);
	const random = createRandom(options.seed);
	const schedule = drawFaultSchedule(random, options.durationMs, options.onlyFault);
	const faults: AppliedFault[] = [];
	let history: readonly Operation[] = [];
	let violations: readonly Violation[] = [];
	let gapMs = 0;
	let wallStartMs = Date.now();
	let reads = {replica: 0, all: 0};
	let failure: string | undefined;
	await using stack = await startStack(stackOptions);
	try {
		await createTables(stack, workloadOptions);
		const workload = startWorkload(stack, workloadOptions, sessionIndex => createRandom((options.seed * 1000) + sessionIndex));
		history = workload.history;
		const startedAt = performance.now();
		wallStartMs = Date.now();
		const faultRuns = Promise.allSettled(schedule.map(async fault => {
			await wait(Math.max(0, fault.atMs - (performance.now() - startedAt)));
			await applyFault(stack, fault, database, target => {
				faults.push({fault, target, at: Date.now() - wallStartMs});
			});
		}));
		await wait(options.durationMs);
		const faultResults = await faultRuns;
		const wallEndMs = Date.now();
		await removePartitions(stack);
		await wait(SETTLE_MS);
		await workload.stop();
		gapMs = computeWriteGapMs(history, wallStartMs, wallEndMs);
		await stack.waitUntilReady();
		const statuses = await stack.getStatuses();
		reads = computeReadCounts(statuses.map(status => status.metrics));
		const failedFault = faultResults.find(faultResult => faultResult.status === 'rejected');
		if (failedFault) {
			failure = `a fault could not be injected: ${String(failedFault.reason)}`;
		}

		violations = checkHistory(history, await readFinalState(stack, workloadOptions));
	} catch (error) {
		failure = error instanceof Error ? error.message : String(error);
	}

	const events = stack.readEvents();
	const [firstFault] = faults.toSorted((a, b) => a.at - b.at);
	const phases = firstFault && computeFailoverPhases(events, history, wallStartMs + firstFault.at);
	return {
		seed: options.seed, faults, violations, gapMs, counts: countOutcomes(history), failure, events, history, phases, reads,
	};
};
