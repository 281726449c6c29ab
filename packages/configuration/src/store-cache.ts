/** What a process knows of the store: entries that only ever move to higher revisions. */

import {
	createNotifier, isPast, PAST, type Deadline, type Instant, type World,
} from '@guavapitch/core';
import type {Entry} from '@guavapitch/store';

/** Facts of one process. */
export type StoreCache = Readonly<{
	/** Takes entries; those that are not newer are ignored. */
	merge: (entries: readonly Entry[]) => void;
	get: (key: string) => Entry | undefined;
	list: (prefix: string) => readonly Entry[];
	/** Gets the number of the last change in this process. */
	getSequence: () => number;
	/** Gets the entries changed after a number. */
	getChangedAfter: (sequence: number) => readonly Entry[];
	/** Notes that the facts were known to be complete at an instant. */
	markConfirmed: (at: Instant) => void;
	/** Gets the latest instant at which the facts were known to be complete. */
	getConfirmedAt: () => Instant;
	/** Waits until something has changed after a number. */
	waitForChange: (sequence: number, deadline: Deadline, signal?: AbortSignal) => Promise<void>;
	/** Calls a function after each change, with the keys that changed. */
	subscribe: (listener: (keys: readonly string[]) => void) => void;
}>;

type Known = Readonly<{entry: Entry; sequence: number}>;

/** Creates empty facts. */
export const createStoreCache = (world: World): StoreCache => {
	const known = new Map<string, Known>();
	const listeners: Array<(keys: readonly string[]) => void> = [];
	const changed = createNotifier(world);
	let sequence = 0;
	let confirmedAt = PAST as number as Instant;

	return {
		merge(entries) {
			const newer = entries.filter(entry => entry.revision > (known.get(entry.key)?.entry.revision ?? 0));
			for (const entry of newer) {
				sequence++;
				known.set(entry.key, {entry, sequence});
			}

			if (newer.length > 0) {
				const keys = newer.map(entry => entry.key);
				for (const listener of listeners) {
					listener(keys);
				}

				changed.notify();
			}
		},
		get: key => known.get(key)?.entry,
		list: prefix => [...known.values()].map(({entry}) => entry).filter(entry => entry.key.startsWith(prefix)),
		getSequence: () => sequence,
		getChangedAfter: after => [...known.values()].filter(one => one.sequence > after).map(({entry}) => entry),
		markConfirmed(at) {
			if (at > confirmedAt) {
				confirmedAt = at;
			}
		},
		getConfirmedAt: () => confirmedAt,
		async waitForChange(after, deadline, signal) {
			while (sequence <= after && !isPast(deadline, world.now()) && !signal?.aborted) {
				await changed.waitForChange(deadline, signal);
			}
		},
		subscribe(listener) {
			listeners.push(listener);
		},
	};
};
