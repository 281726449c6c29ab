/** The key-value store as a set of functions, independent of its protocol. */

import type {Deadline, Failure, Result} from '@guavapitch/core';

/** Failure of a call to the store. After `storeUnknown` the change may have taken effect. */
export type StoreFailure = Failure<'storeUnreachable' | 'storeUnknown' | 'leaseLost'>;

/** A stored value and the revision of its last change. */
export type Entry = Readonly<{key: string; value: string; revision: number}>;

/** Outcome of a compare-and-swap. */
export type SwapOutcome = Readonly<{
	/** Whether the value was replaced. */
	swapped: boolean;
	/** The entry after the call; `undefined` if there is none. */
	current: Entry | undefined;
}>;

/** A lease and the local deadline until which it is confirmed to be valid. */
export type Lease = Readonly<{id: string; deadline: Deadline}>;

/** Functions of the key-value store. */
export type Store = Readonly<{
	/** Reads one entry. */
	read: (key: string) => Promise<Result<Entry | undefined, StoreFailure>>;
	/** Reads all entries under a prefix. */
	readAll: (prefix: string) => Promise<Result<readonly Entry[], StoreFailure>>;
	/** Writes a value if the entry's revision is the expected one; revision 0 expects no entry. */
	compareAndSwap: (key: string, expectedRevision: number, value: string, leaseId?: string) => Promise<Result<SwapOutcome, StoreFailure>>;
	/** Removes an entry if its revision is the expected one; returns whether it was removed. */
	remove: (key: string, expectedRevision: number) => Promise<Result<boolean, StoreFailure>>;
	/** Grants a lease of a whole number of seconds. */
	grantLease: (seconds: number) => Promise<Result<Lease, StoreFailure>>;
	/** Renews a lease. */
	renewLease: (id: string) => Promise<Result<Lease, StoreFailure>>;
	/** Ends a lease and removes its entries. */
	revokeLease: (id: string) => Promise<Result<undefined, StoreFailure>>;
	/** Watches a prefix until the signal aborts or the watch breaks; calls `onChange` with the changed keys, and with none when the watch starts. */
	watch: (prefix: string, onChange: (keys: readonly string[]) => void, signal: AbortSignal) => Promise<Result<undefined, StoreFailure>>;
}>;
