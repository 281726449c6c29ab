/** Named loads: who asks what, of which targets, and what goes wrong meanwhile. */

import type {Consistency} from '@guavapitch/sessions';

/** A kind of operation that callers ask for. */
export type OperationClass = Readonly<{
	name: string;
	consistency: Consistency;
	/** Part of the operations that write. */
	writeFraction: number;
	/** Part of the operations that are transactions of three statements with pauses. */
	transactionFraction: number;
	/** Mean time of a statement in its slot, in milliseconds. */
	meanStatementMs: number;
	/** Time in which an operation should be answered, in milliseconds. */
	latencyObjectiveMs: number;
	/** Time after which its caller gives up, in milliseconds. */
	timeoutMs: number;
	operationsPerSecond: number;
	/** Worth of an operation in time, and of a late one. */
	worth: number;
	lateWorth: number;
	/** Smaller goes first. */
	priority: number;
	/** Times that a caller tries again. */
	retries: number;
}>;

/** A target of the emulated database. */
export type TargetSpec = Readonly<{id: string; dataCentre: string; slots: number; lagMs: number}>;

/** A customer, its part of the operations and its share. */
export type CustomerLoad = Readonly<{name: string; fraction: number; rate: number; burst: number}>;

/** Something that changes during a load. */
export type LoadEvent = Readonly<{atMs: number; untilMs: number}> & (
	/** All callers, or those of one customer, ask this many times as often. */
	| Readonly<{kind: 'more'; factor: number; customer?: string}>
	/** A target takes this many times as long. */
	| Readonly<{kind: 'slow'; target: string; factor: number}>
	/** A target neither answers nor refuses. */
	| Readonly<{kind: 'dark'; target: string}>
	/** The leader is dark; another target leads from the end on. */
	| Readonly<{kind: 'failover'; target: string}>
	/** All vms are away; the home starts with nothing. */
	| Readonly<{kind: 'restart'}>
);

/** A load that can be replayed. */
export type Load = Readonly<{
	name: string;
	/** What it shows. */
	description: string;
	durationMs: number;
	/** Time that a new connection holds a slot, in milliseconds. */
	dialMs: number;
	/** Way between two data centres, in milliseconds. */
	networkDelayMs: number;
	connections: number;
	dataCentres: readonly string[];
	/** The first one leads. */
	targets: readonly TargetSpec[];
	classes: readonly OperationClass[];
	customers: readonly CustomerLoad[];
	events: readonly LoadEvent[];
}>;

/** Operations, targets and customers of one database of a small deployment. */
const BASE: Omit<Load, 'name' | 'description' | 'events'> = {
	durationMs: 20_000,
	dialMs: 27,
	networkDelayMs: 1,
	connections: 38,
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

/** All named loads. */
export const LOADS: readonly Load[] = [
	{
		...BASE, name: 'quiet', description: 'nothing happens', events: [],
	},
	{
		...BASE, name: 'burst', description: 'three times as many operations for six seconds', events: [{
			kind: 'more', factor: 3, atMs: 6000, untilMs: 12_000,
		}],
	},
	{
		...BASE, name: 'hot-customer', description: 'one customer asks twelve times as often for eight seconds', events: [{
			kind: 'more', customer: 'small', factor: 12, atMs: 6000, untilMs: 14_000,
		}],
	},
	{
		...BASE, name: 'slow-target', description: 'one replica takes eight times as long', events: [{
			kind: 'slow', target: 'target-2', factor: 8, atMs: 6000, untilMs: 14_000,
		}],
	},
	{
		...BASE, name: 'dark-target', description: 'one replica falls silent', events: [{
			kind: 'dark', target: 'target-3', atMs: 6000, untilMs: 14_000,
		}],
	},
	{
		...BASE, name: 'failover', description: 'the leader falls silent and a replica leads two seconds later', events: [{
			kind: 'failover', target: 'target-1', atMs: 8000, untilMs: 10_000,
		}],
	},
	{
		...BASE, name: 'restart', description: 'all vms are away for a second', events: [{kind: 'restart', atMs: 8000, untilMs: 9000}],
	},
];

/** Finds a load by its name. */
export const findLoad = (name: string): Load | undefined => LOADS.find(load => load.name === name);
