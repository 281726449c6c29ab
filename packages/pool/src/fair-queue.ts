/** Fair queue of one target: customers share its slots by the time they use, by weight. */

import {
	Err, isPast, Ok, type CustomerId, type Deadline, type Failure, type Instant, type Result, type World,
} from '@guavapitch/core';

/** Failure of entering the queue; the request has not run. */
export type QueueFailure = Failure<'queueFull' | 'deadlinePassed' | 'aborted'> & Readonly<{retryAfterMs: number}>;

/** Who waits, and for how long. */
export type QueueEntry = Readonly<{
	customer: CustomerId;
	/** Share relative to the other customers. */
	weight: number;
	deadline: Deadline;
	/** Continues a transaction that already holds a connection; goes before the others. */
	pinned: boolean;
}>;

/** Permission to occupy a slot until it is disposed. */
export type Permit = Disposable & Readonly<{startedAt: Instant}>;

/** Fair queue. */
export type FairQueue = Readonly<{
	/** Waits for a slot. */
	enter: (entry: QueueEntry, signal?: AbortSignal) => Promise<Result<Permit, QueueFailure>>;
	/** Looks again whether somebody may go; called when a connection has become free. */
	admitWaiting: () => void;
	/** Changes the number of slots. */
	setSlots: (slots: number) => void;
	getLength: () => number;
	getBusyCount: () => number;
}>;

type Waiting = QueueEntry & Readonly<{settle: (result: Result<Permit, QueueFailure>) => void}>;

type Account = {
	/** Time used divided by weight, in milliseconds. */
	virtualMs: number;
	/** Mean time of a request, in milliseconds. */
	meanMs: number;
	running: number;
	readonly waiting: Waiting[];
};

/** Time in front that idling earns at most, divided by weight. */
const CREDIT_MS = 200;
const QUEUE_LIMIT = 128;
const FIRST_MEAN_MS = 2;
const MEAN_SHARE = 0.1;
const SWEEP_MS = 20;

/** Creates an empty queue; `hasConnection` tells whether a connection could be taken now. */
export const createFairQueue = (world: World, slots: number, hasConnection: () => boolean): FairQueue => {
	const accounts = new Map<CustomerId, Account>();
	const pinned: Waiting[] = [];
	let capacity = slots;
	let busy = 0;
	let length = 0;
	let sweeping = false;

	const getAccount = (customer: CustomerId): Account => {
		const known = accounts.get(customer);
		if (known) {
			return known;
		}

		const created: Account = {
			virtualMs: 0, meanMs: FIRST_MEAN_MS, running: 0, waiting: [],
		};
		accounts.set(customer, created);
		return created;
	};

	const isActive = (account: Account): boolean => account.waiting.length > 0 || account.running > 0;

	/** A customer that comes back starts a little before the least time of the active ones: idling earns a burst, and no more. */
	const alignAccount = (account: Account) => {
		const active = [...accounts.values()].filter(other => other !== account && isActive(other));
		if (!isActive(account) && active.length > 0) {
			account.virtualMs = Math.max(account.virtualMs, Math.min(...active.map(other => other.virtualMs)) - CREDIT_MS);
		}
	};

	const start = (waiting: Waiting): Permit => {
		const account = getAccount(waiting.customer);
		const startedAt = world.now();
		const charged = account.meanMs;
		let released = false;
		busy++;
		account.running++;
		account.virtualMs += charged / waiting.weight;
		return {
			startedAt,
			[Symbol.dispose]() {
				if (released) {
					return;
				}

				released = true;
				const used = world.now() - startedAt;
				busy--;
				account.running--;
				account.virtualMs += (used - charged) / waiting.weight;
				account.meanMs += (used - account.meanMs) * MEAN_SHARE;
				admit();
			},
		};
	};

	const chooseNext = (): Waiting | undefined => {
		const first = pinned.shift();
		if (first) {
			return first;
		}

		if (!hasConnection()) {
			return undefined;
		}

		let best: Account | undefined;
		for (const account of accounts.values()) {
			if (account.waiting.length > 0 && (!best || account.virtualMs < best.virtualMs)) {
				best = account;
			}
		}

		return best?.waiting.shift();
	};

	const admit = () => {
		while (busy < capacity) {
			const next = chooseNext();
			if (!next) {
				return;
			}

			length--;
			if (isPast(next.deadline, world.now())) {
				next.settle(Err({code: 'deadlinePassed', message: 'The deadline passed in the queue', retryAfterMs: 0}));
			} else {
				next.settle(Ok(start(next)));
			}
		}
	};

	const removeWhere = (queue: Waiting[], test: (waiting: Waiting) => boolean, failure: QueueFailure) => {
		for (let index = queue.length - 1; index >= 0; index--) {
			const waiting = queue[index];
			if (waiting && test(waiting)) {
				queue.splice(index, 1);
				length--;
				waiting.settle(Err(failure));
			}
		}
	};

	const removeAll = (test: (waiting: Waiting) => boolean, failure: QueueFailure) => {
		removeWhere(pinned, test, failure);
		for (const account of accounts.values()) {
			removeWhere(account.waiting, test, failure);
		}
	};

	/** Refuses requests whose deadline passes while they wait; runs only while somebody waits. */
	const sweep = async () => {
		if (sweeping) {
			return;
		}

		sweeping = true;
		while (length > 0) {
			await world.sleep(SWEEP_MS);
			const now = world.now();
			removeAll(waiting => isPast(waiting.deadline, now), {code: 'deadlinePassed', message: 'The deadline passed in the queue', retryAfterMs: 0});
		}

		sweeping = false;
	};

	const estimateWaitMs = (account: Account): number => {
		const active = [...accounts.values()].filter(other => isActive(other)).length;
		return account.waiting.length * account.meanMs * Math.max(1, active) / capacity;
	};

	return {
		async enter(entry, signal) {
			const account = getAccount(entry.customer);
			const waitMs = estimateWaitMs(account);
			if (!entry.pinned && (account.waiting.length >= QUEUE_LIMIT || world.now() + waitMs > entry.deadline)) {
				return Err({code: 'queueFull', message: 'Too many requests of this customer wait for the target', retryAfterMs: Math.ceil(waitMs)});
			}

			alignAccount(account);
			return new Promise(settle => {
				const waiting: Waiting = {...entry, settle};
				(entry.pinned ? pinned : account.waiting).push(waiting);
				length++;
				signal?.addEventListener('abort', () => {
					removeAll(other => other === waiting, {code: 'aborted', message: 'The caller has gone', retryAfterMs: 0});
				}, {once: true});
				admit();
				if (length > 0) {
					void sweep();
				}
			});
		},
		admitWaiting: admit,
		setSlots(next) {
			capacity = next;
			admit();
		},
		getLength: () => length,
		getBusyCount: () => busy,
	};
};
