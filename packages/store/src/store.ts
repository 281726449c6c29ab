/** The key-value store as a set of functions, independent of its protocol. */

import type {Deadline, Failure, Result} from '@guavapitch/core';

/** Failure of a call to the store: `storeUnreachable` was not executed, `storeUnknown` may have been, and after `leaseLost` the lease no longer exists. */
export type StoreFailure = Failure<'storeUnreachable' | 'storeUnknown' | 'leaseLost'>;

/** A stored value and the store revision of its last change. */
export type Entry = Readonly<{key: string; value: string; revision: number}>;

/** Outcome of a compare-and-swap. */
export type SwapOutcome = Readonly<{
	/** Whether the value was replaced. */
	isSwapped: boolean;
	/** The entry after the call; `undefined` if there is none. */
	current: Entry | undefined;
}>;

/** A lease and the local deadline until which it is confirmed to be valid; the deadline counts from before the request was sent. */
export type Lease = Readonly<{id: string; deadline: Deadline}>;

/** Functions of the key-value store. */
export type Store = Readonly<{
	/** Reads one entry; resolves to `undefined` if there is none. */
	read: (key: string) => Promise<Result<Entry | undefined, StoreFailure>>;
	/** Reads all entries under a prefix. */
	readAll: (prefix: string) => Promise<Result<readonly Entry[], StoreFailure>>;
	/** Writes a value if the entry's revision is the expected one; revision 0 expects no entry. With a lease, the entry is removed when the lease ends. */
	compareAndSwap: (key: string, expectedRevision: number, value: string, leaseId?: string) => Promise<Result<SwapOutcome, StoreFailure>>;
	/** Removes an entry if its revision is the expected one; returns whether it was removed. */
	remove: (key: string, expectedRevision: number) => Promise<Result<boolean, StoreFailure>>;
	/** Grants a lease; `seconds` must be a whole number. */
	grantLease: (seconds: number) => Promise<Result<Lease, StoreFailure>>;
	/** Renews a lease for its whole duration; fails with `leaseLost` if it has expired. */
	renewLease: (id: string) => Promise<Result<Lease, StoreFailure>>;
	/** Ends a lease and removes its entries. */
	revokeLease: (id: string) => Promise<Result<undefined, StoreFailure>>;
	/** Watches a prefix until the signal aborts or the watch breaks; calls `onChange` with the changed keys, and with none when the watch starts. */
	watch: (prefix: string, onChange: (keys: readonly string[]) => void, signal: AbortSignal) => Promise<Result<undefined, StoreFailure>>;
}>;
