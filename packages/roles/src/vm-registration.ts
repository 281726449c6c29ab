/** Registration of a vm in the store: a lease, and an entry by which other vms find this one. */

import {
	createDeadline, createNotifier, isPast, type Deadline, type Instant, type Result, type Runtime,
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

/** Outcome of a transaction: its revision, or `undefined` if a condition was not met; `foundRevisions` are then the revisions of the entries that the conditions name, without those that do not exist. */
export type TransactionOutcome = EraStamped & Readonly<{revision: number | undefined; foundRevisions?: ReadonlyMap<string, number>}>;

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

/** An entry of the store as the change feed last delivered it. */
export type CachedEntry = Readonly<{value: string; era: number; revision: number}>;

/** What the change feed knows of one entry. */
export type KnownEntry = Readonly<{
	/** The entry; `undefined` if it does not exist. */
	entry: CachedEntry | undefined;
	/** Instant of the suspension clock at which an entry that does not exist was certainly missing in the store. */
	completeAt: Instant;
}>;

/** State of a registration: `missing` if the store no longer holds the entry, `replaced` if it holds one of another writer. */
export type RegistrationState = 'registered' | 'leaseLost' | 'missing' | 'replaced';

/** Dependencies of a vm registration. */
export type VmRegistrationContext = Readonly<{
	runtime: Runtime;
	/** Reads a clock that keeps running while the process or its machine is suspended. */
	readSuspensionClock: () => Instant;
	store: RoleStore;
	/** Key and value of the entry that is attached to the lease. */
	key: string;
	value: string;
	/** Returns what the change feed knows of the entry. */
	getKnownEntry: () => KnownEntry;
	/** Called when the entry was written, and when it is found to be no longer in force. */
	onStateChange: (state: RegistrationState) => void;
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
/** Maximum number of writes of an entry in a row, each on the revision that the one before has found. */
const MAX_WRITE_ATTEMPTS = 2;

/** Lease of a vm, valid until a deadline of the suspension clock. */
type HeldLease = Readonly<{id: string; deadline: Deadline}>;

/** The entry of a vm as it was last written; the store certainly held it at `confirmedAt`, an instant of the suspension clock. */
type WrittenEntry = Readonly<{era: number; revision: number; confirmedAt: Instant}>;

/**
 * Creates the registration of a vm; it has no lease yet.
 *
 * A write without an answer may be executed seconds later. A lease is therefore used until the store no longer knows it, and the entry is
 * written on the condition of its last revision, so that no earlier write replaces a later one, nor attaches the entry to another lease.
 * If the entry is lost nevertheless, the change feed shows it and it is written again.
 */
export const createVmRegistration = (context: VmRegistrationContext): VmRegistration => {
	const {runtime, readSuspensionClock, store} = context;
	let lease: HeldLease | undefined;
	let writtenEntry: WrittenEntry | undefined;
	/** Revision on which the next write of the entry is conditional. */
	let expectedRevision = 0;
	let isDeregistered = false;
	const registered = createNotifier(runtime);

	const handleFailure = (failure: StoreFailure) => {
		context.onFailure(failure);
		if (failure.code === 'leaseLost') {
			if (writtenEntry && !isDeregistered) {
				context.onStateChange('leaseLost');
			}

			lease = undefined;
			writtenEntry = undefined;
			expectedRevision = 0;
		}
	};

	/** Writes the entry; resolves to whether it was written. */
	const writeEntry = async (leaseId: string): Promise<boolean> => {
		for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
			const written = await store.transact({
				conditions: [{key: context.key, revision: expectedRevision}],
				puts: [{key: context.key, value: context.value, leaseId}],
				removes: [],
			});
			if (written.err) {
				handleFailure(written.val);
				return false;
			}

			const {era, revision, foundRevisions} = written.val;
			if (revision !== undefined) {
				expectedRevision = revision;
				writtenEntry = {era, revision, confirmedAt: readSuspensionClock()};
				context.onStateChange('registered');
				registered.notify();
				return true;
			}

			expectedRevision = foundRevisions?.get(context.key) ?? 0;
		}

		return false;
	};

	/** Returns how the written entry was lost according to the change feed; `undefined` if it was not, or if the feed is older than the write. */
	const findLoss = (): 'missing' | 'replaced' | undefined => {
		if (!writtenEntry) {
			return undefined;
		}

		const {entry, completeAt} = context.getKnownEntry();
		if (!entry) {
			return completeAt > writtenEntry.confirmedAt ? 'missing' : undefined;
		}

		const isLater = entry.era === writtenEntry.era && entry.revision > writtenEntry.revision;
		return isLater && entry.value !== context.value ? 'replaced' : undefined;
	};

	const createLeaseDeadline = (sentAt: Instant, ttlMs: number): Deadline => createDeadline(sentAt, ttlMs - CLOCK_DRIFT_MS);

	/** Acquires a lease, or renews the one that this vm has; resolves to the era in which the store answered, `undefined` if it did not. */
	const extendLease = async (): Promise<number | undefined> => {
		const sentAtBySuspensionClock = readSuspensionClock();
		const sentAt = runtime.now();
		const leaseId = lease?.id;
		const extended = leaseId === undefined
			? await store.grantLease(LEASE_TTL_MS)
			: (await store.renewLease(leaseId)).map(renewal => ({...renewal, id: leaseId}));
		if (extended.err) {
			handleFailure(extended.val);
			return undefined;
		}

		const {id, era, ttlMs} = extended.val;
		context.onContact(sentAt, era);
		if (!isDeregistered) {
			lease = {id, deadline: createLeaseDeadline(sentAtBySuspensionClock, ttlMs)};
		}

		return era;
	};

	/** Extends the lease, and writes the entry if the store does not hold it; resolves to whether the vm is registered. */
	const refresh = async (): Promise<boolean> => {
		const era = await extendLease();
		if (era === undefined || !lease || isDeregistered) {
			return false;
		}

		const loss = findLoss();
		if (loss) {
			expectedRevision = context.getKnownEntry().entry?.revision ?? 0;
			context.onStateChange(loss);
		}

		// A store restored from an older copy may hold the lease but not the entry.
		return writtenEntry?.era === era && !loss ? true : writeEntry(lease.id);
	};

	return {
		async run(signal) {
			while (!signal.aborted && !isDeregistered) {
				const isRegistered = await refresh();
				await runtime.sleep(isRegistered ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS * (0.5 + runtime.random()), signal).catch(() => undefined);
			}
		},
		async waitUntilRegistered(deadline) {
			await registered.waitUntil(() => writtenEntry !== undefined, deadline);
		},
		getLease() {
			const isConfirmed = lease && writtenEntry && !isPast(lease.deadline, readSuspensionClock());
			// Other vms take the roles of a run whose entry another run has replaced.
			return isConfirmed && findLoss() !== 'replaced' ? lease?.id : undefined;
		},
		async deregister() {
			isDeregistered = true;
			const id = lease?.id;
			lease = undefined;
			if (id !== undefined) {
				const revoked = await store.revokeLease(id);
				if (revoked.err) {
					context.onFailure(revoked.val);
				}
			}
		},
	};
};
