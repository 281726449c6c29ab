/** Order in which a database owner serves the requests that wait for a slot. */

import {isPast, type Deadline, type Instant} from '@guavapitch/core';
import {
	createQueueEstimate, evaluateWork, LATE_LEVEL, PROMPT_FRACTION, type AdmissionDecision, type AdmissionRequest, type TargetCapacity,
} from './admission.js';
import type {CustomerShares} from './customer-shares.js';
import type {SlotRequest} from './slot-scheduler.js';

/** A request that waits. */
export type WaitingRequest = {
	readonly request: SlotRequest;
	readonly order: number;
	/** Objective from the arrival, in milliseconds; infinite if the request has none. */
	readonly objectiveMs: number;
	/** Whether it came back when told: its place was reserved. */
	isReturn: boolean;
	/** Expected slot time at each target, by index; `undefined` where it can't run. */
	expectedMs: ReadonlyArray<number | undefined>;
	/** Smallest of the expected slot times, in milliseconds. */
	workMs: number;
	estimatedAt: Instant;
	/** Requests of smaller levels go first. */
	level: number;
	/** Since when it was first expected to miss its objective; of late requests, the one that was late first goes first. */
	lateSince: Instant | undefined;
	/** Virtual time of the customer at which the request is due, in milliseconds. */
	virtualMs: number;
};

/** Level of requests that continue a transaction, which occupies a connection. */
export const PINNED_LEVEL = -2;
/** Level of callers that return when told: behind the customers inside their share, whose latency they must not raise, and before the others. */
export const RETURN_LEVEL = 1_000_000;
/** Offset of the levels of customers above their share; larger than any priority. */
const ABOVE_SHARE_OFFSET = 2 * RETURN_LEVEL;
/** Fraction of the objective within which a customer's waiting work must be done with its share of the slots; a quarter leaves the others most of their objective, as work that runs is not interrupted. */
const SHARE_FRACTION = 0.25;
/** How much longer than its time left a waiting request must be expected to take before it counts as late, or is refused: it is estimated again many times, and one estimate that is too high must not decide. */
const WAITING_MARGIN = 1.25;

/** Compares two waiting requests; the one to serve first sorts first. */
export const compareWaitingRequests = (a: WaitingRequest, b: WaitingRequest): number => {
	if (a.level !== b.level) {
		return a.level < b.level ? -1 : 1;
	}

	return (a.level === LATE_LEVEL ? Number(b.isReturn) - Number(a.isReturn) || (a.lateSince ?? 0) - (b.lateSince ?? 0) : 0)
		|| a.virtualMs - b.virtualMs
		|| a.order - b.order;
};

/** Sets the level and the virtual time of a request, behind waiting work of its customer, in milliseconds. A customer is above its share if this work can't be done within the objective with its share of the slots. */
export const applyRank = (waiting: WaitingRequest, shares: CustomerShares, ownWorkMs: number, slotCount: number): void => {
	const {request, objectiveMs, isReturn} = waiting;
	waiting.virtualMs = shares.getVirtualMs(request.customer) + (ownWorkMs / shares.getShare(request.customer));
	if (request.isPinned) {
		waiting.level = PINNED_LEVEL;
	} else if (isReturn) {
		waiting.level = RETURN_LEVEL;
	} else {
		const isAboveShare = waiting.virtualMs - shares.getSystemMs() > slotCount * objectiveMs * SHARE_FRACTION;
		waiting.level = request.priority + (isAboveShare ? ABOVE_SHARE_OFFSET : 0);
	}
};

/** Creates the inputs of an admission decision. */
export const createAdmissionRequest = ({request, level, expectedMs}: WaitingRequest, isMeasured: boolean, now: Instant): AdmissionRequest => ({
	work: {level, expectedMs},
	promptMs: request.latencyDeadline - now,
	remainingMs: request.answerDeadline - now,
	isMeasured,
});

/** Tells whether admission applies to a request: it states an objective and continues no transaction. */
export const isAdmissionControlled = ({request}: WaitingRequest): boolean => Number.isFinite(request.latencyDeadline) && !request.isPinned;

/** Ranks waiting requests and sorts them by the order of service. */
export const rankWaitingRequests = (waitingRequests: readonly WaitingRequest[], shares: CustomerShares, slotCount: number): readonly WaitingRequest[] => {
	const ownWork = new Map<string, number>();
	for (const waiting of waitingRequests.toSorted((a, b) => a.request.priority - b.request.priority || a.order - b.order)) {
		const ownWorkMs = ownWork.get(waiting.request.customer) ?? 0;
		applyRank(waiting, shares, ownWorkMs, slotCount);
		ownWork.set(waiting.request.customer, ownWorkMs + waiting.workMs);
	}

	return waitingRequests.toSorted(compareWaitingRequests);
};

/** Result of a review: the requests that stay, in their order of service, and those to refuse, with the decision. */
export type Review = Readonly<{
	staying: readonly WaitingRequest[];
	refused: ReadonlyArray<Readonly<{waiting: WaitingRequest; decision: AdmissionDecision}>>;
}>;

/** Moves requests that can no longer meet their objective behind the others, and finds those that can't be answered before their deadline. The requests are in their order of service. */
export const evaluateWaitingRequests = (ranked: readonly WaitingRequest[], capacities: readonly TargetCapacity[], now: Instant): Review => {
	const estimate = createQueueEstimate(capacities);
	const prompt: WaitingRequest[] = [];
	const late: WaitingRequest[] = [];
	for (const waiting of ranked) {
		const work = {level: waiting.level, expectedMs: waiting.expectedMs};
		const promptMs = waiting.request.latencyDeadline - now;
		const expectedMs = estimate.estimate(work);
		// A request that was late counts as prompt again only as a new one would, so that it does not change its place with each estimate.
		const margin = waiting.lateSince === undefined ? WAITING_MARGIN : PROMPT_FRACTION;
		const isLate = !waiting.request.isPinned && (promptMs <= 0 || (expectedMs !== Number.POSITIVE_INFINITY && expectedMs > promptMs * margin));
		if (isLate) {
			waiting.level = LATE_LEVEL;
			waiting.lateSince ??= now;
			late.push(waiting);
		} else {
			estimate.add(work);
			prompt.push(waiting);
		}
	}

	const staying: WaitingRequest[] = prompt;
	const refused: Array<{waiting: WaitingRequest; decision: AdmissionDecision}> = [];
	for (const waiting of late.toSorted(compareWaitingRequests)) {
		const admissionRequest = createAdmissionRequest(waiting, true, now);
		const decision = evaluateWork(estimate, {...admissionRequest, remainingMs: admissionRequest.remainingMs * WAITING_MARGIN}, 0);
		if (decision.kind === 'refused' && isAdmissionControlled(waiting)) {
			refused.push({waiting, decision: {...decision, remainingMs: admissionRequest.remainingMs}});
		} else {
			estimate.add(admissionRequest.work);
			staying.push(waiting);
		}
	}

	return {staying, refused};
};

/** Splits requests into those that still wait and those whose time for a slot has passed. */
export const splitExpired = (waitingRequests: readonly WaitingRequest[], now: Instant): Readonly<{staying: readonly WaitingRequest[]; expired: readonly WaitingRequest[]}> => {
	const hasExpired = ({request}: Readonly<{request: Readonly<{deadline: Deadline}>}>) => isPast(request.deadline, now);
	return waitingRequests.some(waiting => hasExpired(waiting))
		? {staying: waitingRequests.filter(waiting => !hasExpired(waiting)), expired: waitingRequests.filter(waiting => hasExpired(waiting))}
		: {staying: waitingRequests, expired: []};
};
