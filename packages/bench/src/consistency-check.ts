/** One proof: a seeded workload under a seeded schedule of faults, checked afterwards. */

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

/** Result of one proof. */
export type ConsistencyCheckResult = Readonly<{
	seed: number;
	faults: readonly AppliedFault[];
	violations: readonly Violation[];
	/** Longest time without an acknowledged write, in milliseconds. */
	gapMs: number;
	counts: Readonly<Record<string, number>>;
	/** Failure of the run itself, such as a fleet that did not recover. */
	failure: string | undefined;
	events: readonly EventRecord[];
	history: readonly Operation[];
	/** Phases of the first failover after the first fault, if there was one. */
	phases: FailoverPhases | undefined;
	/** Reads that replicas served, and all reads, at the proxies that live at the end. */
	reads: Readonly<{replica: number; all: number}>;
}>;

/** Settings of a proof. */
export type ConsistencyCheckOptions = Readonly<{
	seed: number;
	example: ExampleName;
	durationMs: number;
	onlyFault?: FaultKind;
	/** Mechanism that is switched off, to see the check fail. */
	disabledMechanism?: 'replication';
	proxiesPerDataCentre: number;
	lagMs: number;
}>;

const SESSIONS = 8;
const PAUSE_MS = 30;
const ACCOUNTS = 6;
const BALANCE = 100;
const SETTLE_MS = 300;

/** Keeps one database of an example, with its services. */
const createPlan = (plan: ConsistencyCheckOptions): Readonly<{stack: StackOptions; workload: WorkloadOptions; database: string}> => {
	const inventory = takeFirstDatabase(readExample(plan.example), {rate: 500, burst: 1000});
	const [[database, settings]] = Object.entries(inventory.databases) as [[string, (typeof inventory.databases)[string]]];
	const [service, browseService] = Object.keys(inventory.services);
	const acknowledge = plan.disabledMechanism === 'replication' ? 'primary' : settings.acknowledge;
	return {
		database,
		workload: {
			service: service ?? '', browseService: browseService ?? '', sessions: SESSIONS, accounts: ACCOUNTS, balance: BALANCE, pauseMs: PAUSE_MS,
		},
		stack: {
			inventory: {...inventory, databases: {[database]: {...settings, acknowledge}}},
			proxiesPerDataCentre: plan.proxiesPerDataCentre,
			connectMs: plan.example === 'siphon' ? 30 : 10,
			statementMs: 1,
			lagMs: plan.lagMs,
			usesRelays: true,
		},
	};
};

const readFinalState = async (stack: Stack, plan: WorkloadOptions): Promise<FinalState> => {
	const [proxy] = stack.proxies.values();
	const [customer] = stack.secrets.keys();
	if (!proxy || !customer) {
		throw new RangeError('The stack has no proxy or no customer');
	}

	const client = await connectCustomer(stack, proxy, customer, plan.service);
	await client.query('BEGIN');
	const lodged = await client.query<{id: string}>('SELECT id FROM lodged');
	const sum = await client.query<{sum: string}>('SELECT sum(balance) FROM accounts');
	await client.query('COMMIT');
	await client.end();
	return {storedIds: lodged.rows.map(row => row.id), sum: Number(sum.rows[0]?.sum), expectedSum: ACCOUNTS * BALANCE};
};

const countOutcomes = (history: readonly Operation[]): Readonly<Record<string, number>> => {
	const counts: Record<string, number> = {};
	for (const operation of history) {
		const key = operation.outcome === 'done' ? `${operation.kind}.done` : `${operation.kind}.${operation.outcome}.${operation.sqlState ?? 'lost'}`;
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
};

/** Runs one proof. */
export const runConsistencyCheck = async (plan: ConsistencyCheckOptions): Promise<ConsistencyCheckResult> => {
	const {stack: stackPlan, workload: workloadPlan, database} = createPlan(plan);
	const random = createRandom(plan.seed);
	const schedule = drawFaultSchedule(random, plan.durationMs, plan.onlyFault);
	const faults: AppliedFault[] = [];
	let history: readonly Operation[] = [];
	let violations: readonly Violation[] = [];
	let gapMs = 0;
	let wallStart = Date.now();
	let reads = {replica: 0, all: 0};
	let failure: string | undefined;
	await using stack = await startStack(stackPlan);
	try {
		await createTables(stack, workloadPlan);
		const workload = startWorkload(stack, workloadPlan, number => createRandom((plan.seed * 1000) + number));
		history = workload.history;
		const startedAt = performance.now();
		wallStart = Date.now();
		const carrying = Promise.allSettled(schedule.map(async fault => {
			await wait(Math.max(0, fault.atMs - (performance.now() - startedAt)));
			await applyFault(stack, fault, database, target => {
				faults.push({fault, target, at: Date.now() - wallStart});
			});
		}));
		await wait(plan.durationMs);
		const settled = await carrying;
		const wallEnd = Date.now();
		await removePartitions(stack);
		await wait(SETTLE_MS);
		await workload.stop();
		gapMs = computeWriteGapMs(history, wallStart, wallEnd);
		await stack.waitUntilReady();
		const statuses = await stack.getStatuses();
		reads = computeReadCounts(statuses.map(status => status.metrics));
		const broken = settled.find(one => one.status === 'rejected');
		if (broken) {
			failure = `a fault could not be carried out: ${String(broken.reason)}`;
		}

		violations = checkHistory(history, await readFinalState(stack, workloadPlan));
	} catch (error) {
		failure = error instanceof Error ? error.message : String(error);
	}

	const events = stack.readEvents();
	const [first] = faults.toSorted((a, b) => a.at - b.at);
	const phases = first && computeFailoverPhases(events, history, wallStart + first.at);
	return {
		seed: plan.seed, faults, violations, gapMs, counts: countOutcomes(history), failure, events, history, phases, reads,
	};
};
