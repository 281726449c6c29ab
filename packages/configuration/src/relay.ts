/** Bringing the store's entries to every process: few relays of a data centre read the store, the rest ask them. */

import {
	createDeadline, getRemainingMs, type Instant, type Result, type Failure, type VmId, type World,
} from '@guavapitch/core';
import type {Entry, Store} from '@guavapitch/store';
import type {StoreCache} from './store-cache.js';

/** Prefix of every entry that is carried to all processes. */
export const SHARED_PREFIXES = ['/guavapitch/', '/platform/'] as const;

/** Key of the configuration. */
export const CONFIGURATION_KEY = '/guavapitch/configuration';

/** What a process asks a relay. */
export type SyncRequest = Readonly<{
	vm: VmId;
	/** Run of the relay that `after` counts for. */
	incarnation: string;
	/** Number of the last change received from that run. */
	after: number;
	/** Revision of the configuration in force at the asker. */
	inForce: number;
}>;

/** What a relay answers. */
export type SyncReply = Readonly<{
	incarnation: string;
	sequence: number;
	entries: readonly Entry[];
	/** Time since the relay's facts were known to be complete, in milliseconds; negative if never. */
	confirmedAgeMs: number;
}>;

/** Report of the revision in force at a vm. */
export type ActiveRevisionReport = Readonly<{vm: VmId; revision: number; at: Instant}>;

/** Relay service of one process; any process may be asked. */
export type RelayService = Readonly<{
	/** Answers a request, waiting a little for news. */
	sync: (request: SyncRequest) => Promise<SyncReply>;
	/** Gets what the askers have in force. */
	getReports: () => readonly ActiveRevisionReport[];
}>;

const NEWS_WAIT_MS = 400;

const getAgeMs = (facts: StoreCache, now: Instant): number => {
	const confirmedAt = facts.getConfirmedAt();
	return Number.isFinite(confirmedAt) ? now - confirmedAt : -1;
};

/** Creates the relay service over the facts of a process. */
export const createRelayService = (facts: StoreCache, incarnation: string, world: World): RelayService => {
	const reports = new Map<VmId, ActiveRevisionReport>();
	return {
		async sync(request) {
			const after = request.incarnation === incarnation ? request.after : 0;
			reports.set(request.vm, {vm: request.vm, revision: request.inForce, at: world.now()});
			await facts.waitForChange(after, createDeadline(world.now(), NEWS_WAIT_MS));
			return {
				incarnation, sequence: facts.getSequence(), entries: facts.getChangedAfter(after), confirmedAgeMs: getAgeMs(facts, world.now()),
			};
		},
		getReports: () => [...reports.values()],
	};
};

/** What the tasks that keep the facts fresh need. */
export type CacheSyncContext = Readonly<{
	world: World;
	cache: StoreCache;
	store: Store;
	vm: VmId;
	/** Tells whether this vm is a relay of its data centre now. */
	isRelay: () => boolean;
	/** Gets the vms to ask, best first: relays of this data centre, then of the others. */
	getRelays: () => readonly VmId[];
	/** Asks a vm. */
	sendSync: (vm: VmId, request: SyncRequest) => Promise<Result<SyncReply, Failure>>;
	/** Asks the relays of every data centre whether none reaches the store. */
	isStoreDownForAll: () => Promise<boolean>;
	getActiveRevision: () => number;
	/** Hears whether the store answers this vm. */
	onStoreContact: (reachable: boolean) => void;
}>;

const CONFIRM_MS = 400;
const RETRY_MS = 100;
const FULL_READ_MS = 5000;

const readAll = async (context: CacheSyncContext): Promise<boolean> => {
	for (const prefix of SHARED_PREFIXES) {
		const entries = await context.store.readAll(prefix);
		if (entries.err) {
			return false;
		}

		context.cache.merge(entries.val);
	}

	return true;
};

const readChanged = async (context: CacheSyncContext, keys: readonly string[]) => {
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
			void readChanged(context, keys);
		}, signal);
		await context.world.sleep(RETRY_MS, signal);
	}
};

/** Runs the watches of a relay while it is one. */
export const runRelayWatches = async (context: CacheSyncContext, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		if (context.isRelay()) {
			const stop = new AbortController();
			const watching = Promise.allSettled(SHARED_PREFIXES.map(async prefix => watchPrefix(context, prefix, AbortSignal.any([signal, stop.signal]))));
			while (context.isRelay() && !signal.aborted) {
				await context.world.sleep(CONFIRM_MS, signal).catch(() => undefined);
			}

			stop.abort();
			await watching;
		}

		await context.world.sleep(CONFIRM_MS, signal);
	}
};

/** Reads the store as a relay: confirms freshness, and from time to time reads everything. */
const confirmOnce = async (context: CacheSyncContext, fullReadDue: boolean): Promise<boolean> => {
	const askedAt = context.world.now();
	const isReached = fullReadDue ? await readAll(context) : await readConfiguration(context);
	context.onStoreContact(isReached);
	if (isReached || await context.isStoreDownForAll()) {
		context.cache.markConfirmed(askedAt);
	}

	return isReached;
};

const readConfiguration = async (context: CacheSyncContext): Promise<boolean> => {
	const entry = await context.store.read(CONFIGURATION_KEY);
	if (entry.ok && entry.val) {
		context.cache.merge([entry.val]);
	}

	return entry.ok;
};

type Progress = {incarnation: string; after: number};

const askOnce = async (context: CacheSyncContext, relay: VmId, progress: Progress): Promise<boolean> => {
	const askedAt = context.world.now();
	const reply = await context.sendSync(relay, {vm: context.vm, ...progress, inForce: context.getActiveRevision()});
	if (reply.err) {
		return false;
	}

	const {incarnation, sequence, entries, confirmedAgeMs} = reply.val;
	context.cache.merge(entries);
	progress.incarnation = incarnation;
	progress.after = sequence;
	if (confirmedAgeMs >= 0) {
		context.cache.markConfirmed((askedAt - confirmedAgeMs) as Instant);
	}

	return true;
};

/** Keeps the facts fresh: a relay reads the store, every other process asks a relay. */
export const runCacheSync = async (context: CacheSyncContext, signal: AbortSignal): Promise<void> => {
	const {world} = context;
	const progress = new Map<VmId, Progress>();
	let fullReadAt = createDeadline(world.now(), 0);
	let turn = 0;

	const askAnyRelay = async (): Promise<boolean> => {
		const relays = context.getRelays();
		const relay = relays[turn % Math.max(1, relays.length)];
		if (!relay) {
			return false;
		}

		const known = progress.get(relay) ?? {incarnation: '', after: 0};
		progress.set(relay, known);
		const answered = await askOnce(context, relay, known);
		turn = answered ? 0 : turn + 1;
		return answered;
	};

	while (!signal.aborted) {
		if (context.isRelay()) {
			const isDue = getRemainingMs(fullReadAt, world.now()) === 0;
			const isReached = await confirmOnce(context, isDue);
			if (isReached && isDue) {
				fullReadAt = createDeadline(world.now(), FULL_READ_MS);
			}

			if (!isReached) {
				await askAnyRelay();
			}

			await world.sleep(isReached ? CONFIRM_MS : RETRY_MS, signal);
		} else if (!await askAnyRelay()) {
			await world.sleep(RETRY_MS, signal);
		}
	}
};
