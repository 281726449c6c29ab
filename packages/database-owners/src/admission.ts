/** Decides which requests a database owner queues, and when a refused caller may return. */

import type {Instant} from '@guavapitch/core';

/** Load of one target as far as it delays a request. */
export type TargetCapacity = Readonly<{
	/** Number of statements that the target may run at a time; fractional while it is paced. */
	slotLimit: number;
	/** Slot time that running statements still need, in milliseconds; 0 while a slot is free. */
	runningMs: number;
	/** Returns the mean number of slots that work served before `level` has asked for lately; with `LATE_LEVEL`, all work within its objective. */
	getDemandedSlots: (level: number) => number;
}>;

/** Work of one request; an index of `expectedMs` is that of a target, `undefined` where the request can't run. */
export type Work = Readonly<{
	/** Work of smaller levels is served first. */
	level: number;
	/** Expected slot time at each target, in milliseconds. */
	expectedMs: ReadonlyArray<number | undefined>;
}>;

/** Load that a request meets: the targets, and in any order the work that is served before it or late; the latter delays it only if it is late too. */
export type AdmissionLoad = Readonly<{
	capacities: readonly TargetCapacity[];
	ahead: Iterable<Work>;
	/** Slot time promised to callers that were told to return, in milliseconds. */
	reservedMs: number;
}>;

/** Request to be admitted. */
export type AdmissionRequest = Readonly<{
	work: Work;
	/** Time left of the latency objective, in milliseconds. */
	promptMs: number;
	/** Time left until the answer must be there, in milliseconds. */
	remainingMs: number;
	/** Whether any statement of this kind has been answered. */
	isMeasured: boolean;
}>;

/** Decision with its inputs, in milliseconds. */
export type AdmissionDecision = Readonly<{
	/** `prompt`: expected within the objective; `late`: expected later, but before the deadline; `refused`: expected after the deadline. */
	kind: 'prompt' | 'late' | 'refused';
	/** Work ahead, as slot time. */
	queuedWorkMs: number;
	/** Expected time until the answer; infinite if no target is known. */
	expectedMs: number;
	remainingMs: number;
}>;

/** Estimates when work is answered; work is passed in its order of service. */
export type QueueEstimate = Readonly<{
	/** Returns the expected time until the answer if the work came next, in milliseconds; infinite if it can run nowhere. */
	estimate: (work: Work) => number;
	/** Adds work to that ahead of the following; returns its slot time, in milliseconds. */
	add: (work: Work) => number;
}>;

/** Level of work that no longer meets its objective. */
export const LATE_LEVEL = Number.POSITIVE_INFINITY;
/** Share of the slots for late work while other work waits: a late answer is worth a tenth of a prompt one or less, and callers still count on some of them. */
export const LATE_FRACTION = 0.1;
/** Smallest share of a target's slots that work of a level is assumed to get, as the demand of the levels before it varies. */
const MIN_FRACTION = 0.01;
/** Fraction of an expected wait that must exceed the deadline for a refusal: the times of statements vary by a third around their mean, of which about a tenth remains over a queue. */
const CERTAIN_WAIT_FRACTION = 0.9;
/** Fraction of an objective within which an answer must be expected to count as prompt on arrival: a queue that is as long as the objective leaves nothing for work that arrives later and goes first. */
export const PROMPT_FRACTION = 0.6;
/** Longest retry time: half of the longest time for which callers keep trying, so that most of them can return. */
const MAX_RETRY_AFTER_MS = 4000;
/** Fraction of the time left after which a caller with a place may return at the earliest, so that most of the time is left for its answer. */
const EARLIEST_RETURN_FRACTION = 0.25;

/** Creates the estimate of an empty queue. */
export const createQueueEstimate = (capacities: readonly TargetCapacity[], reservedMs = 0): QueueEstimate => {
	const promptMs = capacities.map(({runningMs}) => runningMs);
	const totalSlots = capacities.reduce((total, {slotLimit}) => total + slotLimit, 0);
	const lateMs = capacities.map(({slotLimit}) => reservedMs * slotLimit / Math.max(totalSlots, 1));
	const freeSlotsByLevel = new Map<number, readonly number[]>();

	/** Returns the slots of each target that work before a level leaves; kept for the many requests of the same level. */
	const getFreeSlots = (level: number): readonly number[] => {
		const known = freeSlotsByLevel.get(level);
		if (known) {
			return known;
		}

		const freeSlots = capacities.map(({slotLimit, getDemandedSlots}) => slotLimit - getDemandedSlots(level));
		freeSlotsByLevel.set(level, freeSlots);
		return freeSlots;
	};

	const estimateWaitMs = (slotLimit: number, index: number, level: number): number => {
		const lateSlots = slotLimit * LATE_FRACTION;
		const freeSlots = getFreeSlots(level)[index] ?? 0;
		const aheadMs = promptMs[index] ?? 0;
		if (level !== LATE_LEVEL) {
			return aheadMs / Math.max(freeSlots - lateSlots, slotLimit * MIN_FRACTION);
		}

		const lateAheadMs = lateMs[index] ?? 0;
		return Math.min(lateAheadMs / lateSlots, (aheadMs + lateAheadMs) / Math.max(freeSlots, lateSlots));
	};

	const findBest = (work: Work): Readonly<{index: number; answerMs: number; serviceMs: number}> => {
		let best = {index: -1, answerMs: Number.POSITIVE_INFINITY, serviceMs: 0};
		for (const [index, {slotLimit}] of capacities.entries()) {
			const serviceMs = work.expectedMs[index];
			const answerMs = serviceMs === undefined ? Number.POSITIVE_INFINITY : estimateWaitMs(slotLimit, index, work.level) + serviceMs;
			if (answerMs < best.answerMs) {
				best = {index, answerMs, serviceMs: serviceMs ?? 0};
			}
		}

		return best;
	};

	return {
		estimate: work => findBest(work).answerMs,
		add(work) {
			const {index, serviceMs} = findBest(work);
			const backlogs = work.level === LATE_LEVEL ? lateMs : promptMs;
			if (index >= 0) {
				backlogs[index] = (backlogs[index] ?? 0) + serviceMs;
			}

			return serviceMs;
		},
	};
};

/** Decides on a request whose work comes next in an estimate. Work that no target is known for is queued: one may appear. */
export const evaluateWork = (estimate: QueueEstimate, {work, promptMs, remainingMs, isMeasured}: AdmissionRequest, queuedWorkMs: number): AdmissionDecision => {
	const promptExpectedMs = estimate.estimate(work);
	if (promptExpectedMs <= promptMs * PROMPT_FRACTION || promptExpectedMs === Number.POSITIVE_INFINITY) {
		return {
			kind: 'prompt', queuedWorkMs, expectedMs: promptExpectedMs, remainingMs,
		};
	}

	const expectedMs = estimate.estimate({...work, level: LATE_LEVEL}) * CERTAIN_WAIT_FRACTION;
	// Until a kind was answered, its estimate is only a default, which may be too low by half.
	const allowedMs = isMeasured ? remainingMs : remainingMs / 2;
	return {
		kind: expectedMs <= allowedMs ? 'late' : 'refused', queuedWorkMs, expectedMs, remainingMs,
	};
};

/** Decides on a request that arrives. */
export const checkAdmission = ({capacities, ahead, reservedMs}: AdmissionLoad, request: AdmissionRequest): AdmissionDecision => {
	const estimate = createQueueEstimate(capacities, reservedMs);
	let queuedWorkMs = capacities.reduce((total, {runningMs}) => total + runningMs, 0);
	for (const work of ahead) {
		queuedWorkMs += estimate.add(work);
	}

	return evaluateWork(estimate, request, queuedWorkMs);
};

/** Inputs of a retry time. */
export type RetryLoad = Readonly<{
	now: Instant;
	decision: AdmissionDecision;
	/** Expected slot time of the refused request, in milliseconds. */
	workMs: number;
	/** Slots for callers that return. */
	returnSlots: number;
	/** When the last caller that was told to return is expected to be served. */
	placesEndAt: Instant;
	/** Draws a random number in [0, 1). */
	random: () => number;
}>;

/** When a refused caller may return; `placesEndAt` is when its place ends, `undefined` if none could be reserved. */
export type RetryTime = Readonly<{retryAfterMs: number; placesEndAt: Instant | undefined}>;

/**
 * Computes when a refused caller may return: when the work ahead is done or a quarter of its time has passed, behind the callers that were told before.
 * Each caller gets the time in which the slots for returning callers do its work. Times beyond the longest are spread over the second half of it, without a place.
 */
export const computeRetryAfter = ({
	now, decision, workMs, returnSlots, placesEndAt, random,
}: RetryLoad): RetryTime => {
	const earliestMs = Math.min(decision.expectedMs, decision.remainingMs * EARLIEST_RETURN_FRACTION);
	const retryAfterMs = Math.max(earliestMs, placesEndAt - now);
	if (retryAfterMs > MAX_RETRY_AFTER_MS) {
		return {retryAfterMs: MAX_RETRY_AFTER_MS * (0.5 + (random() / 2)), placesEndAt: undefined};
	}

	return {retryAfterMs, placesEndAt: (now + retryAfterMs + (workMs / returnSlots)) as Instant};
};
