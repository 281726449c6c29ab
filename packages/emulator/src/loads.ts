/** Named loads: the operations that callers request, the targets that run them and the faults that occur meanwhile. */

import type {Consistency} from '@guavapitch/sessions';

/** Class of operations that callers request. */
export type OperationClass = Readonly<{
	name: string;
	consistency: Consistency;
	/** Fraction of the operations that write. */
	writeFraction: number;
	/** Fraction of the operations that are transactions of three statements with pauses between them. */
	transactionFraction: number;
	/** Mean time for which a statement occupies a slot of its target, in milliseconds. */
	meanStatementMs: number;
	/** Latency objective of an operation, in milliseconds. */
	latencyObjectiveMs: number;
	/** Time after which the caller of an operation gives up, in milliseconds. */
	timeoutMs: number;
	/** Mean rate of arrivals, over all customers. */
	operationsPerSecond: number;
	/** Worth of an operation that meets its latency objective. */
	worth: number;
	/** Worth of an operation that completes later, but before its timeout. */
	lateWorth: number;
	/** Operations with a smaller number are scheduled first. */
	priority: number;
	/** Maximum number of retries of an operation. */
	retries: number;
}>;

/** Target of the emulated database; `slots` is the number of statements that it executes at a time, `lagMs` its replication lag in milliseconds. */
export type TargetSpec = Readonly<{id: string; dataCentre: string; slots: number; lagMs: number}>;

/** Customer, its fraction of the operations and its quota: rate in requests per second and burst in requests. */
export type CustomerLoad = Readonly<{name: string; fraction: number; rate: number; burst: number}>;

/** Change or fault during a load, with its start and end in milliseconds from the start of the load. */
export type LoadEvent = Readonly<{atMs: number; untilMs: number}> & (
	/** The request rate of all callers, or of those of one customer, is multiplied by a factor. */
	| Readonly<{kind: 'more'; factor: number; customer?: string}>
	/** The time of a statement on a target is multiplied by a factor, and that of opening a connection by `dialFactor`. */
	| Readonly<{kind: 'slow'; target: string; factor: number; dialFactor?: number}>
	/** A target is stopped and started again: its connections end, and at the end of the event it is registered as a new run. */
	| Readonly<{kind: 'stopped'; target: string}>
	/** A target loses the connection of a fraction of the statements instead of replying, and replies to everything else. */
	| Readonly<{kind: 'failing'; target: string; fraction: number}>
	/** A target is unresponsive: it neither responds nor refuses. */
	| Readonly<{kind: 'dark'; target: string}>
	/** The leader is unresponsive; another target is promoted at the end of the event. */
	| Readonly<{kind: 'failover'; target: string}>
	/** All vms are down; the database owner starts again at the end of the event, without any state. */
	| Readonly<{kind: 'restart'}>
);

/** Load that can be replayed. */
export type Load = Readonly<{
	name: string;
	/** What the load demonstrates. */
	description: string;
	durationMs: number;
	/** Time for which opening a connection occupies a slot of the target, in milliseconds. */
	dialMs: number;
	/** One-way network delay between two data centres, in milliseconds. */
	networkDelayMs: number;
	/** Maximum number of connections that each target accepts. */
	connections: number;
	dataCentres: readonly string[];
	/** Targets of the database; the first one is the leader at the start. */
	targets: readonly TargetSpec[];
	classes: readonly OperationClass[];
	customers: readonly CustomerLoad[];
	events: readonly LoadEvent[];
}>;

/** Operations, targets and customers of one database in a small deployment. */
const BASE_LOAD: Omit<Load, 'name' | 'description' | 'events'> = {
	durationMs: 20_000,
	dialMs: 27,
	networkDelayMs: 1,
	connections: 77,
	dataCentres: ['east', 'middle', 'west'],
	targets: [
		{
			id: 'target-1', dataCentre: 'east', slots: 3, lagMs: 0,
		},
		{
			id: 'target-2', dataCentre: 'middle', slots: 3, lagMs: 60,
		},
		{
			id: 'target-3', dataCentre: 'west', slots: 3, lagMs: 60,
		},
	],
	classes: [
		{
			name: 'orders',
			consistency: {kind: 'latest'},
			writeFraction: 0.35,
			transactionFraction: 0.4,
			meanStatementMs: 8,
			latencyObjectiveMs: 200,
			timeoutMs: 2000,
			operationsPerSecond: 12.6,
			worth: 2,
			lateWorth: 0.2,
			priority: 0,
			retries: 2,
		},
		{
			name: 'lookups',
			consistency: {kind: 'bounded', maxStalenessMs: 1500},
			writeFraction: 0,
			transactionFraction: 0.1,
			meanStatementMs: 40,
			latencyObjectiveMs: 600,
			timeoutMs: 6000,
			operationsPerSecond: 12.6,
			worth: 1,
			lateWorth: 0.1,
			priority: 2,
			retries: 2,
		},
		{
			name: 'swaps',
			consistency: {kind: 'ownWrites', maxStalenessMs: 2500},
			writeFraction: 0.12,
			transactionFraction: 0.12,
			meanStatementMs: 24,
			latencyObjectiveMs: 400,
			timeoutMs: 2000,
			operationsPerSecond: 58.7,
			worth: 2,
			lateWorth: 0.1,
			priority: 1,
			retries: 2,
		},
	],
	customers: [
		{
			name: 'large', fraction: 0.5, rate: 80, burst: 80,
		},
		{
			name: 'middle', fraction: 0.3, rate: 50, burst: 50,
		},
		{
			name: 'small', fraction: 0.2, rate: 40, burst: 40,
		},
	],
};

/** Number of customers of the load with many customers: more than an owner has connections to a target. */
const MANY_CUSTOMERS = 140;

/** Customers whose fractions fall with their number, as those of a large deployment do. */
const createManyCustomers = (): readonly CustomerLoad[] => {
	const weights = Array.from({length: MANY_CUSTOMERS}, (_, index) => 1 / (index + 3));
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map((weight, index) => ({
		name: `customer-${index + 1}`, fraction: weight / sum, rate: 80, burst: 80,
	}));
};

/** Customers without an effective quota, so that all excess reaches the owner's queue. */
const UNLIMITED_CUSTOMERS: readonly CustomerLoad[] = BASE_LOAD.customers.map(customer => ({...customer, rate: 10_000, burst: 10_000}));

/** A small deployment with many customers, each of which needs connections of its own. */
const MANY_CUSTOMERS_LOAD: Omit<Load, 'name' | 'description' | 'events'> = {
	...BASE_LOAD,
	dialMs: 12,
	connections: 90,
	targets: BASE_LOAD.targets.map(target => ({...target, slots: 2, lagMs: Math.min(target.lagMs, 20)})),
	classes: BASE_LOAD.classes.map(operationClass => ({
		...operationClass,
		meanStatementMs: operationClass.meanStatementMs * 0.375,
		latencyObjectiveMs: operationClass.latencyObjectiveMs / 2,
		operationsPerSecond: operationClass.operationsPerSecond * 0.7,
	})),
	customers: createManyCustomers(),
};

/** Many customers whose latency objectives are close to the time of their statements, at a rate that two of the targets can serve. */
const TIGHT_LOAD: Omit<Load, 'name' | 'description' | 'events'> = {
	...BASE_LOAD,
	classes: BASE_LOAD.classes.map(operationClass => ({
		...operationClass,
		latencyObjectiveMs: operationClass.name === 'swaps' ? 200 : operationClass.latencyObjectiveMs,
		operationsPerSecond: operationClass.operationsPerSecond * 1.25,
	})),
	customers: createManyCustomers(),
};

/** All named loads. */
export const LOADS: readonly Load[] = [
	{
		...BASE_LOAD, name: 'quiet', description: 'no faults', events: [],
	},
	{
		...BASE_LOAD, name: 'burst', description: 'three times the request rate for six seconds', events: [{
			kind: 'more', factor: 3, atMs: 6000, untilMs: 12_000,
		}],
	},
	{
		...BASE_LOAD, name: 'hot-customer', description: 'one customer sends twelve times its usual request rate for eight seconds', events: [{
			kind: 'more', customer: 'small', factor: 12, atMs: 6000, untilMs: 14_000,
		}],
	},
	{
		...BASE_LOAD, name: 'overload', description: 'twice the capacity for ten seconds, without quotas', customers: UNLIMITED_CUSTOMERS, events: [{
			kind: 'more', factor: 7, atMs: 4000, untilMs: 14_000,
		}],
	},
	{
		...BASE_LOAD, name: 'customer-overload', description: 'one customer alone sends twice the capacity for ten seconds, without quotas', customers: UNLIMITED_CUSTOMERS, events: [{
			kind: 'more', customer: 'small', factor: 35, atMs: 4000, untilMs: 14_000,
		}],
	},
	{
		...BASE_LOAD, name: 'slow-target', description: 'statements on one replica take eight times as long', events: [{
			kind: 'slow', target: 'target-2', factor: 8, atMs: 6000, untilMs: 14_000,
		}],
	},
	{
		...BASE_LOAD, name: 'dark-target', description: 'one replica becomes unresponsive', events: [{
			kind: 'dark', target: 'target-3', atMs: 6000, untilMs: 14_000,
		}],
	},
	{
		...BASE_LOAD, name: 'failover', description: 'the leader becomes unresponsive and a replica is promoted two seconds later', events: [{
			kind: 'failover', target: 'target-1', atMs: 8000, untilMs: 10_000,
		}],
	},
	{
		...MANY_CUSTOMERS_LOAD, name: 'many-customers', description: 'more customers than an owner has connections to a target', durationMs: 40_000, events: [],
	},
	{
		...BASE_LOAD, name: 'restart', description: 'all vms are down for a second', events: [{kind: 'restart', atMs: 8000, untilMs: 9000}],
	},
	{
		...TIGHT_LOAD, name: 'restart-many-customers', description: 'all vms are down for a second, and each of many customers needs new connections', events: [{
			kind: 'restart', atMs: 8000, untilMs: 9000,
		}],
	},
	{
		...TIGHT_LOAD, name: 'slow-return', description: 'a replica restarts and runs at a quarter of its speed for six seconds', events: [
			{
				kind: 'stopped', target: 'target-2', atMs: 5000, untilMs: 7000,
			},
			{
				kind: 'slow', target: 'target-2', factor: 4, dialFactor: 4, atMs: 7000, untilMs: 13_000,
			},
		],
	},
	{
		...TIGHT_LOAD, name: 'fast-return', description: 'a replica restarts and is fast at once', events: [{
			kind: 'stopped', target: 'target-2', atMs: 5000, untilMs: 7000,
		}],
	},
	{
		...TIGHT_LOAD, name: 'slow-promotion', description: 'the promoted replica runs at a quarter of its speed for four seconds', events: [
			{
				kind: 'failover', target: 'target-1', atMs: 8000, untilMs: 10_000,
			},
			{
				kind: 'slow', target: 'target-2', factor: 4, dialFactor: 4, atMs: 10_000, untilMs: 14_000,
			},
		],
	},
	{
		...TIGHT_LOAD, name: 'flapping-target', description: 'a replica is unresponsive for half of each second and a half', events: Array.from({length: 6}, (_, index) => ({
			kind: 'dark', target: 'target-2', atMs: 5000 + (index * 1500), untilMs: 5750 + (index * 1500),
		})),
	},
	{
		...TIGHT_LOAD, name: 'failing-target', description: 'a replica responds to pings but loses the connections of half of its statements', events: [{
			kind: 'failing', target: 'target-2', fraction: 0.5, atMs: 6000, untilMs: 12_000,
		}],
	},
];

/** Returns the load with the given name; `undefined` if there is none. */
export const findLoad = (name: string): Load | undefined => LOADS.find(load => load.name === name);
