/** Slots of a database's targets, and the order in which requests wait for them. */

import {
	Err, isPast, Ok, type CustomerId, type Deadline, type Failure, type Instant, type Result, type TargetId, type World,
} from '@guavapitch/core';

/** Refusal of a slot; nothing has run. */
export type SlotRefusal = Failure<'queueFull' | 'deadlinePassed'> & Readonly<{retryAfterMs: number}>;

/** Load of a target, by which requests are placed. */
export type TargetLoad = Readonly<{
	id: TargetId;
	busy: number;
	slots: number;
	/** Mean time of a statement, in milliseconds. */
	meanMs: number;
}>;

/** A request that needs a slot. */
export type SlotRequest = Readonly<{
	customer: CustomerId;
	/** Smaller goes first. */
	priority: number;
	/** Until when an answer counts as prompt. */
	latencyDeadline: Deadline;
	/** Until when a slot is of use. */
	deadline: Deadline;
	/** Continues a transaction, which holds a connection meanwhile. */
	isPinned: boolean;
	/** Chooses one of the targets that have a free slot; `undefined` to wait. */
	chooseTarget: (free: readonly TargetLoad[]) => TargetId | undefined;
}>;

/** A slot of a target, occupied until it is released. */
export type Slot = Readonly<{
	target: TargetId;
	/** Frees the slot; `servedMs` is the time of the statement, if it was served. */
	release: (servedMs?: number) => void;
}>;

/** Placement of one database's requests. */
export type SlotScheduler = Readonly<{
	acquire: (request: SlotRequest) => Promise<Result<Slot, SlotRefusal>>;
	/** Sets the targets and their slots. */
	setTargets: (targets: ReadonlyArray<Readonly<{id: TargetId; slots: number}>>) => void;
	/** Looks again whether somebody may go. */
	admitWaiting: () => void;
	getWaitingCount: () => number;
	getLoads: () => readonly TargetLoad[];
}>;

type Load = {
	id: TargetId;
	busy: number;
	slots: number;
	meanMs: number;
};

type Account = {virtualMs: number; active: number};

type Waiting = Readonly<{request: SlotRequest; order: number; settle: (result: Result<Slot, SlotRefusal>) => void}>;

/** Mean time of a statement before one was measured, in milliseconds. */
const FIRST_MEAN_MS = 10;
/** Weight of a new measurement in the mean. */
const MEAN_SHARE = 0.1;
/** Time in front that idling earns a customer at most, in milliseconds; a small burst goes before a flood. */
const CREDIT_MS = 200;
/** Requests that may wait at once; far beyond what can be served within any deadline. */
const WAITING_LIMIT = 512;

/** Compares two waiting requests, the one to serve first in front. */
const compareWaiting = (a: Waiting, b: Waiting, now: Instant, getVirtualMs: (customer: CustomerId) => number): number => {
	const {request: left} = a;
	const {request: right} = b;
	return Number(right.isPinned) - Number(left.isPinned)
		|| Number(isPast(left.latencyDeadline, now)) - Number(isPast(right.latencyDeadline, now))
		|| left.priority - right.priority
		|| getVirtualMs(left.customer) - getVirtualMs(right.customer)
		|| a.order - b.order;
};

/** Creates the placement of a database without targets. */
export const createSlotScheduler = (world: World): SlotScheduler => {
	let loads = new Map<TargetId, Load>();
	const accounts = new Map<CustomerId, Account>();
	let waiting: Waiting[] = [];
	let order = 0;

	const getAccount = (customer: CustomerId): Account => {
		const known = accounts.get(customer);
		if (known) {
			return known;
		}

		const created: Account = {virtualMs: 0, active: 0};
		accounts.set(customer, created);
		return created;
	};

	const getVirtualMs = (customer: CustomerId): number => accounts.get(customer)?.virtualMs ?? 0;

	/** A customer that comes back starts a little before the least time of the active ones. */
	const alignAccount = (account: Account) => {
		if (account.active > 0) {
			return;
		}

		const active = [...accounts.values()].filter(other => other.active > 0).map(other => other.virtualMs);
		if (active.length > 0) {
			account.virtualMs = Math.max(account.virtualMs, Math.min(...active) - CREDIT_MS);
		}
	};

	const listFree = (): readonly Load[] => [...loads.values()].filter(load => load.busy < load.slots);

	const occupy = (request: SlotRequest, load: Load): Slot => {
		const account = getAccount(request.customer);
		const startedAt = world.now();
		const charged = load.meanMs;
		let released = false;
		load.busy++;
		account.active++;
		account.virtualMs += charged;
		return {
			target: load.id,
			release(servedMs) {
				if (released) {
					return;
				}

				released = true;
				load.busy--;
				account.active--;
				account.virtualMs += (world.now() - startedAt) - charged;
				if (servedMs !== undefined) {
					load.meanMs += (servedMs - load.meanMs) * MEAN_SHARE;
				}

				admit();
			},
		};
	};

	const tryPlace = (request: SlotRequest): Slot | undefined => {
		const free = listFree();
		const chosen = free.length > 0 ? request.chooseTarget(free) : undefined;
		const load = chosen === undefined ? undefined : loads.get(chosen);
		return load ? occupy(request, load) : undefined;
	};

	const refuseExpired = (now: Instant) => {
		const expired = waiting.filter(({request}) => isPast(request.deadline, now));
		if (expired.length > 0) {
			waiting = waiting.filter(({request}) => !isPast(request.deadline, now));
			for (const {settle} of expired) {
				settle(Err({code: 'deadlinePassed', message: 'No slot became free in time', retryAfterMs: 0}));
			}
		}
	};

	const admit = () => {
		if (waiting.length === 0) {
			return;
		}

		const now = world.now();
		refuseExpired(now);
		waiting.sort((a, b) => compareWaiting(a, b, now, getVirtualMs));
		for (let index = 0; index < waiting.length && listFree().length > 0;) {
			const next = waiting[index];
			const slot = next ? tryPlace(next.request) : undefined;
			if (next && slot) {
				waiting.splice(index, 1);
				next.settle(Ok(slot));
			} else {
				index++;
			}
		}
	};

	return {
		async acquire(request) {
			if (waiting.length >= WAITING_LIMIT) {
				return Err({code: 'queueFull', message: 'Too many requests wait for the database', retryAfterMs: 500});
			}

			alignAccount(getAccount(request.customer));
			// Nobody passes those who wait already, unless it continues a transaction.
			const slot = waiting.length === 0 || request.isPinned ? tryPlace(request) : undefined;
			if (slot) {
				return Ok(slot);
			}

			return new Promise(settle => {
				const entry: Waiting = {request, order: order++, settle};
				waiting.push(entry);
				admit();
				if (waiting.includes(entry)) {
					world.schedule(request.deadline - world.now() + 1, admit);
				}
			});
		},
		setTargets(targets) {
			const next = new Map<TargetId, Load>();
			for (const {id, slots} of targets) {
				const known = loads.get(id);
				if (known) {
					known.slots = slots;
				}

				next.set(id, known ?? {
					id, busy: 0, slots, meanMs: FIRST_MEAN_MS,
				});
			}

			loads = next;
			admit();
		},
		admitWaiting: admit,
		getWaitingCount: () => waiting.length,
		getLoads: () => [...loads.values()],
	};
};
