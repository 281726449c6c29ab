/** Entries of the store as they are handed on, without an encoding. */

import type {Failure, Result} from '@guavapitch/core';

/** An entry of the store. */
export type StoreEntry = Readonly<{
	key: string;
	value: string;
	/** Revision of its last change. */
	revision: number;
	/** Revision of its creation. */
	createdRevision: number;
}>;

/** A change of an entry; without an entry it was removed. */
export type StoreChange = Readonly<{key: string; revision: number; entry: StoreEntry | undefined}>;

/** Failure of reading the store. */
export type SourceFailure = Failure<'storeUnreachable' | 'historyLost'>;

/** Reads of the store from which a feed is fed. */
export type FeedSource = Readonly<{
	/** Reads all entries under a prefix, with the store's revision from before the first page. */
	readAll: (prefix: string) => Promise<Result<Readonly<{entries: readonly StoreEntry[]; revision: number}>, SourceFailure>>;
	/** Waits for changes after a revision, for some time. */
	watch: (prefix: string, after: number, waitMs: number) => Promise<Result<Readonly<{changes: readonly StoreChange[]; revision: number}>, SourceFailure>>;
}>;

/** Entries known to a process. */
export type EntryTable = Readonly<{
	get: (key: string) => StoreEntry | undefined;
	/** Lists the entries under a prefix. */
	list: (prefix: string) => readonly StoreEntry[];
	/** Applies a change unless a newer one of the same key is known. */
	apply: (change: StoreChange) => boolean;
	/** Replaces everything under a prefix by what the store held at a revision; gives the changes. */
	replace: (prefix: string, entries: readonly StoreEntry[], revision: number) => readonly StoreChange[];
}>;

/** Creates an empty table. Removed keys leave a mark, so that an older change does not bring them back. */
export const createEntryTable = (): EntryTable => {
	const entries = new Map<string, StoreEntry>();
	const removedAt = new Map<string, number>();

	const apply = ({key, revision, entry}: StoreChange): boolean => {
		const known = Math.max(entries.get(key)?.revision ?? 0, removedAt.get(key) ?? 0);
		if (revision <= known) {
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
		replace(prefix, next, revision) {
			const present = new Set(next.map(({key}) => key));
			const changes: StoreChange[] = next.map(entry => ({key: entry.key, revision: entry.revision, entry}));
			for (const {key, revision: known} of list(prefix)) {
				if (!present.has(key) && known <= revision) {
					changes.push({key, revision, entry: undefined});
				}
			}

			return changes.filter(change => apply(change));
		},
	};
};
