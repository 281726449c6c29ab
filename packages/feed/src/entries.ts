/** Entries of the store and their changes, independent of any encoding. */

import type {Failure, Result} from '@guavapitch/core';

/** A state of the store. Revisions count within an era; when the store is restored from an older copy, a new era begins and revisions are given out again. */
export type StoreVersion = Readonly<{era: number; revision: number}>;

/** An entry of the store, with the version of its last change. */
export type StoreEntry = StoreVersion & Readonly<{
	key: string;
	value: string;
	/** Revision at which the entry was created. */
	createdRevision: number;
}>;

/** A change of an entry; `entry` is `undefined` if the entry was removed. */
export type StoreChange = StoreVersion & Readonly<{key: string; entry: StoreEntry | undefined}>;

/** Compares two versions; negative if the first one is older. */
export const compareVersions = (a: StoreVersion, b: StoreVersion): number => a.era - b.era || a.revision - b.revision;

/** Failure to read the store. After `historyLost`, changes since the given revision are no longer available and everything must be read again. */
export type SourceFailure = Failure<'storeUnreachable' | 'historyLost'>;

/** Read operations of the store that a change feed uses. */
export type FeedSource = Readonly<{
	/** Reads all entries under a prefix; with `timeoutMs` each page within that time, and on a connection of its own, since one that was kept open may have become silent. The version is that of the store before the first page was read. */
	readAll: (prefix: string, timeoutMs?: number) => Promise<Result<Readonly<{entries: readonly StoreEntry[]; version: StoreVersion}>, SourceFailure>>;
	/** Waits at most `waitMs` for changes after a revision of the store's present era, of which there may be none; the next watch continues after the returned version. */
	watch: (prefix: string, after: number, waitMs: number) => Promise<Result<Readonly<{changes: readonly StoreChange[]; version: StoreVersion}>, SourceFailure>>;
}>;

/** Entries of the store that a process knows. */
export type EntryTable = Readonly<{
	get: (key: string) => StoreEntry | undefined;
	/** Returns the entries under a prefix. */
	list: (prefix: string) => readonly StoreEntry[];
	/** Applies a change unless the same or a newer one of the key is known; tells whether it was applied. */
	apply: (change: StoreChange) => boolean;
	/** Replaces the entries under a prefix with those that the store held at a version, but keeps missing ones of earlier eras; returns the changes that were applied. */
	replace: (prefix: string, entries: readonly StoreEntry[], version: StoreVersion) => readonly StoreChange[];
	/** Removes the entries under a prefix that are of earlier eras than a version; returns the changes. */
	removeEarlierEras: (prefix: string, version: StoreVersion) => readonly StoreChange[];
}>;

/** Creates the change that wrote an entry. */
export const createChange = (entry: StoreEntry): StoreChange => ({
	key: entry.key, era: entry.era, revision: entry.revision, entry,
});

/** Version before every other. */
const FIRST_VERSION: StoreVersion = {era: 0, revision: 0};

/** Creates an empty table. The table remembers the versions at which keys were removed, so that an older change does not restore them. */
export const createEntryTable = (): EntryTable => {
	const entries = new Map<string, StoreEntry>();
	const removedAt = new Map<string, StoreVersion>();

	const apply = ({
		key, era, revision, entry,
	}: StoreChange): boolean => {
		const version = {era, revision};
		if (compareVersions(version, entries.get(key) ?? FIRST_VERSION) <= 0 || compareVersions(version, removedAt.get(key) ?? FIRST_VERSION) <= 0) {
			return false;
		}

		if (entry) {
			entries.set(key, entry);
			removedAt.delete(key);
		} else {
			entries.delete(key);
			removedAt.set(key, version);
		}

		return true;
	};

	const list = (prefix: string): readonly StoreEntry[] => [...entries.values()].filter(({key}) => key.startsWith(prefix));

	return {
		get: key => entries.get(key),
		list,
		apply,
		replace(prefix, newEntries, version) {
			const presentKeys = new Set(newEntries.map(({key}) => key));
			const changes = newEntries.map(entry => createChange(entry));
			for (const entry of list(prefix)) {
				if (!presentKeys.has(entry.key) && entry.era === version.era && entry.revision <= version.revision) {
					changes.push({...version, key: entry.key, entry: undefined});
				}
			}

			return changes.filter(change => apply(change));
		},
		removeEarlierEras: (prefix, version) => list(prefix)
			.filter(({era}) => era < version.era)
			.map(({key}): StoreChange => ({...version, key, entry: undefined}))
			.filter(change => apply(change)),
	};
};
