/** Schedules requests on the slots of a database's targets. */

import {
	Err, isPast, Ok, type CustomerId, type Deadline, type Failure, type Instant, type Result, type TargetId, type Runtime,
} from '@guavapitch/core';

/** Failure to acquire a slot; nothing has run. */
export type SlotRefusal = Failure<'queueFull' | 'deadlinePassed'> & Readonly<{
	/** Time after which the caller may try again, in milliseconds; 0 with `deadlinePassed`. */
	retryAfterMs: number;
}>;

/** Load of a target, used to place requests. */
export type TargetLoad = Readonly<{
	id: TargetId;
	/** Number of slots in use. */
	busyCount: number;
	/** Number of statements that the target runs concurrently. */
	slotCount: number;
	/** Mean time of a statement, in milliseconds. */
	meanMs: number;
}>;

/** A request that needs a slot. */
export type SlotRequest = Readonly<{
	customer: CustomerId;
	/** Smaller values are served first. */
	priority: number;
	/** Until when a response is within the latency objective. */
	latencyDeadline: Deadline;
	/** Until when the request waits for a slot. */
	deadline: Deadline;
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

/** Scheduler of one database's requests: by transaction, latency objective, priority and fair queueing between customers. */
export type SlotScheduler = Readonly<{
	/** Waits for a slot; fails with `queueFull` or `deadlinePassed`. */
	acquire: (request: SlotRequest) => Promise<Result<Slot, SlotRefusal>>;
	/** Replaces the targets and their numbers of slots. */
	setTargets: (targets: ReadonlyArray<Readonly<{id: TargetId; slots: number}>>) => void;
	/** Checks again which waiting requests can run; called when a target or a connection becomes usable. */
	admitWaiting: () => void;
	getWaitingCount: () => number;
	getLoads: () => readonly TargetLoad[];
}>;

type Load = {
	id: TargetId;
	busyCount: number;
	slotCount: number;
	meanMs: number;
};

/** Fair queueing state of a customer: its virtual time is the slot time that it has used, with the mean time charged in advance. */
type Account = {virtualTimeMs: number; runningCount: number};

type WaitingRequest = Readonly<{request: SlotRequest; order: number; settle: (result: Result<Slot, SlotRefusal>) => void}>;

/** Assumed mean time of a statement before the first measurement. */
const INITIAL_MEAN_MS = 10;
/** Weight of a new measurement in the moving average. */
const MEAN_WEIGHT = 0.1;
/** Maximum lead in virtual time that a customer gains by being idle, so that a small burst goes ahead of a customer that floods the queue. */
const MAX_IDLE_CREDIT_MS = 200;
/** Maximum number of waiting requests: far more than can be served within any deadline. */
const MAX_WAITING = 512;

/** Compares two waiting requests; the one to serve first sorts first. */
const compareWaitingRequests = (a: WaitingRequest, b: WaitingRequest, now: Instant, getVirtualTimeMs: (customer: CustomerId) => number): number => {
	const {request: left} = a;
	const {request: right} = b;
	return Number(right.isPinned) - Number(left.isPinned)
		|| Number(isPast(left.latencyDeadline, now)) - Number(isPast(right.latencyDeadline, now))
		|| left.priority - right.priority
		|| getVirtualTimeMs(left.customer) - getVirtualTimeMs(right.customer)
		|| a.order - b.order;
};

/** Options of a scheduler. */
export type SlotSchedulerOptions = Readonly<{
	/** Returns how many slots of a target may be in use now; by default all. Below 1 but above 0, one statement runs at a time; at 0, none starts. */
	getSlotLimit?: (target: TargetId) => number;
}>;

/** Creates a scheduler without targets. */
export const createSlotScheduler = (runtime: Runtime, {getSlotLimit = () => Number.POSITIVE_INFINITY}: SlotSchedulerOptions = {}): SlotScheduler => {
	let loads = new Map<TargetId, Load>();
	const accounts = new Map<CustomerId, Account>();
	let waitingRequests: WaitingRequest[] = [];
	let nextOrder = 0;

	const getAccount = (customer: CustomerId): Account => {
		const existing = accounts.get(customer);
		if (existing) {
			return existing;
		}

		const created: Account = {virtualTimeMs: 0, runningCount: 0};
		accounts.set(customer, created);
		return created;
	};

	const getVirtualTimeMs = (customer: CustomerId): number => accounts.get(customer)?.virtualTimeMs ?? 0;

	/** Moves the virtual time of a customer that was idle close to the lowest of the active customers, to limit its credit. */
	const capIdleCredit = (account: Account) => {
		if (account.runningCount > 0) {
			return;
		}

		const activeTimesMs = [...accounts.values()].filter(candidate => candidate.runningCount > 0).map(candidate => candidate.virtualTimeMs);
		if (activeTimesMs.length > 0) {
			account.virtualTimeMs = Math.max(account.virtualTimeMs, Math.min(...activeTimesMs) - MAX_IDLE_CREDIT_MS);
		}
	};

	const getUsableSlots = ({id, slotCount}: Load): number => {
		const limit = Math.min(slotCount, getSlotLimit(id));
		return limit > 0 ? Math.max(1, Math.floor(limit)) : 0;
	};

	const listFreeLoads = (): readonly TargetLoad[] => [...loads.values()]
		.map(load => ({...load, slotCount: getUsableSlots(load)}))
		.filter(load => load.busyCount < load.slotCount);

	const occupySlot = (request: SlotRequest, load: Load): Slot => {
		const account = getAccount(request.customer);
		const startedAt = runtime.now();
		const chargedMs = load.meanMs;
		let isReleased = false;
		load.busyCount++;
		account.runningCount++;
		account.virtualTimeMs += chargedMs;
		return {
			target: load.id,
			release(servedMs) {
				if (isReleased) {
					return;
				}

				isReleased = true;
				load.busyCount--;
				account.runningCount--;
				account.virtualTimeMs += (runtime.now() - startedAt) - chargedMs;
				if (servedMs !== undefined) {
					load.meanMs += (servedMs - load.meanMs) * MEAN_WEIGHT;
				}

				admitWaiting();
			},
		};
	};

	const tryOccupySlot = (request: SlotRequest): Slot | undefined => {
		const freeLoads = listFreeLoads();
		const chosen = freeLoads.length > 0 ? request.chooseTarget(freeLoads) : undefined;
		const load = chosen === undefined ? undefined : loads.get(chosen);
		return load ? occupySlot(request, load) : undefined;
	};

	const refuseExpired = (now: Instant) => {
		const expired = waitingRequests.filter(({request}) => isPast(request.deadline, now));
		if (expired.length > 0) {
			waitingRequests = waitingRequests.filter(({request}) => !isPast(request.deadline, now));
			for (const {settle} of expired) {
				settle(Err({code: 'deadlinePassed', message: 'No slot became free before the deadline', retryAfterMs: 0}));
			}
		}
	};

	const admitWaiting = () => {
		if (waitingRequests.length === 0) {
			return;
		}

		const now = runtime.now();
		refuseExpired(now);
		waitingRequests.sort((a, b) => compareWaitingRequests(a, b, now, getVirtualTimeMs));
		for (let index = 0; index < waitingRequests.length && listFreeLoads().length > 0;) {
			const candidate = waitingRequests[index];
			const slot = candidate ? tryOccupySlot(candidate.request) : undefined;
			if (candidate && slot) {
				waitingRequests.splice(index, 1);
				candidate.settle(Ok(slot));
			} else {
				index++;
			}
		}
	};

	return {
		async acquire(request) {
			if (waitingRequests.length >= MAX_WAITING) {
				return Err({code: 'queueFull', message: 'Too many requests are waiting for the database', retryAfterMs: 500});
			}

			capIdleCredit(getAccount(request.customer));
			// A new request must not overtake those that are waiting, unless it continues a transaction.
			const slot = waitingRequests.length === 0 || request.isPinned ? tryOccupySlot(request) : undefined;
			if (slot) {
				return Ok(slot);
			}

			return new Promise(settle => {
				const waitingRequest: WaitingRequest = {request, order: nextOrder++, settle};
				waitingRequests.push(waitingRequest);
				admitWaiting();
				if (waitingRequests.includes(waitingRequest)) {
					runtime.schedule(request.deadline - runtime.now() + 1, admitWaiting);
				}
			});
		},
		setTargets(targets) {
			const newLoads = new Map<TargetId, Load>();
			for (const {id, slots} of targets) {
				const existing = loads.get(id);
				if (existing) {
					existing.slotCount = slots;
				}

				newLoads.set(id, existing ?? {
					id, busyCount: 0, slotCount: slots, meanMs: INITIAL_MEAN_MS,
				});
			}

			loads = newLoads;
			admitWaiting();
		},
		admitWaiting,
		getWaitingCount: () => waitingRequests.length,
		getLoads: () => [...loads.values()],
	};
};
