/** The time without writes in a failover, split into its phases. */

import type {Operation} from '@guavapitch/load';
import {EVENTS, type EventKind, type EventRecord} from '@guavapitch/telemetry';

/** Phases in order. */
export const FAILOVER_PHASES = ['detection', 'ending grants', 'choosing and recording', 'promotion', 'first write'] as const;

/** Length of each phase, in milliseconds. */
export type FailoverPhases = Readonly<Record<typeof FAILOVER_PHASES[number], number>>;

/** Splits the first failover after a fault; `undefined` if it did not run to its end. */
export const computeFailoverPhases = (events: readonly EventRecord[], history: readonly Operation[], faultAt: number): FailoverPhases | undefined => {
	const findAfter = (kind: EventKind, from: number): number | undefined => events
		.filter(event => event.id === kind.id && Date.parse(event.at) >= from)
		.map(event => Date.parse(event.at))
		.toSorted((a, b) => a - b)[0];

	const startedAt = findAfter(EVENTS.failoverStarted, faultAt) ?? Number.NaN;
	const endedAt = findAfter(EVENTS.grantsEnded, startedAt) ?? Number.NaN;
	const recordedAt = findAfter(EVENTS.recordChanged, endedAt) ?? Number.NaN;
	const promotedAt = findAfter(EVENTS.targetPromoted, recordedAt) ?? Number.NaN;
	const written = history
		.filter(operation => operation.kind === 'lodge' && operation.outcome === 'done' && operation.endedAt >= promotedAt)
		.map(operation => operation.endedAt);
	const writtenAt = Math.min(...written);
	return Number.isFinite(writtenAt)
		? {
			detection: startedAt - faultAt,
			'ending grants': endedAt - startedAt,
			'choosing and recording': recordedAt - endedAt,
			promotion: promotedAt - recordedAt,
			'first write': writtenAt - promotedAt,
		}
		: undefined;
};

/** Computes from the metrics of all entries how many reads a replica served, and how many there were. */
export const computeReadCounts = (metrics: ReadonlyArray<Readonly<Record<string, number>>>): Readonly<{replica: number; all: number}> => {
	const pattern = /^entry\.requests\{.*mode=(?<mode>\w+),wanted=(?<wanted>read|stale)\}$/v;
	let replica = 0;
	let all = 0;
	for (const [name, count] of metrics.flatMap(one => Object.entries(one))) {
		const labels = pattern.exec(name)?.groups;
		if (labels) {
			all += count;
			replica += labels.mode === 'write' ? 0 : count;
		}
	}

	return {replica, all};
};
