/** Schedules requests on the slots of a database's targets. */

import {
	Err, isPast, Ok, type CustomerId, type Deadline, type Failure, type Instant, type Result, type TargetId, type Runtime,
} from '@guavapitch/core';
import {
	checkAdmission, computeRetryAfter, LATE_FRACTION, LATE_LEVEL, type AdmissionDecision, type TargetCapacity,
} from './admission.js';
import {createCustomerShares} from './customer-shares.js';
import {createReturnPlaces} from './return-places.js';
import {createServiceTimes, type StatementKind} from './service-times.js';
import {createSlotUsage, type SlotUsage} from './slot-usage.js';
import {
	applyRank, compareWaitingRequests, createAdmissionRequest, evaluateWaitingRequests, isAdmissionControlled, PINNED_LEVEL, rankWaitingRequests, RETURN_LEVEL, splitExpired, type WaitingRequest,
} from './waiting-queue.js';

/** Failure to acquire a slot; nothing has run. */
export type SlotRefusal = Failure<'queueFull' | 'notInTime' | 'deadlinePassed'> & Readonly<{
	/** Time after which the caller may try again, in milliseconds; 0 with `deadlinePassed`. */
	retryAfterMs: number;
	/** Decision behind `notInTime`, and the age of its service-time estimate in milliseconds. */
	admission?: AdmissionDecision & Readonly<{ageMs: number; isOnArrival: boolean}>;
}>;

/** Load of a target, used to place requests. */
export type TargetLoad = Readonly<{
	id: TargetId;
	/** Number of slots in use. */
	busyCount: number;
	/** Number of statements that the target may run concurrently now. */
	slotCount: number;
	/** Expected time of the statement to place, in milliseconds. */
	meanMs: number;
}>;

/** A request that needs a slot. */
export type SlotRequest = Readonly<{
	customer: CustomerId;
	kind: StatementKind;
	/** Smaller values are served first. */
	priority: number;
	/** Until when a response is within the latency objective; infinite if there is none: the request is then queued without admission control. */
	latencyDeadline: Deadline;
	/** Until when the request waits for a slot. */
	deadline: Deadline;
	/** Until when the answer must be there. */
	answerDeadline: Deadline;
	/** Whether the request continues a transaction; such requests go first, as a transaction occupies a connection. */
	isPinned: boolean;
	/** Chooses one of the targets with a free slot; `undefined` to keep waiting. */
	chooseTarget: (freeTargets: readonly TargetLoad[]) => TargetId | undefined;
}>;

/** A slot of a target, in use until it is released. */
export type Slot = Readonly<{
	target: TargetId;
	/** Releases the slot; `servedMs` is the time that the statement took, if it ran. */
	release: (servedMs?: number) => void;
}>;

/** Scheduler of one database's requests: by transaction, latency objective, share, priority and fair queueing between customers. */
export type SlotScheduler = Readonly<{
	/** Waits for a slot; fails with `queueFull`, `deadlinePassed`, or with `notInTime` as soon as no answer is expected before the deadline. */
	acquire: (request: SlotRequest) => Promise<Result<Slot, SlotRefusal>>;
	/** Replaces the targets and their numbers of slots. */
	setTargets: (targets: ReadonlyArray<Readonly<{id: TargetId; slots: number}>>) => void;
	/** Checks again which waiting requests can run; called when a target or a connection becomes usable. */
	admitWaiting: () => void;
	getWaitingCount: () => number;
	/** Returns the number of a target's slots that are in use; 0 for an unknown target. */
	getRunningCount: (target: TargetId) => number;
}>;

/** Options of a scheduler. */
export type SlotSchedulerOptions = Readonly<{
	/** Returns how many slots of a target may be in use now; by default all. Below 1 but above 0, one statement runs at a time; at 0, none starts. */
	getSlotLimit?: (target: TargetId) => number;
}>;

/** Slots of a target; `index` is its index in estimates. */
type Load = {readonly id: TargetId; slotCount: number; readonly usage: SlotUsage};

/** A waiting request and the function that ends its wait. */
type Waiter = WaitingRequest & Readonly<{settle: (result: Result<Slot, SlotRefusal>) => void}>;

/** Maximum number of waiting requests; bounds the memory and the time of a decision. */
const MAX_WAITING = 512;
/** Retry time with a full queue for requests without an objective, for which no time can be estimated. */
const FULL_RETRY_MS = 500;
/** Interval between reviews of the waiting requests, in milliseconds: a tenth of the shortest objectives. */
const REVIEW_INTERVAL_MS = 20;
/** Age from which the expected times of a waiting request are computed again, in milliseconds; health and estimates change in some tenths of a second. */
const ESTIMATE_AGE_MS = 100;
/** Longest time for which a customer that used more than its share waits behind the others, in milliseconds: that of the longest usual deadlines. */
const MAX_LEAD_MS = 2000;
/** Smallest slot limit that estimates assume. */
const MIN_SLOT_LIMIT = 0.1;

/** Creates a scheduler without targets. */
export const createSlotScheduler = (runtime: Runtime, {getSlotLimit = () => Number.POSITIVE_INFINITY}: SlotSchedulerOptions = {}): SlotScheduler => {
	let loads: readonly Load[] = [];
	const shares = createCustomerShares();
	const serviceTimes = createServiceTimes();
	const returnPlaces = createReturnPlaces();
	/** In their order of service, as of the last review. */
	let waiters: readonly Waiter[] = [];
	let nextOrder = 0;
	let reviewedAt = Number.NEGATIVE_INFINITY;
	let isReviewScheduled = false;
	/** Slot time that late work may use before other work, in milliseconds. */
	let lateCreditMs = 0;

	const countSlots = (): number => loads.reduce((total, {slotCount}) => total + slotCount, 0);

	/** Returns the number of slots of a target that may be in use now. */
	const getUsableSlots = ({id, slotCount}: Load): number => {
		const limit = Math.min(slotCount, getSlotLimit(id));
		return limit > 0 ? Math.max(1, Math.floor(limit)) : 0;
	};

	const describeLoad = (load: Load, kind: StatementKind, busyCount: number): TargetLoad => ({
		id: load.id, busyCount, slotCount: Math.max(1, getUsableSlots(load)), meanMs: serviceTimes.estimate(kind, load.id, runtime.now()),
	});

	const hasFreeSlot = (load: Load): boolean => load.usage.getRunningCount() < getUsableSlots(load);

	const describeCapacities = (now: Instant): readonly TargetCapacity[] => loads.map(load => ({
		slotLimit: Math.max(MIN_SLOT_LIMIT, Math.min(load.slotCount, getSlotLimit(load.id))),
		runningMs: hasFreeSlot(load) ? 0 : load.usage.getRunningMs(now),
		getDemandedSlots: level => load.usage.getDemandedSlots(level, now),
	}));

	/** Computes the expected slot time at each target on which the request could run if all its slots were free. */
	const estimateWork = ({kind, chooseTarget}: SlotRequest): Pick<WaitingRequest, 'expectedMs' | 'workMs' | 'estimatedAt'> => {
		const estimatedAt = runtime.now();
		const expectedMs = loads.map(load => chooseTarget([describeLoad(load, kind, 0)]) === load.id ? serviceTimes.estimate(kind, load.id, estimatedAt) : undefined);
		const workMs = Math.min(...expectedMs.filter(ms => ms !== undefined));
		return {expectedMs, workMs: Number.isFinite(workMs) ? workMs : 0, estimatedAt};
	};

	const occupySlot = ({customer, kind}: SlotRequest, load: Load): Slot => {
		const startedAt = runtime.now();
		const chargedMs = serviceTimes.estimate(kind, load.id, startedAt);
		const recordEnd = load.usage.start(chargedMs, startedAt);
		let isReleased = false;
		shares.charge(customer, chargedMs);
		return {
			target: load.id,
			release(servedMs) {
				if (isReleased) {
					return;
				}

				isReleased = true;
				const now = runtime.now();
				recordEnd();
				shares.charge(customer, now - startedAt - chargedMs);
				shares.recordDeparture(customer);
				if (servedMs !== undefined) {
					serviceTimes.recordAnswer(kind, load.id, {ms: servedMs, now});
				}

				admitWaiting();
			},
		};
	};

	const tryOccupySlot = (request: SlotRequest): Slot | undefined => {
		const freeLoads = loads.filter(load => hasFreeSlot(load));
		const chosen = freeLoads.length > 0 ? request.chooseTarget(freeLoads.map(load => describeLoad(load, request.kind, load.usage.getRunningCount()))) : undefined;
		const load = chosen === undefined ? undefined : freeLoads.find(({id}) => id === chosen);
		return load && occupySlot(request, load);
	};

	/** Creates the refusal of a request that is not expected to be answered in time, and reserves a place for the caller's return. */
	const refuseInTime = ({request, expectedMs, workMs}: WaitingRequest, decision: AdmissionDecision, isOnArrival: boolean): SlotRefusal => {
		const now = runtime.now();
		const group = expectedMs.map(ms => ms === undefined ? '-' : '+').join('');
		const returnSlots = describeCapacities(now)
			.filter((_, index) => expectedMs[index] !== undefined)
			.reduce((total, {slotLimit, getDemandedSlots}) => total + Math.max(slotLimit * LATE_FRACTION, slotLimit - getDemandedSlots(LATE_LEVEL)), 0);
		const {retryAfterMs, placesEndAt} = computeRetryAfter({
			now, decision, workMs, returnSlots, placesEndAt: returnPlaces.getEnd(group), random: runtime.random,
		});
		if (placesEndAt !== undefined) {
			returnPlaces.reserve({
				customer: request.customer, route: request.kind.group, group, workMs, returnsAt: (now + retryAfterMs) as Instant,
			}, placesEndAt);
		}

		return {
			code: 'notInTime', message: 'No answer is expected before the deadline', retryAfterMs, admission: {...decision, ageMs: serviceTimes.getAgeMs(request.kind, now), isOnArrival},
		};
	};

	const settleRefused = ({request, settle}: Waiter, refusal: SlotRefusal) => {
		shares.recordDeparture(request.customer);
		settle(Err(refusal));
	};

	/** Ranks the waiting requests again, and refuses those that can't be answered in time; `mustEstimate` if what the targets can do has changed. */
	const reviewWaiting = (mustEstimate: boolean) => {
		const now = runtime.now();
		reviewedAt = now;
		const {staying, expired} = splitExpired(waiters, now);
		for (const waiting of staying) {
			if (mustEstimate || now - waiting.estimatedAt >= ESTIMATE_AGE_MS) {
				Object.assign(waiting, estimateWork(waiting.request));
			}
		}

		shares.capLead(countSlots() * MAX_LEAD_MS);
		const review = evaluateWaitingRequests(rankWaitingRequests(staying, shares, countSlots()), describeCapacities(now), now);
		waiters = review.staying as readonly Waiter[];
		for (const waiter of expired as readonly Waiter[]) {
			settleRefused(waiter, {code: 'deadlinePassed', message: 'No slot became free before the deadline', retryAfterMs: 0});
		}

		for (const {waiting, decision} of review.refused) {
			settleRefused(waiting as Waiter, refuseInTime(waiting, decision, false));
		}
	};

	const scheduleReview = () => {
		if (!isReviewScheduled && waiters.length > 0) {
			isReviewScheduled = true;
			runtime.schedule(REVIEW_INTERVAL_MS, () => {
				isReviewScheduled = false;
				admitWaiting();
			});
		}
	};

	/** Starts the waiting request that goes first and can run; `false` if none can. */
	const startNext = (): boolean => {
		const firstLate = waiters.findIndex(({level}) => level === LATE_LEVEL);
		const mayLateGoFirst = firstLate > 0 && lateCreditMs >= (waiters[firstLate]?.workMs ?? 0);
		const candidates = mayLateGoFirst ? [...waiters.slice(firstLate), ...waiters.slice(0, firstLate)] : waiters;
		for (const waiter of candidates) {
			const slot = tryOccupySlot(waiter.request);
			if (slot) {
				const isLate = waiter.level === LATE_LEVEL;
				lateCreditMs = firstLate === -1 ? 0 : Math.max(0, lateCreditMs + (isLate ? -waiter.workMs : waiter.workMs * LATE_FRACTION / (1 - LATE_FRACTION)));
				waiters = waiters.filter(other => other !== waiter);
				waiter.settle(Ok(slot));
				return true;
			}
		}

		return false;
	};

	const admitWaiting = (mustEstimate = false) => {
		if (waiters.length === 0) {
			return;
		}

		if (mustEstimate || runtime.now() - reviewedAt >= REVIEW_INTERVAL_MS) {
			reviewWaiting(mustEstimate);
		}

		while (loads.some(load => hasFreeSlot(load)) && startNext()) {
			// Each call starts one request.
		}

		scheduleReview();
	};

	/** Records the work that an arrival asks for, divided between the targets that can run it. */
	const recordDemand = ({level, expectedMs}: WaitingRequest, now: Instant) => {
		const candidates = loads.filter((_, index) => expectedMs[index] !== undefined);
		const slotCount = candidates.reduce((total, load) => total + load.slotCount, 0);
		for (const [index, load] of loads.entries()) {
			const ms = expectedMs[index];
			if (ms !== undefined) {
				load.usage.recordDemand(level, ms * load.slotCount / slotCount, now);
			}
		}
	};

	/** Decides whether a request that arrived is queued; sets its level. */
	const checkArrival = (waiting: WaitingRequest): SlotRefusal | undefined => {
		const now = runtime.now();
		const {request} = waiting;
		const ownWorkMs = waiters.filter(other => other.request.customer === request.customer && other.request.priority <= request.priority).reduce((total, {workMs}) => total + workMs, 0);
		applyRank(waiting, shares, ownWorkMs, countSlots());
		if (isPast(request.latencyDeadline, now) && !request.isPinned) {
			waiting.level = LATE_LEVEL;
			waiting.lateSince = now;
		}

		recordDemand(waiting, now);
		if (!isAdmissionControlled(waiting)) {
			return waiters.length >= MAX_WAITING ? {code: 'queueFull', message: 'Too many requests are waiting for the database', retryAfterMs: FULL_RETRY_MS} : undefined;
		}

		const decision = checkAdmission({
			capacities: describeCapacities(now),
			ahead: waiters.filter(other => other.level === LATE_LEVEL || compareWaitingRequests(other, waiting) < 0),
			reservedMs: returnPlaces.getReservedMs(request.answerDeadline, now),
		}, createAdmissionRequest(waiting, Number.isFinite(serviceTimes.getAgeMs(request.kind, now)), now));
		if (decision.kind !== 'prompt') {
			waiting.level = LATE_LEVEL;
			waiting.lateSince = now;
			shares.recordContention();
		}

		if (waiters.length >= MAX_WAITING) {
			return refuseInTime(waiting, decision, true);
		}

		// A place is taken only by a request that would be refused.
		if (decision.kind === 'refused' && returnPlaces.take(request.customer, request.kind.group, now)) {
			waiting.isReturn = true;
			waiting.level = RETURN_LEVEL;
			waiting.lateSince = undefined;
			return undefined;
		}

		return decision.kind === 'refused' ? refuseInTime(waiting, decision, true) : undefined;
	};

	return {
		async acquire(request) {
			const now = runtime.now();
			const estimatedMs = serviceTimes.estimate(request.kind, loads[0]?.id ?? ('' as TargetId), now);
			shares.recordArrival(request.customer, estimatedMs, now);
			// A new request must not overtake those that are waiting, unless it continues a transaction.
			const slot = waiters.length === 0 || request.isPinned ? tryOccupySlot(request) : undefined;
			if (slot) {
				loads.find(({id}) => id === slot.target)?.usage.recordDemand(request.isPinned ? PINNED_LEVEL : request.priority, estimatedMs, now);
				return Ok(slot);
			}

			return new Promise(settle => {
				const waiter: Waiter = {
					request, order: nextOrder++, objectiveMs: request.latencyDeadline - now, isReturn: false, ...estimateWork(request), level: 0, lateSince: undefined, virtualMs: 0, settle,
				};
				const refusal = checkArrival(waiter);
				if (refusal) {
					settleRefused(waiter, refusal);
					return;
				}

				const position = waiters.findLastIndex(other => compareWaitingRequests(other, waiter) <= 0) + 1;
				waiters = waiters.toSpliced(position, 0, waiter);
				admitWaiting();
			});
		},
		setTargets(targets) {
			loads = targets.map(({id, slots}) => {
				const existing = loads.find(load => load.id === id);
				return existing ? Object.assign(existing, {slotCount: slots}) : {id, slotCount: slots, usage: createSlotUsage()};
			});
			serviceTimes.keepTargets(new Set(targets.map(({id}) => id)));
			admitWaiting(true);
		},
		admitWaiting() {
			admitWaiting(true);
		},
		getWaitingCount: () => waiters.length,
		getRunningCount: target => loads.find(({id}) => id === target)?.usage.getRunningCount() ?? 0,
	};
};
