/** Distributes the entries of the store to all processes: a few relays in each data centre read the store, and all other processes sync with a relay. */

import {
	createDeadline, getRemainingMs, type Instant, type Result, type Failure, type VmId, type Runtime,
} from '@guavapitch/core';
import {runFreshnessTask} from '@guavapitch/feed';
import type {Entry, Store} from '@guavapitch/store';
import type {StoreCache} from './store-cache.js';

/** Prefixes of the entries that are distributed to all processes. */
export const SHARED_PREFIXES = ['/guavapitch/', '/platform/'] as const;

/** Key of the configuration in the store. */
export const CONFIGURATION_KEY = '/guavapitch/configuration';

/** Sync request of a process to a relay. */
export type SyncRequest = Readonly<{
	vm: VmId;
	/** Incarnation of the relay to whose changes `after` refers. */
	incarnation: string;
	/** Sequence number of the last change received from that incarnation. */
	after: number;
	/** Revision of the configuration that is active at the requesting process. */
	inForce: number;
}>;

/** Response of a relay. */
export type SyncResponse = Readonly<{
	/** Incarnation of the relay, to whose changes `sequence` refers. */
	incarnation: string;
	/** Sequence number of the last change that the relay knows. */
	sequence: number;
	/** Entries that have changed since the last sync; all entries on the first sync and after a restart of the relay. */
	entries: readonly Entry[];
	/** Time since the relay's cache was last confirmed to be up to date, in milliseconds; negative if never. */
	confirmedAgeMs: number;
}>;

/** Revision of the configuration that was active at a vm at an instant. */
export type ActiveRevisionReport = Readonly<{vm: VmId; revision: number; at: Instant}>;

/** Relay service of one process; every process offers it, whether it is a relay or not. */
export type RelayService = Readonly<{
	/** Returns the changes since the last sync; if there are none, waits a short time for some. */
	sync: (request: SyncRequest) => Promise<SyncResponse>;
	/** Returns the active revision last reported by each requesting vm. */
	getReports: () => readonly ActiveRevisionReport[];
}>;

/** Maximum time that a sync request waits for a change, in milliseconds. */
const MAX_CHANGE_WAIT_MS = 400;

const getConfirmedAgeMs = (cache: StoreCache, now: Instant): number => {
	const confirmedAt = cache.getConfirmedAt();
	return Number.isFinite(confirmedAt) ? now - confirmedAt : -1;
};

/** Creates the relay service of a process from its store cache. */
export const createRelayService = (cache: StoreCache, incarnation: string, runtime: Runtime): RelayService => {
	const reports = new Map<VmId, ActiveRevisionReport>();
	return {
		async sync(request) {
			const after = request.incarnation === incarnation ? request.after : 0;
			reports.set(request.vm, {vm: request.vm, revision: request.inForce, at: runtime.now()});
			await cache.waitForChange(after, createDeadline(runtime.now(), MAX_CHANGE_WAIT_MS));
			return {
				incarnation, sequence: cache.getSequence(), entries: cache.getChangedAfter(after), confirmedAgeMs: getConfirmedAgeMs(cache, runtime.now()),
			};
		},
		getReports: () => [...reports.values()],
	};
};

/** Dependencies of the tasks that keep the store cache up to date. */
export type CacheSyncContext = Readonly<{
	runtime: Runtime;
	cache: StoreCache;
	store: Store;
	vm: VmId;
	/** Tells whether this vm is currently a relay of its data centre. */
	isRelay: () => boolean;
	/** Returns the relays in order of preference: those of this data centre, then those of the others. */
	getRelays: () => readonly VmId[];
	/** Sends a sync request to a vm. */
	sendSync: (vm: VmId, request: SyncRequest) => Promise<Result<SyncResponse, Failure>>;
	/** Asks the relays of every data centre; tells whether each data centre has confirmed that the store is unreachable and no relay can reach it. */
	isStoreDownForAll: () => Promise<boolean>;
	/** Returns the revision of the configuration that is active in this process. */
	getActiveRevision: () => number;
	/** Called after each read of the store by this vm as a relay, with whether the store answered. */
	onStoreContact: (isReachable: boolean) => void;
}>;

/** Time within which a change must be active in every process in touch with the store, in milliseconds. */
export const APPLY_MS = 4000;
/** Age of the configuration above which a process that is not a relay reads it from the store, in milliseconds; the rest of the time allows for a second attempt. */
const MAX_AGE_MS = APPLY_MS / 2;
/** Interval at which a relay reads the configuration, which confirms that its cache is up to date, in milliseconds. */
const CONFIRM_INTERVAL_MS = 400;
const RETRY_PAUSE_MS = 100;
/** Interval at which a relay reads all entries, not only the configuration, in milliseconds. */
const FULL_READ_INTERVAL_MS = 5000;

const refreshAllEntries = async (context: CacheSyncContext): Promise<boolean> => {
	for (const prefix of SHARED_PREFIXES) {
		const entries = await context.store.readAll(prefix);
		if (entries.err) {
			return false;
		}

		context.cache.merge(entries.val);
	}

	return true;
};

const refreshEntries = async (context: CacheSyncContext, keys: readonly string[]) => {
	for (const key of keys) {
		const entry = await context.store.read(key);
		if (entry.ok && entry.val) {
			context.cache.merge([entry.val]);
		}
	}
};

const watchPrefix = async (context: CacheSyncContext, prefix: string, signal: AbortSignal) => {
	while (!signal.aborted) {
		await context.store.watch(prefix, keys => {
			void refreshEntries(context, keys);
		}, signal);
		await context.runtime.sleep(RETRY_PAUSE_MS, signal);
	}
};

/** Watches the store for changes while this vm is a relay; returns when the signal aborts. */
export const runRelayWatches = async (context: CacheSyncContext, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		if (context.isRelay()) {
			const watchAbort = new AbortController();
			const watches = Promise.allSettled(SHARED_PREFIXES.map(async prefix => watchPrefix(context, prefix, AbortSignal.any([signal, watchAbort.signal]))));
			while (context.isRelay() && !signal.aborted) {
				await context.runtime.sleep(CONFIRM_INTERVAL_MS, signal).catch(() => undefined);
			}

			watchAbort.abort();
			await watches;
		}

		await context.runtime.sleep(CONFIRM_INTERVAL_MS, signal);
	}
};

/**
 * Reads the store as a relay, either all entries or only the configuration, and marks the cache as confirmed.
 * The cache is also confirmed while no relay can reach the store.
 */
const readAsRelay = async (context: CacheSyncContext, isFullReadDue: boolean): Promise<boolean> => {
	const requestedAt = context.runtime.now();
	const isReachable = isFullReadDue ? await refreshAllEntries(context) : await refreshConfiguration(context);
	context.onStoreContact(isReachable);
	if (isReachable || await context.isStoreDownForAll()) {
		context.cache.markConfirmed(requestedAt);
	}

	return isReachable;
};

const refreshConfiguration = async (context: CacheSyncContext): Promise<boolean> => {
	const entry = await context.store.read(CONFIGURATION_KEY);
	if (entry.ok && entry.val) {
		context.cache.merge([entry.val]);
	}

	return entry.ok;
};

/** Keeps the configuration of a process that is not a relay fresh, however long its search for a relay takes and whatever its relay knows. */
const runConfigurationReads = async (context: CacheSyncContext, signal: AbortSignal): Promise<void> => runFreshnessTask({
	runtime: context.runtime,
	// The cache's instants are those of this clock.
	readSuspensionClock: context.runtime.now,
	getCompleteAt: context.cache.getConfirmedAt,
	getMaxAgeMs: () => MAX_AGE_MS,
	async readEntries() {
		const requestedAt = context.runtime.now();
		if (!context.isRelay() && await refreshConfiguration(context)) {
			context.cache.markConfirmed(requestedAt);
		}
	},
}, signal);

/** Last change received from a relay, as sent with the next sync request. */
type SyncProgress = {incarnation: string; after: number};

const syncWithRelay = async (context: CacheSyncContext, relay: VmId, progress: SyncProgress): Promise<boolean> => {
	const requestedAt = context.runtime.now();
	const response = await context.sendSync(relay, {vm: context.vm, ...progress, inForce: context.getActiveRevision()});
	if (response.err) {
		return false;
	}

	const {incarnation, sequence, entries, confirmedAgeMs} = response.val;
	context.cache.merge(entries);
	progress.incarnation = incarnation;
	progress.after = sequence;
	if (confirmedAgeMs >= 0) {
		context.cache.markConfirmed((requestedAt - confirmedAgeMs) as Instant);
	}

	return true;
};

/** Keeps the store cache up to date: a relay reads the store, and falls back to another relay if it cannot; every other process syncs with a relay. */
export const runCacheSync = async (context: CacheSyncContext, signal: AbortSignal): Promise<void> => {
	const {runtime} = context;
	const progressByRelay = new Map<VmId, SyncProgress>();
	let nextFullReadAt = createDeadline(runtime.now(), 0);
	let relayIndex = 0;

	const syncWithAnyRelay = async (): Promise<boolean> => {
		const relays = context.getRelays();
		const relay = relays[relayIndex % Math.max(1, relays.length)];
		if (!relay) {
			return false;
		}

		const relayProgress = progressByRelay.get(relay) ?? {incarnation: '', after: 0};
		progressByRelay.set(relay, relayProgress);
		const hasSucceeded = await syncWithRelay(context, relay, relayProgress);
		relayIndex = hasSucceeded ? 0 : relayIndex + 1;
		return hasSucceeded;
	};

	void runConfigurationReads(context, signal);
	while (!signal.aborted) {
		if (context.isRelay()) {
			const isFullReadDue = getRemainingMs(nextFullReadAt, runtime.now()) === 0;
			const isReachable = await readAsRelay(context, isFullReadDue);
			if (isReachable && isFullReadDue) {
				nextFullReadAt = createDeadline(runtime.now(), FULL_READ_INTERVAL_MS);
			}

			if (!isReachable) {
				await syncWithAnyRelay();
			}

			await runtime.sleep(isReachable ? CONFIRM_INTERVAL_MS : RETRY_PAUSE_MS, signal);
		} else if (!await syncWithAnyRelay()) {
			await runtime.sleep(RETRY_PAUSE_MS, signal);
		}
	}
};
