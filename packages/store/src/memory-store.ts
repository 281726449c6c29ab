/** In-memory store, for the stand-in and for tests. */

import {
	createDeadline, createNotifier, Err, isPast, Ok, NEVER, type Deadline, type Runtime,
} from '@guavapitch/core';
import type {Entry, Lease, Store} from './store.js';

/** A store in memory; its leases expire by the monotonic clock of its `Runtime`. */
export type MemoryStore = Store & Readonly<{
	/** Ends leases whose deadline has passed. */
	expireDueLeases: () => void;
	/** Ends one lease at once, as if it had expired. */
	expireLease: (id: string) => void;
	/** Ends every lease at once. */
	expireAllLeases: () => void;
	/** Writes an entry regardless of its revision, and attaches it to a lease if one is given. */
	put: (key: string, value: string, leaseId?: string) => Entry;
}>;

type StoredEntry = Readonly<{entry: Entry; leaseId: string | undefined}>;
type LeaseState = Readonly<{ttlSeconds: number; deadline: Deadline}>;

const MS_PER_SECOND = 1000;

/** Creates an empty store. */
export const createMemoryStore = (runtime: Runtime): MemoryStore => {
	const entries = new Map<string, StoredEntry>();
	const leases = new Map<string, LeaseState>();
	const watchers = new Set<(key: string) => void>();
	const watchNotifier = createNotifier(runtime);
	let revision = 0;
	let leaseCount = 0;

	const notifyWatchers = (key: string) => {
		for (const watcher of watchers) {
			watcher(key);
		}
	};

	const writeEntry = (key: string, value: string, leaseId: string | undefined): Entry => {
		revision++;
		const entry: Entry = {key, value, revision};
		entries.set(key, {entry, leaseId});
		notifyWatchers(key);
		return entry;
	};

	const removeEntry = (key: string) => {
		revision++;
		entries.delete(key);
		notifyWatchers(key);
	};

	const endLease = (id: string) => {
		leases.delete(id);
		for (const [key, {leaseId}] of entries) {
			if (leaseId === id) {
				removeEntry(key);
			}
		}
	};

	const expireDueLeases = () => {
		for (const [id, {deadline}] of leases) {
			if (isPast(deadline, runtime.now())) {
				endLease(id);
			}
		}
	};

	const extendLease = (id: string, ttlSeconds: number): Lease => {
		const deadline = createDeadline(runtime.now(), ttlSeconds * MS_PER_SECOND);
		leases.set(id, {ttlSeconds, deadline});
		return {id, deadline};
	};

	return {
		expireDueLeases,
		expireLease: endLease,
		expireAllLeases() {
			for (const id of leases.keys()) {
				endLease(id);
			}
		},
		put: (key, value, leaseId) => writeEntry(key, value, leaseId),
		async read(key) {
			expireDueLeases();
			return Ok(entries.get(key)?.entry);
		},
		async readAll(prefix) {
			expireDueLeases();
			return Ok([...entries.values()].map(({entry}) => entry).filter(({key}) => key.startsWith(prefix)));
		},
		async compareAndSwap(key, expectedRevision, value, leaseId) {
			expireDueLeases();
			const current = entries.get(key)?.entry;
			if ((current?.revision ?? 0) !== expectedRevision) {
				return Ok({isSwapped: false, current});
			}

			if (leaseId !== undefined && !leases.has(leaseId)) {
				return Err({code: 'leaseLost', message: 'The lease has expired'});
			}

			return Ok({isSwapped: true, current: writeEntry(key, value, leaseId)});
		},
		async remove(key, expectedRevision) {
			expireDueLeases();
			if (entries.get(key)?.entry.revision !== expectedRevision) {
				return Ok(false);
			}

			removeEntry(key);
			return Ok(true);
		},
		async grantLease(seconds) {
			leaseCount++;
			return Ok(extendLease(String(leaseCount), seconds));
		},
		async renewLease(id) {
			expireDueLeases();
			const lease = leases.get(id);
			return lease ? Ok(extendLease(id, lease.ttlSeconds)) : Err({code: 'leaseLost', message: 'The lease has expired'});
		},
		async revokeLease(id) {
			endLease(id);
			return Ok(undefined);
		},
		async watch(prefix, onChange, signal) {
			const watcher = (key: string) => {
				if (key.startsWith(prefix)) {
					onChange([key]);
				}
			};

			watchers.add(watcher);
			onChange([]);
			await watchNotifier.waitUntil(() => signal.aborted, NEVER, signal);
			watchers.delete(watcher);
			return Ok(undefined);
		},
	};
};
