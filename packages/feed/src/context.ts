/** Dependencies of a change feed. */

import type {
	Failure, Instant, Result, Runtime,
} from '@guavapitch/core';
import type {FeedSource, StoreChange, StoreEntry} from './entries.js';
import type {FeedRequest, FeedResponse} from './relay-messages.js';

/** A key prefix that the feed covers. */
export type FeedPrefix = Readonly<{
	prefix: string;
	/** Maximum wait of one watch, in milliseconds; an unresponsive connection is noticed after this time. */
	waitMs: number;
	/** Pause between two watches, in milliseconds; it limits the load of entries that change continuously. */
	pauseMs: number;
	/** Returns the age, in milliseconds, above which this vm reads the entries beside its usual source; without it, they are only as fresh as that source. */
	getMaxAgeMs?: () => number;
}>;

/** Why a relay is not followed: it did not respond, its entries are stale, or too many relays are between it and the store. */
export type RelayRejection = 'noResponse' | 'stale' | 'tooFar';

/** Dependencies of a change feed. */
export type FeedContext = Readonly<{
	runtime: Runtime;
	/** Reads a clock that keeps running while the process or its machine is suspended. */
	readSuspensionClock: () => Instant;
	/** Identifier of this run of the process. */
	run: string;
	source: FeedSource;
	prefixes: readonly FeedPrefix[];
	/** Maximum time that a relay may hold a request of this vm until there is a change, in milliseconds; each relay adds it to the age of entries. */
	followerWaitMs: number;
	/** Tells whether a change is relevant to followers. */
	isRelevantChange: (change: StoreChange, previous: StoreEntry | undefined) => boolean;
	/** Returns the vms to follow, the best first; none if this vm should read the store itself. As seen by each vm, they must all come before it in one order of the fleet, so that no vm follows itself through others. */
	listRelays: () => readonly string[];
	/** Returns all vms that can be called, in any order; they are asked for entries when neither a relay nor the store gives them to this vm. */
	listVms: () => readonly string[];
	/** Prefix of the entries from which `listRelays` is derived. */
	relayPrefix: string;
	/** Resolves when this vm is listed under `relayPrefix`, or does not expect to be soon. */
	waitUntilListed: () => Promise<void>;
	/** Sends a request to a relay. */
	callRelay: (relay: string, request: FeedRequest) => Promise<Result<FeedResponse, Failure>>;
	/** Called with changes that are relevant to followers, after they have been applied. */
	onChange: (changes: readonly StoreChange[]) => void;
	/** Called when the feed starts to read the store, or to follow the relay `name`. */
	onSourceChange: (kind: 'store' | 'relay', name: string) => void;
	/** Called when a relay that was to be followed is not, or no longer, with the time that the attempt took and the age of the relay's entries, in milliseconds. */
	onRelayRejected: (relay: string, rejection: RelayRejection, tookMs: number, ageMs: number) => void;
	/** Called when the store is found to have been restored from an older copy since the era before; the entries are then still those of the era before. */
	onEraChange: (era: number, previousEra: number) => void;
	/** Called after each read of the store; `reason` is empty unless the read failed. */
	onStoreStatus: (isReachable: boolean, reason: string) => void;
}>;
