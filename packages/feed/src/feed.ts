/** Change feed of the store: reads entries from the store itself, or follows a relay that does. */

import {
	createDeadline, createNotifier, isPast, PAST, type Deadline, type Failure, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import {
	compareVersions, createChange, createEntryTable, type FeedSource, type SourceFailure, type StoreChange, type StoreEntry, type StoreVersion,
} from './entries.js';

/** Request of a follower to a relay. */
export type FeedRequest = Readonly<{
	/** Run of the relay that last responded to the follower; empty before the first response. */
	run: string;
	/** Number of the last change that the follower received from that run. */
	after: number;
	/** Time that the relay may wait for a change, in milliseconds. */
	waitMs: number;
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
	/** Time since the relay's last contact with the store, in milliseconds; `Number.MAX_SAFE_INTEGER` before the first contact. */
	ageMs: number;
	/** Time that the relay waited for a change, in milliseconds; absent from relays of earlier versions. */
	heldMs?: number;
	/** Time since the relay's entries under each prefix were complete, in milliseconds; without prefixes that it has not read; absent from relays of earlier versions. */
	prefixAgesMs?: Readonly<Record<string, number>>;
}>;

/** A key prefix that the feed covers. */
export type FeedPrefix = Readonly<{
	prefix: string;
	/** Maximum wait of one watch, in milliseconds; an unresponsive connection is noticed after this time. */
	waitMs: number;
	/** Pause between two watches, in milliseconds; it limits the load of entries that change continuously. */
	pauseMs: number;
}>;

/** Dependencies of a change feed. */
export type FeedContext = Readonly<{
	runtime: Runtime;
	/** Reads a clock that keeps running while the process or its machine is suspended. */
	readSuspensionClock: () => Instant;
	/** Identifier of this run of the process. */
	run: string;
	source: FeedSource;
	prefixes: readonly FeedPrefix[];
	/** Tells whether a change is relevant to followers. */
	isRelevantChange: (change: StoreChange, previous: StoreEntry | undefined) => boolean;
	/** Returns the vms to follow, the best first; none if this vm should read the store itself. */
	listRelays: () => readonly string[];
	/** Sends a request to a relay. */
	callRelay: (relay: string, request: FeedRequest) => Promise<Result<FeedResponse, Failure>>;
	/** Called with changes that are relevant to followers, after they have been applied. */
	onChange: (changes: readonly StoreChange[]) => void;
	/** Called when the feed starts to read the store, or to follow the relay `name`. */
	onSourceChange: (kind: 'store' | 'relay', name: string) => void;
	/** Called when the store is found to have been restored from an older copy since the era before; the entries are then still those of the era before. */
	onEraChange: (era: number, previousEra: number) => void;
	/** Called after each read of the store; `reason` is empty unless the read failed. */
	onStoreStatus: (isReachable: boolean, reason: string) => void;
}>;

/** Change feed of one process. */
export type Feed = Readonly<{
	/** Keeps the entries up to date until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	get: (key: string) => StoreEntry | undefined;
	list: (prefix: string) => readonly StoreEntry[];
	/** Serves the request of a follower; for a while after it, this vm reads the store itself. */
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

/** Maximum number of changes kept for followers that lag behind. */
const MAX_LOG_LENGTH = 2000;
/** Maximum wait of a follower's request, in milliseconds; also the resolution of ages. */
const MAX_FOLLOWER_WAIT_MS = 800;
/** Age above which data counts as stale, in milliseconds. A relay whose data is stale is not followed. */
const STALENESS_LIMIT_MS = 1800;
/** Time for which a vm keeps reading the store after the last request of a follower, in milliseconds. */
const RELAY_TIMEOUT_MS = 5000;
/** Minimum time of reading the store, in milliseconds, so that a relay that fails repeatedly is not tried continuously. */
const MIN_READING_MS = 1500;
/** Interval at which a vm that reads the store checks whether it can follow a relay instead, in milliseconds. */
const READING_CHECK_INTERVAL_MS = 500;
/** Maximum number of relays tried before the store is read directly. */
const MAX_RELAY_ATTEMPTS = 3;
/** Time for which entries that a restored store no longer holds are kept, in milliseconds: writers that live write theirs again within about two seconds. */
const RESTORED_GRACE_MS = 2000;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;

/** Creates a change feed without entries. */
export const createFeed = (context: FeedContext): Feed => {
	const {runtime, source} = context;
	const entryTable = createEntryTable();
	const changed = createNotifier(runtime);
	let changeLog: StoreChange[] = [];
	let firstLoggedNumber = 1;
	let contactAt = PAST as number;
	let storeContactAt = PAST as number;
	let relayUntil: Deadline = PAST;
	let isReadingStore = false;
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

	const publish = (changes: readonly StoreChange[], previousEntries: ReadonlyMap<string, StoreEntry | undefined>) => {
		const relevantChanges = changes.filter(change => context.isRelevantChange(change, previousEntries.get(change.key)));
		if (relevantChanges.length === 0) {
			return;
		}

		changeLog.push(...relevantChanges);
		if (changeLog.length > MAX_LOG_LENGTH) {
			firstLoggedNumber += changeLog.length - MAX_LOG_LENGTH;
			changeLog = changeLog.slice(-MAX_LOG_LENGTH);
		}

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
		storeContactAt = Math.max(storeContactAt, sentAt);
		recordEra(era);
	};

	/** Tells whether this vm should read the store, because there is no relay to follow or because other vms follow this one. */
	const shouldReadStore = (): boolean => context.listRelays().length === 0 || !isPast(relayUntil, runtime.now());

	const readPrefix = async (prefix: FeedPrefix, signal: AbortSignal): Promise<void> => {
		let version: StoreVersion | undefined;
		let backoffMs = INITIAL_BACKOFF_MS;
		while (!signal.aborted) {
			const sentAt = runtime.now();
			const askedAt = context.readSuspensionClock();
			let isRestored = false;
			if (version === undefined) {
				const read = await source.readAll(prefix.prefix);
				if (read.ok) {
					version = read.val.version;
					recordEra(version.era);
					replaceAll(prefix.prefix, read.val.entries, version);
					recordComplete(prefix.prefix, askedAt);
				}

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
		isReadingStore = true;
		context.onSourceChange('store', '');
		const readerTasks = context.prefixes.map(async prefix => readPrefix(prefix, readerAbort.signal));
		await runtime.sleep(MIN_READING_MS, signal).catch(() => undefined);
		while (!signal.aborted && (shouldReadStore() || getAgeMs() > STALENESS_LIMIT_MS)) {
			await runtime.sleep(READING_CHECK_INTERVAL_MS, signal).catch(() => undefined);
		}

		readerAbort.abort();
		isReadingStore = false;
		signal.removeEventListener('abort', abort);
		// Watches in progress end by themselves when their wait has ended.
		void Promise.all(readerTasks);
	};

	/** Adds the present era to changes from a relay of an earlier version, which does not tell eras apart. */
	const completeChanges = (changes: ReadonlyArray<Omit<StoreChange, 'era'> & Readonly<{era?: number}>>): readonly StoreChange[] => changes.map(change => {
		const era = change.era ?? getEra();
		return {...change, era, entry: change.entry && {...change.entry, era}};
	});

	/** Follows a relay until it fails; returns `false` if it never responded with fresh data. */
	const followRelay = async (relay: string, signal: AbortSignal): Promise<boolean> => {
		let hasResponded = false;
		while (!signal.aborted && !shouldReadStore()) {
			const sentAt = runtime.now();
			const askedAt = context.readSuspensionClock();
			const response = await context.callRelay(relay, {run: followedRun, after: followedNumber, waitMs: hasResponded ? MAX_FOLLOWER_WAIT_MS : 0});
			if (response.err || response.val.ageMs > STALENESS_LIMIT_MS) {
				return hasResponded;
			}

			if (!hasResponded) {
				context.onSourceChange('relay', relay);
			}

			hasResponded = true;
			const {
				run, number, isWhole, ageMs, era, heldMs = 0, prefixAgesMs = {},
			} = response.val;
			recordEra(era ?? getEra());
			const changes = completeChanges(response.val.changes);
			followedRun = run;
			followedNumber = number;
			contactAt = Math.max(contactAt, sentAt - ageMs);
			if (isWhole) {
				for (const {prefix} of context.prefixes) {
					const entries = changes.flatMap(({entry}) => entry?.key.startsWith(prefix) ? [entry] : []);
					replaceAll(prefix, entries, entries.toSorted(compareVersions).at(-1) ?? {era: 0, revision: 0});
				}
			} else {
				applyChanges(changes);
			}

			for (const [prefix, prefixAgeMs] of Object.entries(prefixAgesMs)) {
				recordComplete(prefix, (askedAt + heldMs - prefixAgeMs) as Instant);
			}
		}

		return hasResponded;
	};

	const listEntriesAsChanges = (): readonly StoreChange[] => context.prefixes.flatMap(({prefix}) => entryTable.list(prefix))
		.map(entry => createChange(entry));

	return {
		async run(signal) {
			while (!signal.aborted) {
				if (shouldReadStore()) {
					await readStore(signal);
					continue;
				}

				let hasFollowedRelay = false;
				for (const relay of context.listRelays().slice(0, MAX_RELAY_ATTEMPTS)) {
					hasFollowedRelay = await followRelay(relay, signal);
					if (hasFollowedRelay || signal.aborted || shouldReadStore()) {
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
		async serve(request) {
			relayUntil = createDeadline(runtime.now(), RELAY_TIMEOUT_MS);
			const receivedAt = context.readSuspensionClock();
			const waitDeadline = createDeadline(runtime.now(), Math.min(request.waitMs, MAX_FOLLOWER_WAIT_MS));
			const getNextNumber = () => firstLoggedNumber + changeLog.length;
			const isInLog = request.run === context.run && request.after >= firstLoggedNumber - 1;
			if (isInLog) {
				while (request.after + 1 >= getNextNumber() && !isPast(waitDeadline, runtime.now())) {
					await changed.waitForChange(waitDeadline);
				}
			}

			const ageMs = Math.max(0, runtime.now() - (isReadingStore ? storeContactAt : contactAt));
			const respondedAt = context.readSuspensionClock();
			const isStillInLog = isInLog && request.after >= firstLoggedNumber - 1;
			return {
				run: context.run,
				number: getNextNumber() - 1,
				era: getEra(),
				isWhole: !isStillInLog,
				changes: isStillInLog ? changeLog.slice(request.after + 1 - firstLoggedNumber) : listEntriesAsChanges(),
				ageMs: Number.isFinite(ageMs) ? ageMs : Number.MAX_SAFE_INTEGER,
				heldMs: respondedAt - receivedAt,
				prefixAgesMs: Object.fromEntries([...completeAtByPrefix].map(([prefix, completeAt]) => [prefix, respondedAt - completeAt])),
			};
		},
		getAgeMs,
		getCompleteAt,
		recordContact,
		getEra,
		applyLocalWrite(change) {
			applyChanges([change]);
		},
	};
};
