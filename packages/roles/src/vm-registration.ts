/** The lease of a process and the entry by which others find it. */

import {
	createDeadline, isPast, PAST, type Deadline, type Instant, type Result, type World,
} from '@guavapitch/core';
import type {StoreFailure} from '@guavapitch/store';

/** A lease as the store gave it. */
export type GrantedLease = Readonly<{id: string; ttlMs: number}>;

/** A change of several entries at once. */
export type StoreTransaction = Readonly<{
	/** Revisions that the entries must have; 0 for none. */
	conditions: ReadonlyArray<Readonly<{key: string; revision: number}>>;
	puts: ReadonlyArray<Readonly<{key: string; value: string; leaseId: string | undefined}>>;
	removes: readonly string[];
}>;

/** Outcome of a transaction: its revision, or `undefined` if a condition did not hold. */
export type TransactionOutcome = Readonly<{revision: number | undefined}>;

/** Functions of the store for roles. */
export type RoleStore = Readonly<{
	grantLease: (ttlMs: number) => Promise<Result<GrantedLease, StoreFailure>>;
	renewLease: (id: string) => Promise<Result<number, StoreFailure>>;
	revokeLease: (id: string) => Promise<Result<undefined, StoreFailure>>;
	transact: (transaction: StoreTransaction) => Promise<Result<TransactionOutcome, StoreFailure>>;
}>;

/** What presence needs. */
export type VmRegistrationContext = Readonly<{
	world: World;
	/** Reads the suspension clock. */
	readClock: () => Instant;
	store: RoleStore;
	/** Entry that lives as long as the lease. */
	key: string;
	value: string;
	/** Hears of each answer of the store. */
	onContact: (askedAt: Instant) => void;
	onFailure: (failure: StoreFailure) => void;
}>;

/** Presence of a process. */
export type VmRegistration = Readonly<{
	/** Keeps the lease until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	/** Gets the lease while it surely lives. */
	getLease: () => string | undefined;
	/** Ends the lease; its entries go with it. */
	deregister: () => Promise<void>;
}>;

/** Life of a lease without renewal, in milliseconds: longer than a hiccup of the store, short enough for a lost vm. */
export const LEASE_TTL_MS = 4000;
/** Pause between renewals, in milliseconds; three attempts fit into a lease. */
const RENEW_MS = 1300;
/** Pause after a failed call, in milliseconds. */
const RETRY_MS = 400;
/** Allowance for clocks that run at different rates, in milliseconds. */
const DRIFT_MS = 150;

/** Creates the presence of a process; nothing is granted yet. */
export const createVmRegistration = (context: VmRegistrationContext): VmRegistration => {
	const {world, readClock, store} = context;
	let leaseId: string | undefined;
	let deadline: Deadline = PAST;
	let isLeaving = false;

	const fail = (failure: StoreFailure) => {
		context.onFailure(failure);
		if (failure.code === 'leaseLost') {
			leaseId = undefined;
			deadline = PAST;
		}
	};

	const grant = async (): Promise<boolean> => {
		const askedAt = readClock();
		const steadyAt = world.now();
		const granted = await store.grantLease(LEASE_TTL_MS);
		if (granted.err) {
			fail(granted.val);
			return false;
		}

		context.onContact(steadyAt);
		const entered = await store.transact({conditions: [], puts: [{key: context.key, value: context.value, leaseId: granted.val.id}], removes: []});
		if (entered.err) {
			fail(entered.val);
			return false;
		}

		leaseId = granted.val.id;
		deadline = createDeadline(askedAt, granted.val.ttlMs - DRIFT_MS);
		return true;
	};

	const renew = async (id: string): Promise<boolean> => {
		const askedAt = readClock();
		const steadyAt = world.now();
		const renewed = await store.renewLease(id);
		if (renewed.err) {
			fail(renewed.val);
			return false;
		}

		context.onContact(steadyAt);
		deadline = createDeadline(askedAt, renewed.val - DRIFT_MS);
		return true;
	};

	return {
		async run(signal) {
			while (!signal.aborted && !isLeaving) {
				const done = leaseId === undefined ? await grant() : await renew(leaseId);
				await world.sleep(done ? RENEW_MS : RETRY_MS * (0.5 + world.random()), signal).catch(() => undefined);
			}
		},
		getLease: () => leaseId !== undefined && !isPast(deadline, readClock()) ? leaseId : undefined,
		async deregister() {
			isLeaving = true;
			const id = leaseId;
			leaseId = undefined;
			deadline = PAST;
			if (id !== undefined) {
				const ended = await store.revokeLease(id);
				if (ended.err) {
					context.onFailure(ended.val);
				}
			}
		},
	};
};
