/** Entries of the store and their changes, independent of any encoding. */

import type {Failure, Result} from '@guavapitch/core';

/** An entry of the store. */
export type StoreEntry = Readonly<{
	key: string;
	value: string;
	/** Revision of the last change of the entry. */
	revision: number;
	/** Revision at which the entry was created. */
	createdRevision: number;
}>;

/** A change of an entry; `entry` is `undefined` if the entry was removed. */
export type StoreChange = Readonly<{key: string; revision: number; entry: StoreEntry | undefined}>;

/** Failure to read the store. After `historyLost`, changes since the given revision are no longer available and everything must be read again. */
export type SourceFailure = Failure<'storeUnreachable' | 'historyLost'>;

/** Read operations of the store that a change feed uses. */
export type FeedSource = Readonly<{
	/** Reads all entries under a prefix. The revision is that of the store before the first page was read. */
	readAll: (prefix: string) => Promise<Result<Readonly<{entries: readonly StoreEntry[]; revision: number}>, SourceFailure>>;
	/** Waits at most `waitMs` for changes after a revision, of which there may be none; the next watch continues after the returned revision. */
	watch: (prefix: string, after: number, waitMs: number) => Promise<Result<Readonly<{changes: readonly StoreChange[]; revision: number}>, SourceFailure>>;
}>;

/** Entries of the store that a process knows. */
export type EntryTable = Readonly<{
	get: (key: string) => StoreEntry | undefined;
	/** Returns the entries under a prefix. */
	list: (prefix: string) => readonly StoreEntry[];
	/** Applies a change unless the same or a newer one of the key is known; tells whether it was applied. */
	apply: (change: StoreChange) => boolean;
	/** Replaces all entries under a prefix with those that the store held at a revision; returns the changes that were applied. */
	replace: (prefix: string, entries: readonly StoreEntry[], revision: number) => readonly StoreChange[];
}>;

/** Creates an empty table. The table remembers the revisions at which keys were removed, so that an older change does not restore them. */
export const createEntryTable = (): EntryTable => {
	const entries = new Map<string, StoreEntry>();
	const removedAt = new Map<string, number>();

	const apply = ({key, revision, entry}: StoreChange): boolean => {
		const latestRevision = Math.max(entries.get(key)?.revision ?? 0, removedAt.get(key) ?? 0);
		if (revision <= latestRevision) {
			return false;
		}

		if (entry) {
			entries.set(key, entry);
			removedAt.delete(key);
		} else {
			entries.delete(key);
			removedAt.set(key, revision);
		}

		return true;
	};

	const list = (prefix: string): readonly StoreEntry[] => [...entries.values()].filter(({key}) => key.startsWith(prefix));

	return {
		get: key => entries.get(key),
		list,
		apply,
		replace(prefix, newEntries, revision) {
			const presentKeys = new Set(newEntries.map(({key}) => key));
			const changes: StoreChange[] = newEntries.map(entry => ({key: entry.key, revision: entry.revision, entry}));
			for (const {key, revision: entryRevision} of list(prefix)) {
				if (!presentKeys.has(key) && entryRevision <= revision) {
					changes.push({key, revision, entry: undefined});
				}
			}

			return changes.filter(change => apply(change));
		},
	};
};
