/** Registration of a vm in the store: a lease, and an entry by which other vms find this one. */

import {
	createDeadline, createNotifier, isPast, PAST, type Deadline, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import type {StoreFailure} from '@guavapitch/store';

/** A response of the store, with the era in which it was given; a new era begins each time that the store is restored from an older copy. */
type EraStamped = Readonly<{era: number}>;

/** A lease that the store granted. */
export type GrantedLease = EraStamped & Readonly<{id: string; ttlMs: number}>;

/** Renewal of a lease; `ttlMs` is its lifetime from then on, in milliseconds. */
export type LeaseRenewal = EraStamped & Readonly<{ttlMs: number}>;

/** An atomic change of several entries. */
export type StoreTransaction = Readonly<{
	/** Revisions that entries must have; 0 if the entry must not exist. */
	conditions: ReadonlyArray<Readonly<{key: string; revision: number}>>;
	puts: ReadonlyArray<Readonly<{key: string; value: string; leaseId: string | undefined}>>;
	removes: readonly string[];
}>;

/** Outcome of a transaction: its revision, or `undefined` if a condition was not met. */
export type TransactionOutcome = EraStamped & Readonly<{revision: number | undefined}>;

/** Value of an entry as the store held it when it responded, and the revision of its last change; `undefined` and 0 if there was none. */
export type ReadValue = EraStamped & Readonly<{value: string | undefined; revision: number}>;

/** Store operations that roles need. */
export type RoleStore = Readonly<{
	grantLease: (ttlMs: number) => Promise<Result<GrantedLease, StoreFailure>>;
	/** Renews a lease. Fails with `leaseLost` if it has expired. */
	renewLease: (id: string) => Promise<Result<LeaseRenewal, StoreFailure>>;
	revokeLease: (id: string) => Promise<Result<undefined, StoreFailure>>;
	transact: (transaction: StoreTransaction) => Promise<Result<TransactionOutcome, StoreFailure>>;
	/** Reads an entry with every change that was completed before the call. */
	read: (key: string) => Promise<Result<ReadValue, StoreFailure>>;
}>;

/** Dependencies of a vm registration. */
export type VmRegistrationContext = Readonly<{
	runtime: Runtime;
	/** Reads a clock that keeps running while the process or its machine is suspended. */
	readSuspensionClock: () => Instant;
	store: RoleStore;
	/** Key and value of the entry that is attached to the lease. */
	key: string;
	value: string;
	/** Called after each successful call to the store, with the time when the call was sent and the era of the response. */
	onContact: (sentAt: Instant, era: number) => void;
	/** Called after each failed call to the store. */
	onFailure: (failure: StoreFailure) => void;
}>;

/** Registration of a vm. */
export type VmRegistration = Readonly<{
	/** Acquires and renews the lease until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	/** Waits until the entry has been written for the first time, or until the deadline. */
	waitUntilRegistered: (deadline: Deadline) => Promise<void>;
	/** Returns the identifier of the lease; `undefined` unless the lease is confirmed to be valid at this moment. */
	getLease: () => string | undefined;
	/** Revokes the lease, so that the store removes its entries, and makes `run` return. */
	deregister: () => Promise<void>;
}>;

/** Lifetime of a lease without renewal, in milliseconds: longer than a short interruption of the store, yet short enough that a failed vm is noticed in time. */
export const LEASE_TTL_MS = 4000;
/** Pause between renewals, in milliseconds; three attempts fit into the lifetime of a lease. */
const RENEWAL_INTERVAL_MS = 1300;
/** Mean pause after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 400;
/** Safety margin for clocks that run at different rates, in milliseconds. */
const CLOCK_DRIFT_MS = 150;

/** Creates the registration of a vm; it has no lease yet. */
export const createVmRegistration = (context: VmRegistrationContext): VmRegistration => {
	const {runtime, readSuspensionClock, store} = context;
	let leaseId: string | undefined;
	let deadline: Deadline = PAST;
	/** Era of the store in which the entry was written. */
	let registeredEra: number | undefined;
	let isDeregistered = false;
	const registered = createNotifier(runtime);

	const handleFailure = (failure: StoreFailure) => {
		context.onFailure(failure);
		if (failure.code === 'leaseLost') {
			leaseId = undefined;
			deadline = PAST;
		}
	};

	const writeEntry = async (id: string): Promise<boolean> => {
		const written = await store.transact({conditions: [], puts: [{key: context.key, value: context.value, leaseId: id}], removes: []});
		if (written.err) {
			handleFailure(written.val);
			return false;
		}

		registeredEra = written.val.era;
		registered.notify();
		return true;
	};

	const register = async (): Promise<boolean> => {
		const sentAtBySuspensionClock = readSuspensionClock();
		const sentAt = runtime.now();
		const granted = await store.grantLease(LEASE_TTL_MS);
		if (granted.err) {
			handleFailure(granted.val);
			return false;
		}

		context.onContact(sentAt, granted.val.era);
		if (!await writeEntry(granted.val.id)) {
			return false;
		}

		leaseId = granted.val.id;
		deadline = createDeadline(sentAtBySuspensionClock, granted.val.ttlMs - CLOCK_DRIFT_MS);
		return true;
	};

	const renew = async (id: string): Promise<boolean> => {
		const sentAtBySuspensionClock = readSuspensionClock();
		const sentAt = runtime.now();
		const renewed = await store.renewLease(id);
		if (renewed.err) {
			handleFailure(renewed.val);
			return false;
		}

		context.onContact(sentAt, renewed.val.era);
		deadline = createDeadline(sentAtBySuspensionClock, renewed.val.ttlMs - CLOCK_DRIFT_MS);
		// A store restored from an older copy may hold the lease but not the entry.
		return renewed.val.era === registeredEra || writeEntry(id);
	};

	return {
		async run(signal) {
			while (!signal.aborted && !isDeregistered) {
				const hasSucceeded = leaseId === undefined ? await register() : await renew(leaseId);
				await runtime.sleep(hasSucceeded ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS * (0.5 + runtime.random()), signal).catch(() => undefined);
			}
		},
		async waitUntilRegistered(deadline) {
			await registered.waitUntil(() => registeredEra !== undefined, deadline);
		},
		getLease: () => leaseId !== undefined && !isPast(deadline, readSuspensionClock()) ? leaseId : undefined,
		async deregister() {
			isDeregistered = true;
			const id = leaseId;
			leaseId = undefined;
			deadline = PAST;
			if (id !== undefined) {
				const revoked = await store.revokeLease(id);
				if (revoked.err) {
					context.onFailure(revoked.val);
				}
			}
		},
	};
};
