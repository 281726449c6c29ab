/** The state of the key-value service, for the stand-in and for tests. */

import {
	createDeadline, createNotifier, Err, isPast, Ok, NEVER, type Deadline, type World,
} from '@guavapitch/core';
import type {Entry, Lease, Store} from './store.js';

/** A store in memory, with the clock hidden behind its world. */
export type MemoryStore = Store & Readonly<{
	/** Ends leases whose deadline has passed. */
	expireDueLeases: () => void;
	/** Ends one lease at once, as if it had lapsed. */
	expireLease: (id: string) => void;
	/** Ends every lease at once. */
	expireAllLeases: () => void;
	/** Writes an entry whatever its revision. */
	put: (key: string, value: string, leaseId?: string) => Entry;
}>;

type Stored = Readonly<{entry: Entry; leaseId: string | undefined}>;
type LeaseState = Readonly<{seconds: number; deadline: Deadline}>;

const MILLISECONDS = 1000;

/** Creates an empty store. */
export const createMemoryStore = (world: World): MemoryStore => {
	const entries = new Map<string, Stored>();
	const leases = new Map<string, LeaseState>();
	const watchers = new Set<(key: string) => void>();
	const changed = createNotifier(world);
	let revision = 0;
	let leaseCount = 0;

	const announce = (key: string) => {
		for (const watcher of watchers) {
			watcher(key);
		}
	};

	const write = (key: string, value: string, leaseId: string | undefined): Entry => {
		revision++;
		const entry: Entry = {key, value, revision};
		entries.set(key, {entry, leaseId});
		announce(key);
		return entry;
	};

	const erase = (key: string) => {
		revision++;
		entries.delete(key);
		announce(key);
	};

	const endLease = (id: string) => {
		leases.delete(id);
		for (const [key, {leaseId}] of entries) {
			if (leaseId === id) {
				erase(key);
			}
		}
	};

	const expireLeases = () => {
		for (const [id, {deadline}] of leases) {
			if (isPast(deadline, world.now())) {
				endLease(id);
			}
		}
	};

	const extend = (id: string, seconds: number): Lease => {
		const deadline = createDeadline(world.now(), seconds * MILLISECONDS);
		leases.set(id, {seconds, deadline});
		return {id, deadline};
	};

	return {
		expireDueLeases: expireLeases,
		expireLease: endLease,
		expireAllLeases() {
			for (const id of leases.keys()) {
				endLease(id);
			}
		},
		put: (key, value, leaseId) => write(key, value, leaseId),
		async read(key) {
			expireLeases();
			return Ok(entries.get(key)?.entry);
		},
		async readAll(prefix) {
			expireLeases();
			return Ok([...entries.values()].map(({entry}) => entry).filter(({key}) => key.startsWith(prefix)));
		},
		async compareAndSwap(key, expectedRevision, value, leaseId) {
			expireLeases();
			const current = entries.get(key)?.entry;
			if ((current?.revision ?? 0) !== expectedRevision) {
				return Ok({swapped: false, current});
			}

			if (leaseId !== undefined && !leases.has(leaseId)) {
				return Err({code: 'leaseLost', message: 'The lease has lapsed'});
			}

			return Ok({swapped: true, current: write(key, value, leaseId)});
		},
		async remove(key, expectedRevision) {
			expireLeases();
			if (entries.get(key)?.entry.revision !== expectedRevision) {
				return Ok(false);
			}

			erase(key);
			return Ok(true);
		},
		async grantLease(seconds) {
			leaseCount++;
			return Ok(extend(String(leaseCount), seconds));
		},
		async renewLease(id) {
			expireLeases();
			const lease = leases.get(id);
			return lease ? Ok(extend(id, lease.seconds)) : Err({code: 'leaseLost', message: 'The lease has lapsed'});
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
			await changed.waitUntil(() => signal.aborted, NEVER, signal);
			watchers.delete(watcher);
			return Ok(undefined);
		},
	};
};
