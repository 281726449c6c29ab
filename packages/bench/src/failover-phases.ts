/** Duration of the phases of a failover, during which a database accepts no writes. */

import type {Operation} from '@guavapitch/load';
import {EVENTS, type EventKind, type EventRecord} from '@guavapitch/telemetry';

/** Names of the phases, in order. */
export const FAILOVER_PHASES = ['detection', 'ending grants', 'choosing and recording', 'promotion', 'first write'] as const;

/** Duration of each phase, in milliseconds. */
export type FailoverPhases = Readonly<Record<typeof FAILOVER_PHASES[number], number>>;

/** Computes the phases of the first failover after a fault at `faultAt`, in milliseconds of wall-clock time; returns `undefined` if that failover did not complete. */
export const computeFailoverPhases = (events: readonly EventRecord[], history: readonly Operation[], faultAt: number): FailoverPhases | undefined => {
	const findFirstAfter = (kind: EventKind, fromMs: number): number | undefined => events
		.filter(event => event.id === kind.id && Date.parse(event.at) >= fromMs)
		.map(event => Date.parse(event.at))
		.toSorted((a, b) => a - b)[0];

	// A missing event gives NaN, and no event or write is found after NaN.
	const startedAt = findFirstAfter(EVENTS.failoverStarted, faultAt) ?? Number.NaN;
	const grantsEndedAt = findFirstAfter(EVENTS.grantsEnded, startedAt) ?? Number.NaN;
	const recordedAt = findFirstAfter(EVENTS.recordChanged, grantsEndedAt) ?? Number.NaN;
	const promotedAt = findFirstAfter(EVENTS.targetPromoted, recordedAt) ?? Number.NaN;
	const writeTimes = history
		.filter(operation => operation.kind === 'lodge' && operation.outcome === 'done' && operation.endedAt >= promotedAt)
		.map(operation => operation.endedAt);
	const writtenAt = Math.min(...writeTimes);
	return Number.isFinite(writtenAt)
		? {
			detection: startedAt - faultAt,
			'ending grants': grantsEndedAt - startedAt,
			'choosing and recording': recordedAt - grantsEndedAt,
			promotion: promotedAt - recordedAt,
			'first write': writtenAt - promotedAt,
		}
		: undefined;
};

/** Computes the number of reads that replicas served and the number of all reads, from the metrics of all entries. */
export const computeReadCounts = (metrics: ReadonlyArray<Readonly<Record<string, number>>>): Readonly<{replica: number; all: number}> => {
	const pattern = /^entry\.requests\{.*mode=(?<mode>\w+),wanted=(?<wanted>read|stale)\}$/v;
	let replica = 0;
	let all = 0;
	for (const [name, count] of metrics.flatMap(vmMetrics => Object.entries(vmMetrics))) {
		const labels = pattern.exec(name)?.groups;
		if (labels) {
			all += count;
			replica += labels.mode === 'write' ? 0 : count;
		}
	}

	return {replica, all};
};
