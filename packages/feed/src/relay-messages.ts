/** Messages between a follower of the change feed and its relay. */

import type {StoreChange} from './entries.js';

/** Request of a follower to a relay. */
export type FeedRequest = Readonly<{
	/** Run of the relay that last responded to the follower; empty before the first response. */
	run: string;
	/** Number of the last change that the follower received from that run. */
	after: number;
	/** Time that the relay may wait for a change, in milliseconds. */
	waitMs: number;
	/** Restricts the response to the entries under a prefix, sent at once and only if they are at most so old, in milliseconds; relays of earlier versions send all entries. */
	only?: Readonly<{prefix: string; maxAgeMs: number}>;
}>;

/** Response of a relay to a follower. */
export type FeedResponse = Readonly<{
	/** Run of the relay, to which `number` refers. */
	run: string;
	/** Number of the newest change in the response. */
	number: number;
	/** Latest era of the store that the relay knows; absent from relays of earlier versions. */
	era?: number;
	/** Whether `changes` holds all entries instead of only those that changed. */
	isWhole: boolean;
	changes: readonly StoreChange[];
	/** Time since the relay's entries were last confirmed by the store, in milliseconds; `Number.MAX_SAFE_INTEGER` before the first time. */
	ageMs: number;
	/** Number of relays between the relay and the store; absent from relays of earlier versions, which read the store themselves. */
	level?: number;
	/** Time that the relay waited for a change, in milliseconds; absent from relays of earlier versions. */
	heldMs?: number;
	/** Time since the relay's entries under each prefix were complete, in milliseconds; without prefixes that it has not read; absent from relays of earlier versions. */
	prefixAgesMs?: Readonly<Record<string, number>>;
}>;

/** Adds the present era to changes from a relay of an earlier version, which does not tell eras apart. */
export const addMissingEras = (changes: ReadonlyArray<Omit<StoreChange, 'era'> & Readonly<{era?: number}>>, presentEra: number): readonly StoreChange[] => changes.map(change => {
	const era = change.era ?? presentEra;
	return {...change, era, entry: change.entry && {...change.entry, era}};
});
