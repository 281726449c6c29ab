/** Local cache of the entries of the store; an entry is only ever replaced by a higher revision of it, and stays when it is removed from the store. */

import {
	createNotifier, isPast, PAST, type Deadline, type Instant, type Runtime,
} from '@guavapitch/core';
import type {Entry} from '@guavapitch/store';

/** Store cache of one process. */
export type StoreCache = Readonly<{
	/** Adds entries; those that are not newer than the cached ones are ignored. */
	merge: (entries: readonly Entry[]) => void;
	get: (key: string) => Entry | undefined;
	list: (prefix: string) => readonly Entry[];
	/** Returns the sequence number of the last change of this cache; it has no meaning in other processes. */
	getSequence: () => number;
	/** Returns the entries changed after a sequence number. */
	getChangedAfter: (sequence: number) => readonly Entry[];
	/** Records that the cache was confirmed to be up to date at an instant; earlier instants than the recorded one are ignored. */
	markConfirmed: (at: Instant) => void;
	/** Returns the latest instant at which the cache was confirmed to be up to date; `PAST` if never. */
	getConfirmedAt: () => Instant;
	/** Waits until an entry changes after a sequence number, the deadline passes or the signal aborts. */
	waitForChange: (sequence: number, deadline: Deadline, signal?: AbortSignal) => Promise<void>;
	/** Registers a listener that is called after each change, with the keys that changed. */
	subscribe: (listener: (keys: readonly string[]) => void) => void;
}>;

/** An entry and the sequence number of its last change. */
type CachedEntry = Readonly<{entry: Entry; sequence: number}>;

/** Creates an empty cache. */
export const createStoreCache = (runtime: Runtime): StoreCache => {
	const cachedByKey = new Map<string, CachedEntry>();
	const listeners: Array<(keys: readonly string[]) => void> = [];
	const changed = createNotifier(runtime);
	let sequence = 0;
	let confirmedAt = PAST as number as Instant;

	return {
		merge(entries) {
			const newerEntries = entries.filter(entry => entry.revision > (cachedByKey.get(entry.key)?.entry.revision ?? 0));
			for (const entry of newerEntries) {
				sequence++;
				cachedByKey.set(entry.key, {entry, sequence});
			}

			if (newerEntries.length > 0) {
				const keys = newerEntries.map(entry => entry.key);
				for (const listener of listeners) {
					listener(keys);
				}

				changed.notify();
			}
		},
		get: key => cachedByKey.get(key)?.entry,
		list: prefix => [...cachedByKey.values()].map(({entry}) => entry).filter(entry => entry.key.startsWith(prefix)),
		getSequence: () => sequence,
		getChangedAfter: after => [...cachedByKey.values()].filter(cached => cached.sequence > after).map(({entry}) => entry),
		markConfirmed(at) {
			if (at > confirmedAt) {
				confirmedAt = at;
			}
		},
		getConfirmedAt: () => confirmedAt,
		async waitForChange(after, deadline, signal) {
			while (sequence <= after && !isPast(deadline, runtime.now()) && !signal?.aborted) {
				await changed.waitForChange(deadline, signal);
			}
		},
		subscribe(listener) {
			listeners.push(listener);
		},
	};
};
