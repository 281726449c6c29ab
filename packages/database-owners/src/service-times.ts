/** Estimates how long statements of a kind take on each target, from their answers. */

import type {Instant, TargetId} from '@guavapitch/core';
import {getAccess, type StatementRequest} from '@guavapitch/sessions';

/** Identifier of statements that take similar times; the first part is shared by all objectives. */
export type StatementKind = Readonly<{group: string; name: string}>;

/** Running estimates of one database. */
export type ServiceTimes = Readonly<{
	/** Estimates the time of a statement, in milliseconds. */
	estimate: (kind: StatementKind, target: TargetId, now: Instant) => number;
	/** Returns the time since the last answer to a statement of the kind's group, in milliseconds; infinite if there was none. */
	getAgeMs: (kind: StatementKind, now: Instant) => number;
	/** Records the time of a statement that was answered, in milliseconds. */
	recordAnswer: (kind: StatementKind, target: TargetId, answer: Readonly<{ms: number; now: Instant}>) => void;
	/** Forgets all targets but the given ones. */
	keepTargets: (targets: ReadonlySet<TargetId>) => void;
}>;

type Estimate = {meanMs: number; count: number; updatedAt: Instant};

/** Assumed time before the first answer: between a quarter and three times that of the statements that the platform describes. */
const INITIAL_MS = 10;
/** Smallest time that is recorded, in milliseconds; estimates are divided by each other. */
const MIN_MS = 0.1;
/** Weight of a new answer: after ten answers an estimate has followed a change by nine tenths. */
const ANSWER_WEIGHT = 0.2;
/** Weight of the first answer after a gap: older answers tell little about the target of now. */
const PROBE_WEIGHT = 0.5;
/** Time without an answer after which an estimate counts as old, in milliseconds. */
const GAP_MS = 1000;
/** Time in which the excess of an old estimate over that of the fastest target halves, so that a target that was slow is tried again. */
const FORGETTING_HALF_LIFE_MS = 5000;
/** Name of the estimates over all kinds of a target. */
const ANY_KIND = '';

/** Creates the kind of a request's statement. The objective is rounded up to a power of two, since only what is left of it is known. */
export const createStatementKind = (request: StatementRequest): StatementKind => {
	const {consistency, transaction} = request;
	const isRead = transaction ? transaction.readOnly : getAccess(request.statement) === 'read';
	const staleness = consistency.kind === 'latest' ? '' : String(consistency.maxStalenessMs);
	const group = `${isRead ? 'read' : 'write'} ${consistency.kind} ${staleness} ${transaction ? 'transaction' : 'single'}`;
	return {group, name: `${group} ${Math.ceil(Math.log2(Math.max(1, request.promptMs)))}`};
};

/** Creates estimates without answers. */
export const createServiceTimes = (): ServiceTimes => {
	/** Estimates of each target by the name of a kind, by a group of kinds and over all kinds. */
	const estimatesByTarget = new Map<TargetId, Map<string, Estimate>>();

	/** How many times as long as the fastest target each target takes, over all kinds. */
	const slownessByTarget = new Map<TargetId, Estimate>();

	/** Returns the mean time of the fastest target for a name; `undefined` without answers. */
	const findFastestMs = (name: string): number | undefined => {
		let fastestMs: number | undefined;
		for (const estimates of estimatesByTarget.values()) {
			const meanMs = estimates.get(name)?.meanMs;
			if (meanMs !== undefined && meanMs < (fastestMs ?? Number.POSITIVE_INFINITY)) {
				fastestMs = meanMs;
			}
		}

		return fastestMs;
	};

	/** Returns the slowness of a target, which shows on kinds that have few answers of their own; an old one is forgotten. */
	const getSlowness = (target: TargetId, now: Instant): number => {
		const slowness = slownessByTarget.get(target);
		if (!slowness) {
			return 1;
		}

		const oldMs = Math.max(0, now - slowness.updatedAt - GAP_MS);
		return 1 + ((slowness.meanMs - 1) * (0.5 ** (oldMs / FORGETTING_HALF_LIFE_MS)));
	};

	const computeCurrentMs = ({meanMs, updatedAt}: Estimate, name: string, now: Instant): number => {
		const oldMs = now - updatedAt - GAP_MS;
		if (oldMs <= 0) {
			return meanMs;
		}

		const fastestMs = findFastestMs(name) ?? meanMs;
		return fastestMs + ((meanMs - fastestMs) * (0.5 ** (oldMs / FORGETTING_HALF_LIFE_MS)));
	};

	const recordUnder = (estimates: Map<string, Estimate>, name: string, {ms, now}: Readonly<{ms: number; now: Instant}>) => {
		const estimate = estimates.get(name);
		if (!estimate) {
			estimates.set(name, {meanMs: ms, count: 1, updatedAt: now});
			return;
		}

		const weight = now - estimate.updatedAt > GAP_MS ? PROBE_WEIGHT : Math.max(ANSWER_WEIGHT, 1 / (estimate.count + 1));
		estimate.meanMs += (ms - estimate.meanMs) * weight;
		estimate.count++;
		estimate.updatedAt = now;
	};

	return {
		estimate({group, name}, target, now) {
			const estimates = estimatesByTarget.get(target);
			for (const candidate of [name, group]) {
				const fastestMs = findFastestMs(candidate);
				if (fastestMs !== undefined) {
					const own = estimates?.get(candidate);
					return Math.max(own ? computeCurrentMs(own, candidate, now) : 0, fastestMs * getSlowness(target, now));
				}
			}

			return estimates?.get(ANY_KIND)?.meanMs ?? findFastestMs(ANY_KIND) ?? INITIAL_MS;
		},
		getAgeMs({group}, now) {
			let ageMs = Number.POSITIVE_INFINITY;
			for (const estimates of estimatesByTarget.values()) {
				ageMs = Math.min(ageMs, now - (estimates.get(group)?.updatedAt ?? Number.NEGATIVE_INFINITY));
			}

			return ageMs;
		},
		recordAnswer({group, name}, target, {ms, now}) {
			const answer = {ms: Math.max(MIN_MS, ms), now};
			const estimates = estimatesByTarget.get(target) ?? new Map<string, Estimate>();
			estimatesByTarget.set(target, estimates);
			const slowness = slownessByTarget.get(target) ?? {meanMs: 1, count: 1, updatedAt: answer.now};
			const weight = answer.now - slowness.updatedAt > GAP_MS ? PROBE_WEIGHT : ANSWER_WEIGHT;
			slowness.meanMs += ((answer.ms / (findFastestMs(name) ?? answer.ms)) - slowness.meanMs) * weight;
			slowness.updatedAt = answer.now;
			slownessByTarget.set(target, slowness);
			for (const key of [name, group, ANY_KIND]) {
				recordUnder(estimates, key, answer);
			}
		},
		keepTargets(targets) {
			for (const target of estimatesByTarget.keys()) {
				if (!targets.has(target)) {
					estimatesByTarget.delete(target);
					slownessByTarget.delete(target);
				}
			}
		},
	};
};
