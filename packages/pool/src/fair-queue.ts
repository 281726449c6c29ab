/** Weighted fair queue of one target: its slots are shared between customers by the time that they use, in proportion to their weights. */

import {
	Err, isPast, Ok, type CustomerId, type Deadline, type Failure, type Instant, type Result, type Runtime,
} from '@guavapitch/core';

/** Failure to acquire a slot; the request has not run. */
export type QueueFailure = Failure<'queueFull' | 'deadlinePassed' | 'aborted'> & Readonly<{
	/** With `queueFull`, the time that the request would have to wait, in milliseconds; otherwise 0. */
	retryAfterMs: number;
}>;

/** A request for a slot. */
export type QueueEntry = Readonly<{
	customer: CustomerId;
	/** Weight of the customer: slot time is shared in proportion to the weights. */
	weight: number;
	/** Until when the request waits for a slot. */
	deadline: Deadline;
	/** Whether the request continues a transaction, which occupies a connection; such requests go first. */
	isPinned: boolean;
}>;

/** Permission to use a slot; disposing of it releases the slot. */
export type Permit = Disposable & Readonly<{
	/** When the slot was assigned. */
	startedAt: Instant;
}>;

/** Weighted fair queue. */
export type FairQueue = Readonly<{
	/** Waits for a slot; refuses at once if the customer's queue is full or the deadline cannot be met. */
	enter: (entry: QueueEntry, signal?: AbortSignal) => Promise<Result<Permit, QueueFailure>>;
	/** Checks again which waiting requests can run; called when a connection becomes available. */
	admitWaiting: () => void;
	/** Changes the number of slots. */
	setSlotCount: (slotCount: number) => void;
	/** Counts the waiting requests. */
	getWaitingCount: () => number;
	/** Counts the slots in use. */
	getBusyCount: () => number;
}>;

type WaitingEntry = QueueEntry & Readonly<{settle: (result: Result<Permit, QueueFailure>) => void}>;

/** Fair queueing state of a customer. */
type Account = {
	/** Slot time used, divided by the weight, in milliseconds. */
	virtualTimeMs: number;
	/** Mean time of a request, in milliseconds. */
	meanMs: number;
	runningCount: number;
	readonly waitingEntries: WaitingEntry[];
};

/** Maximum lead in virtual time that a customer gains by being idle, so that a short burst goes ahead of a flood. */
const MAX_IDLE_CREDIT_MS = 200;
/** Maximum number of waiting requests of one customer; those that continue a transaction do not count. */
const MAX_WAITING_PER_CUSTOMER = 128;
/** Assumed mean time of a request before the first measurement. */
const INITIAL_MEAN_MS = 2;
/** Weight of a new measurement in the moving average. */
const MEAN_WEIGHT = 0.1;
/** Interval between checks for waiting requests whose deadline has passed. */
const SWEEP_INTERVAL_MS = 20;

/** Creates an empty queue; `hasConnection` tells whether a connection could be acquired now. */
export const createFairQueue = (runtime: Runtime, initialSlotCount: number, hasConnection: () => boolean): FairQueue => {
	const accounts = new Map<CustomerId, Account>();
	const pinnedEntries: WaitingEntry[] = [];
	let slotCount = initialSlotCount;
	let busyCount = 0;
	let waitingCount = 0;
	let isSweeping = false;

	const getAccount = (customer: CustomerId): Account => {
		const existing = accounts.get(customer);
		if (existing) {
			return existing;
		}

		const created: Account = {
			virtualTimeMs: 0, meanMs: INITIAL_MEAN_MS, runningCount: 0, waitingEntries: [],
		};
		accounts.set(customer, created);
		return created;
	};

	const isActive = (account: Account): boolean => account.waitingEntries.length > 0 || account.runningCount > 0;

	/** Moves the virtual time of a customer that was idle close to the lowest of the active customers: being idle earns one burst, not more. */
	const capIdleCredit = (account: Account) => {
		const activeAccounts = [...accounts.values()].filter(candidate => candidate !== account && isActive(candidate));
		if (!isActive(account) && activeAccounts.length > 0) {
			account.virtualTimeMs = Math.max(account.virtualTimeMs, Math.min(...activeAccounts.map(activeAccount => activeAccount.virtualTimeMs)) - MAX_IDLE_CREDIT_MS);
		}
	};

	const issuePermit = (entry: WaitingEntry): Permit => {
		const account = getAccount(entry.customer);
		const startedAt = runtime.now();
		const chargedMs = account.meanMs;
		let isReleased = false;
		busyCount++;
		account.runningCount++;
		account.virtualTimeMs += chargedMs / entry.weight;
		return {
			startedAt,
			[Symbol.dispose]() {
				if (isReleased) {
					return;
				}

				isReleased = true;
				const usedMs = runtime.now() - startedAt;
				busyCount--;
				account.runningCount--;
				account.virtualTimeMs += (usedMs - chargedMs) / entry.weight;
				account.meanMs += (usedMs - account.meanMs) * MEAN_WEIGHT;
				admitWaiting();
			},
		};
	};

	const chooseNext = (): WaitingEntry | undefined => {
		const pinnedEntry = pinnedEntries.shift();
		if (pinnedEntry) {
			return pinnedEntry;
		}

		if (!hasConnection()) {
			return undefined;
		}

		let chosenAccount: Account | undefined;
		for (const account of accounts.values()) {
			if (account.waitingEntries.length > 0 && (!chosenAccount || account.virtualTimeMs < chosenAccount.virtualTimeMs)) {
				chosenAccount = account;
			}
		}

		return chosenAccount?.waitingEntries.shift();
	};

	const admitWaiting = () => {
		while (busyCount < slotCount) {
			const nextEntry = chooseNext();
			if (!nextEntry) {
				return;
			}

			waitingCount--;
			if (isPast(nextEntry.deadline, runtime.now())) {
				nextEntry.settle(Err({code: 'deadlinePassed', message: 'The deadline passed while the request was waiting in the queue', retryAfterMs: 0}));
			} else {
				nextEntry.settle(Ok(issuePermit(nextEntry)));
			}
		}
	};

	const refuseInQueue = (queue: WaitingEntry[], predicate: (entry: WaitingEntry) => boolean, failure: QueueFailure) => {
		for (let index = queue.length - 1; index >= 0; index--) {
			const entry = queue[index];
			if (entry && predicate(entry)) {
				queue.splice(index, 1);
				waitingCount--;
				entry.settle(Err(failure));
			}
		}
	};

	const refuseWaiting = (predicate: (entry: WaitingEntry) => boolean, failure: QueueFailure) => {
		refuseInQueue(pinnedEntries, predicate, failure);
		for (const account of accounts.values()) {
			refuseInQueue(account.waitingEntries, predicate, failure);
		}
	};

	/** Refuses requests whose deadline passes while they wait; runs only while requests are waiting. */
	const sweep = async () => {
		if (isSweeping) {
			return;
		}

		isSweeping = true;
		while (waitingCount > 0) {
			await runtime.sleep(SWEEP_INTERVAL_MS);
			const now = runtime.now();
			refuseWaiting(entry => isPast(entry.deadline, now), {code: 'deadlinePassed', message: 'The deadline passed while the request was waiting in the queue', retryAfterMs: 0});
		}

		isSweeping = false;
	};

	const estimateWaitMs = (account: Account): number => {
		const activeCount = [...accounts.values()].filter(customerAccount => isActive(customerAccount)).length;
		return account.waitingEntries.length * account.meanMs * Math.max(1, activeCount) / slotCount;
	};

	return {
		async enter(entry, signal) {
			const account = getAccount(entry.customer);
			const waitMs = estimateWaitMs(account);
			if (!entry.isPinned && (account.waitingEntries.length >= MAX_WAITING_PER_CUSTOMER || runtime.now() + waitMs > entry.deadline)) {
				return Err({code: 'queueFull', message: 'Too many requests of this customer are waiting for the target', retryAfterMs: Math.ceil(waitMs)});
			}

			capIdleCredit(account);
			return new Promise(settle => {
				const waitingEntry: WaitingEntry = {...entry, settle};
				(entry.isPinned ? pinnedEntries : account.waitingEntries).push(waitingEntry);
				waitingCount++;
				signal?.addEventListener('abort', () => {
					refuseWaiting(candidate => candidate === waitingEntry, {code: 'aborted', message: 'The caller has disconnected', retryAfterMs: 0});
				}, {once: true});
				admitWaiting();
				if (waitingCount > 0) {
					void sweep();
				}
			});
		},
		admitWaiting,
		setSlotCount(newSlotCount) {
			slotCount = newSlotCount;
			admitWaiting();
		},
		getWaitingCount: () => waitingCount,
		getBusyCount: () => busyCount,
	};
};
