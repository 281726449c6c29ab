/** Change feed of the store: reads entries from the store itself, or follows a relay that does. */

import {
	createNotifier, PAST, type Instant, type Result,
} from '@guavapitch/core';
import {createChangeLog} from './change-log.js';
import type {FeedContext, FeedPrefix, RelayRejection} from './context.js';
import {
	compareVersions, createEntryTable, type FeedSource, type SourceFailure, type StoreChange, type StoreEntry, type StoreVersion,
} from './entries.js';
import {runFreshnessTask} from './freshness.js';
import {requestPeerEntries} from './peer-entries.js';
import {addMissingEras, type FeedRequest, type FeedResponse} from './relay-messages.js';
import {createRelayService} from './relay-service.js';

/** Change feed of one process. */
export type Feed = Readonly<{
	/** Keeps the entries up to date until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	get: (key: string) => StoreEntry | undefined;
	list: (prefix: string) => readonly StoreEntry[];
	/** Serves the request of a follower. */
	serve: (request: FeedRequest) => Promise<FeedResponse>;
	/** Returns the age of the known entries in milliseconds: the time since this vm, or the relay that it follows, had contact with the store; infinite before the first contact. */
	getAgeMs: () => number;
	/**
	 * Returns an instant of the suspension clock at which the entries under a prefix were certainly complete; `PAST` before the first read.
	 * During `onChange` it is that of the read before, so the store received each of the changes after it.
	 */
	getCompleteAt: (prefix: string) => Instant;
	/** Records another successful call to the store, such as the renewal of a lease, and the era in which it was answered. */
	recordContact: (sentAt: Instant, era: number) => void;
	/** Returns the latest era of the store that is known; 0 before the first contact. */
	getEra: () => number;
	/** Applies a change that this process wrote to the store itself. */
	applyLocalWrite: (change: StoreChange) => void;
}>;

/** Maximum number of keys whose last change is kept for followers that lag behind. */
const MAX_LOGGED_KEYS = 2000;
/** Age above which data from the store counts as stale, in milliseconds; each relay between adds the longest wait of a follower. A relay whose data is stale is not followed. */
const STALENESS_LIMIT_MS = 1800;
/** Maximum number of relays between a vm that is followed and the store. */
const MAX_RELAY_LEVEL = 2;
/** Minimum time of reading the store, in milliseconds, so that a relay that fails repeatedly is not tried continuously. */
const MIN_READING_MS = 1500;
/** Interval at which a vm that reads the store checks whether it can follow a relay instead, in milliseconds. */
const READING_CHECK_INTERVAL_MS = 500;
/** Maximum number of relays tried before the store is read directly. */
const MAX_RELAY_ATTEMPTS = 3;
/** Time for which entries that a restored store no longer holds are kept, in milliseconds: writers that live write theirs again within about two seconds. */
const RESTORED_GRACE_MS = 2000;
/** Time after which a vm that starts and has no entries from a relay reads them from the store, in milliseconds; a relay that is not busy sends them within tens of milliseconds. */
const FIRST_ENTRIES_TIMEOUT_MS = 300;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;

/** Creates a change feed without entries. */
export const createFeed = (context: FeedContext): Feed => {
	const {runtime, source, followerWaitMs} = context;
	const entryTable = createEntryTable();
	const changed = createNotifier(runtime);
	const changeLog = createChangeLog(MAX_LOGGED_KEYS);
	let contactAt = PAST as number;
	/** When the entries were last confirmed by the store, directly or through relays. */
	let confirmedAt = PAST as number;
	/** Number of relays between this vm and the store. */
	let level = 0;
	let latestEra: number | undefined;
	let followedRun = '';
	let followedNumber = 0;

	/** Instants of the suspension clock at which the entries under each prefix were last known to be complete. */
	const completeAtByPrefix = new Map<string, Instant>();

	const getCompleteAt = (prefix: string): Instant => completeAtByPrefix.get(prefix) ?? PAST as number as Instant;

	const recordComplete = (prefix: string, at: Instant) => {
		if (at > getCompleteAt(prefix)) {
			completeAtByPrefix.set(prefix, at);
		}
	};

	const getAgeMs = () => runtime.now() - contactAt;

	/** Tells whether the entries under every prefix have been read. Followers drop what a whole table lacks, so this vm must not be followed before. */
	const isComplete = (): boolean => context.prefixes.every(({prefix}) => completeAtByPrefix.has(prefix));

	const publish = (changes: readonly StoreChange[], previousEntries: ReadonlyMap<string, StoreEntry | undefined>) => {
		const relevantChanges = changes.filter(change => context.isRelevantChange(change, previousEntries.get(change.key)));
		if (relevantChanges.length === 0) {
			return;
		}

		changeLog.add(relevantChanges);
		context.onChange(relevantChanges);
		changed.notify();
	};

	const applyChanges = (changes: readonly StoreChange[]) => {
		const previousEntries = new Map(changes.map(({key}) => [key, entryTable.get(key)]));
		publish(changes.filter(change => entryTable.apply(change)), previousEntries);
	};

	const listByKey = (prefix: string): ReadonlyMap<string, StoreEntry> => new Map(entryTable.list(prefix).map(entry => [entry.key, entry]));

	const replaceAll = (prefix: string, entries: readonly StoreEntry[], version: StoreVersion) => {
		const previousEntries = listByKey(prefix);
		publish(entryTable.replace(prefix, entries, version), previousEntries);
		if (entryTable.list(prefix).some(({era}) => era < version.era)) {
			runtime.schedule(RESTORED_GRACE_MS, () => {
				const entriesBefore = listByKey(prefix);
				publish(entryTable.removeEarlierEras(prefix, version), entriesBefore);
			});
		}
	};

	const getEra = () => latestEra ?? 0;

	const recordEra = (era: number) => {
		const previousEra = latestEra;
		latestEra = Math.max(getEra(), era);
		if (previousEra !== undefined && era > previousEra) {
			context.onEraChange(era, previousEra);
		}
	};

	const recordContact = (sentAt: Instant, era: number) => {
		contactAt = Math.max(contactAt, sentAt);
		recordEra(era);
	};

	/** Reads all entries under a prefix from the store. */
	const readWhole = async (prefix: string, timeoutMs?: number): ReturnType<FeedSource['readAll']> => {
		const askedAt = context.readSuspensionClock();
		const read = await source.readAll(prefix, timeoutMs);
		if (read.ok) {
			recordEra(read.val.version.era);
			replaceAll(prefix, read.val.entries, read.val.version);
			recordComplete(prefix, askedAt);
		}

		return read;
	};

	/** Replaces the entries under a prefix with those of a vm that has all of them. */
	const replaceByRelay = (prefix: string, changes: readonly StoreChange[]) => {
		const entries = changes.flatMap(({entry}) => entry?.key.startsWith(prefix) ? [entry] : []);
		replaceAll(prefix, entries, entries.toSorted(compareVersions).at(-1) ?? {era: 0, revision: 0});
	};

	/** Reads the entries under a prefix beside their usual source, from other vms if the store turns this one away. The other entries are not confirmed by this, so followers do not take this vm for fresh. */
	const readStale = async (prefix: string, maxAgeMs: number, timeoutMs: number): Promise<void> => {
		const sentAt = runtime.now();
		const read = await readWhole(prefix, timeoutMs);
		if (read.ok) {
			recordContact(sentAt, read.val.version.era);
			return;
		}

		await requestPeerEntries({
			...context,
			prefix,
			maxAgeMs,
			timeoutMs,
			onEntries({changes, era = getEra()}, completeAt) {
				recordEra(era);
				replaceByRelay(prefix, addMissingEras(changes, era));
				recordComplete(prefix, completeAt);
			},
		});
	};

	/** Reads every prefix once if no relay has sent its entries yet; after a restart of the whole fleet, few relays send them to all vms at the same time. */
	const readOnceUnlessComplete = async (): Promise<void> => {
		await runtime.sleep(FIRST_ENTRIES_TIMEOUT_MS);
		if (!isComplete()) {
			await Promise.all(context.prefixes.map(async ({prefix}) => {
				const sentAt = runtime.now();
				recordRead(await readWhole(prefix), sentAt, INITIAL_BACKOFF_MS);
			}));
		}
	};

	const readPrefix = async (prefix: FeedPrefix, signal: AbortSignal): Promise<void> => {
		let version: StoreVersion | undefined;
		let backoffMs = INITIAL_BACKOFF_MS;
		while (!signal.aborted) {
			const sentAt = runtime.now();
			const askedAt = context.readSuspensionClock();
			let isRestored = false;
			if (version === undefined) {
				const read = await readWhole(prefix.prefix);
				version = read.ok ? read.val.version : undefined;
				backoffMs = recordRead(read, sentAt, backoffMs);
			} else {
				const watched = await source.watch(prefix.prefix, version.revision, prefix.waitMs);
				// A watch that was answered in another era counted from a revision of that era, so changes may be missing.
				isRestored = watched.ok && watched.val.version.era !== version.era;
				if (isRestored) {
					version = undefined;
				} else if (watched.ok) {
					version = watched.val.version;
					applyChanges(watched.val.changes);
					recordComplete(prefix.prefix, askedAt);
				} else if (watched.val.code === 'historyLost') {
					version = undefined;
				}

				backoffMs = recordRead(watched, sentAt, backoffMs);
			}

			const pauseMs = isRestored ? 0 : prefix.pauseMs;
			const delayMs = backoffMs > INITIAL_BACKOFF_MS ? backoffMs * (0.5 + runtime.random()) : pauseMs;
			if (delayMs > 0 && !signal.aborted) {
				await runtime.sleep(delayMs, signal).catch(() => undefined);
			}
		}
	};

	/** Records the outcome of a read; returns the next pause after failures. */
	const recordRead = (outcome: Result<Readonly<{version: StoreVersion}>, SourceFailure>, sentAt: Instant, backoffMs: number): number => {
		if (outcome.err && outcome.val.code !== 'historyLost') {
			context.onStoreStatus(false, outcome.val.message);
			return Math.min(MAX_BACKOFF_MS, backoffMs * 2);
		}

		if (outcome.ok) {
			confirmedAt = Math.max(confirmedAt, sentAt);
		}

		recordContact(sentAt, outcome.ok ? outcome.val.version.era : getEra());
		context.onStoreStatus(true, '');
		return INITIAL_BACKOFF_MS;
	};

	/** Reads the store until a relay can be followed instead. */
	const readStore = async (signal: AbortSignal): Promise<void> => {
		const readerAbort = new AbortController();
		const abort = () => {
			readerAbort.abort();
		};

		signal.addEventListener('abort', abort, {once: true});
		level = 0;
		context.onSourceChange('store', '');
		const readerTasks = context.prefixes.map(async prefix => readPrefix(prefix, readerAbort.signal));
		await runtime.sleep(MIN_READING_MS, signal).catch(() => undefined);
		while (!signal.aborted && !await canFollowRelay()) {
			await runtime.sleep(READING_CHECK_INTERVAL_MS, signal).catch(() => undefined);
		}

		readerAbort.abort();
		signal.removeEventListener('abort', abort);
		// Watches in progress end by themselves when their wait has ended.
		void Promise.all(readerTasks);
	};

	/** Requests changes from a relay and applies them; resolves to why it cannot be followed, or `undefined` if it responds with fresh data. */
	const pollRelay = async (relay: string, waitMs: number): Promise<Readonly<{rejection: RelayRejection; ageMs: number}> | undefined> => {
		const sentAt = runtime.now();
		const askedAt = context.readSuspensionClock();
		const response = await context.callRelay(relay, {run: followedRun, after: followedNumber, waitMs});
		if (response.err) {
			return {rejection: 'noResponse', ageMs: Number.MAX_SAFE_INTEGER};
		}

		const {
			run, number, isWhole, ageMs, era, heldMs = 0, prefixAgesMs = {}, level: relayLevel = 0,
		} = response.val;
		if (relayLevel > MAX_RELAY_LEVEL) {
			return {rejection: 'tooFar', ageMs};
		}

		if (ageMs > STALENESS_LIMIT_MS + (relayLevel * followerWaitMs)) {
			return {rejection: 'stale', ageMs};
		}

		recordEra(era ?? getEra());
		const changes = addMissingEras(response.val.changes, getEra());
		followedRun = run;
		followedNumber = number;
		level = relayLevel + 1;
		confirmedAt = Math.max(confirmedAt, sentAt + heldMs - ageMs);
		contactAt = Math.max(contactAt, confirmedAt);
		if (isWhole) {
			for (const {prefix} of context.prefixes) {
				replaceByRelay(prefix, changes);
			}
		} else {
			applyChanges(changes);
		}

		for (const [prefix, prefixAgeMs] of Object.entries(prefixAgesMs)) {
			recordComplete(prefix, (askedAt + heldMs - prefixAgeMs) as Instant);
		}

		return undefined;
	};

	/** Tells whether the best relay has fresh data, so that this vm need not read the store any longer. */
	const canFollowRelay = async (): Promise<boolean> => {
		const [relay] = context.listRelays();
		const levelBefore = level;
		const isFresh = relay !== undefined && await pollRelay(relay, 0) === undefined;
		// Until the reading of the store has ended, this vm is still next to it.
		level = levelBefore;
		return isFresh;
	};

	/** Follows a relay until it fails or must not be followed any longer; returns `false` if it never responded with fresh data. */
	const followRelay = async (relay: string, signal: AbortSignal): Promise<boolean> => {
		let hasResponded = false;
		while (!signal.aborted && context.listRelays().includes(relay)) {
			const mayWait = hasResponded || !Number.isFinite(confirmedAt);
			const sentAt = runtime.now();
			const rejected = await pollRelay(relay, mayWait ? followerWaitMs : 0);
			if (rejected) {
				context.onRelayRejected(relay, rejected.rejection, runtime.now() - sentAt, rejected.ageMs);
				return hasResponded;
			}

			if (!hasResponded) {
				context.onSourceChange('relay', relay);
			}

			hasResponded = true;
		}

		return hasResponded;
	};

	/** Reads which relays there are, so that a vm that starts need not read all entries from the store. */
	const findRelays = async (): Promise<void> => {
		await context.waitUntilListed();
		const sentAt = runtime.now();
		const read = await source.readAll(context.relayPrefix);
		if (read.ok) {
			recordContact(sentAt, read.val.version.era);
			replaceAll(context.relayPrefix, read.val.entries, read.val.version);
		}
	};

	const serve = createRelayService({
		...context,
		entryTable,
		changeLog,
		changed,
		isComplete,
		getCompleteAt,
		listCompleteAt: () => [...completeAtByPrefix],
		getConfirmedAt: () => confirmedAt,
		getLevel: () => level,
		getEra,
	});

	return {
		async run(signal) {
			await findRelays();
			void readOnceUnlessComplete();
			for (const {prefix, getMaxAgeMs} of context.prefixes) {
				if (getMaxAgeMs) {
					void runFreshnessTask({
						...context, getMaxAgeMs, getCompleteAt: () => getCompleteAt(prefix), readEntries: async timeoutMs => readStale(prefix, getMaxAgeMs(), timeoutMs),
					}, signal);
				}
			}

			while (!signal.aborted) {
				let hasFollowedRelay = false;
				for (const relay of context.listRelays().slice(0, MAX_RELAY_ATTEMPTS)) {
					hasFollowedRelay = await followRelay(relay, signal);
					if (hasFollowedRelay || signal.aborted) {
						break;
					}
				}

				if (!hasFollowedRelay && !signal.aborted) {
					await readStore(signal);
				}
			}
		},
		get: entryTable.get,
		list: entryTable.list,
		serve,
		getAgeMs,
		getCompleteAt,
		recordContact,
		getEra,
		applyLocalWrite(change) {
			applyChanges([change]);
		},
	};
};
