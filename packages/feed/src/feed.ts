/** Feed of the store's entries: from the store itself, or from a relay that reads it. */

import {
	createDeadline, createNotifier, isPast, PAST, type Deadline, type Failure, type Instant, type Result, type World,
} from '@guavapitch/core';
import {
	createEntryTable, type FeedSource, type StoreChange, type StoreEntry,
} from './entries.js';

/** What a follower asks a relay. */
export type FeedRequest = Readonly<{
	/** Run of the relay that the follower last heard, and the number of the last change it has from it. */
	run: string;
	after: number;
	waitMs: number;
}>;

/** What a relay answers. */
export type FeedResponse = Readonly<{
	run: string;
	/** Number of the newest change in the answer. */
	number: number;
	/** Whether `changes` are all entries, instead of what changed. */
	isWhole: boolean;
	changes: readonly StoreChange[];
	/** Age of the relay's last contact with the store, in milliseconds. */
	ageMs: number;
}>;

/** A prefix that the feed covers. */
export type FeedPrefix = Readonly<{
	prefix: string;
	/** Longest wait of one watch, in milliseconds; a silent connection is noticed after it. */
	waitMs: number;
	/** Pause between two watches, in milliseconds, for entries that change all the time. */
	pauseMs: number;
}>;

/** What a feed needs. */
export type FeedContext = Readonly<{
	world: World;
	/** Identifier of this run of the process. */
	run: string;
	source: FeedSource;
	prefixes: readonly FeedPrefix[];
	/** Tells whether a change matters to followers. */
	isRelevantChange: (change: StoreChange, before: StoreEntry | undefined) => boolean;
	/** Ranks the vms to follow, best first; empty if this vm should read the store itself. */
	listRelays: () => readonly string[];
	callRelay: (relay: string, question: FeedRequest) => Promise<Result<FeedResponse, Failure>>;
	onChange: (changes: readonly StoreChange[]) => void;
	onSourceChange: (kind: 'store' | 'relay', name: string) => void;
	onStoreStatus: (isReachable: boolean, reason: string) => void;
}>;

/** Feed of one process. */
export type Feed = Readonly<{
	/** Runs until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	get: (key: string) => StoreEntry | undefined;
	list: (prefix: string) => readonly StoreEntry[];
	/** Answers a follower. */
	serve: (question: FeedRequest) => Promise<FeedResponse>;
	/** Gets the age of what is known, in milliseconds: time since somebody of the chain had contact with the store. */
	getAgeMs: () => number;
	/** Takes note of another successful call to the store, such as the renewal of a lease. */
	recordContact: (askedAt: Instant) => void;
	/** Applies what this process wrote itself. */
	applyLocalWrite: (change: StoreChange) => void;
}>;

/** Changes kept for followers that are behind. */
const LOG_LIMIT = 2000;
/** Longest wait of a follower's question, in milliseconds; also the resolution of ages. */
const FOLLOW_WAIT_MS = 800;
/** Age above which a relay is of no use, in milliseconds. */
const STALE_MS = 1800;
/** Time for which a vm goes on reading the store after it was asked to relay, in milliseconds. */
const RELAY_MS = 5000;
/** Shortest time of reading the store, in milliseconds, so that a relay that fails again and again is not tried all the time. */
const LEAST_READING_MS = 1500;
/** Pause between looks whether a relay can be followed instead, in milliseconds. */
const READING_LOOK_MS = 500;
/** Relays tried before the store itself. */
const RELAYS_TRIED = 3;
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 1000;

/** Creates a feed that knows nothing. */
export const createFeed = (context: FeedContext): Feed => {
	const {world, source} = context;
	const table = createEntryTable();
	const changed = createNotifier(world);
	let log: StoreChange[] = [];
	let firstNumber = 1;
	let contactAt = PAST as number;
	let storeContactAt = PAST as number;
	let relayUntil: Deadline = PAST;
	let reading = false;
	let followedRun = '';
	let followedNumber = 0;

	const getAgeMs = () => world.now() - contactAt;

	const publish = (changes: readonly StoreChange[], before: ReadonlyMap<string, StoreEntry | undefined>) => {
		const news = changes.filter(change => context.isRelevantChange(change, before.get(change.key)));
		if (news.length === 0) {
			return;
		}

		log.push(...news);
		if (log.length > LOG_LIMIT) {
			firstNumber += log.length - LOG_LIMIT;
			log = log.slice(-LOG_LIMIT);
		}

		context.onChange(news);
		changed.notify();
	};

	const applyChanges = (changes: readonly StoreChange[]) => {
		const before = new Map(changes.map(({key}) => [key, table.get(key)]));
		publish(changes.filter(change => table.apply(change)), before);
	};

	const replaceAll = (prefix: string, entries: readonly StoreEntry[], revision: number) => {
		const before = new Map(table.list(prefix).map(entry => [entry.key, entry]));
		publish(table.replace(prefix, entries, revision), before);
	};

	const noteContact = (askedAt: Instant) => {
		contactAt = Math.max(contactAt, askedAt);
		storeContactAt = Math.max(storeContactAt, askedAt);
	};

	/** Whether this vm should read the store: nobody else can be followed, or somebody follows it. */
	const shouldRead = (): boolean => context.listRelays().length === 0 || !isPast(relayUntil, world.now());

	const readPrefix = async (prefix: FeedPrefix, signal: AbortSignal): Promise<void> => {
		let revision: number | undefined;
		let pauseMs = FIRST_PAUSE_MS;
		while (!signal.aborted) {
			const askedAt = world.now();
			if (revision === undefined) {
				const read = await source.readAll(prefix.prefix);
				if (read.ok) {
					revision = read.val.revision;
					replaceAll(prefix.prefix, read.val.entries, revision);
				}

				pauseMs = noteRead(read.ok ? undefined : read.val, askedAt, pauseMs);
			} else {
				const watched = await source.watch(prefix.prefix, revision, prefix.waitMs);
				if (watched.ok) {
					revision = watched.val.revision;
					applyChanges(watched.val.changes);
				} else if (watched.val.code === 'historyLost') {
					revision = undefined;
				}

				pauseMs = noteRead(watched.ok ? undefined : watched.val, askedAt, pauseMs);
			}

			const wait = pauseMs > FIRST_PAUSE_MS ? pauseMs * (0.5 + world.random()) : prefix.pauseMs;
			if (wait > 0 && !signal.aborted) {
				await world.sleep(wait, signal).catch(() => undefined);
			}
		}
	};

	/** Takes note of how a read ended; gives the next pause after failures. */
	const noteRead = (failure: SourceProblem | undefined, askedAt: Instant, pauseMs: number): number => {
		if (failure && failure.code !== 'historyLost') {
			context.onStoreStatus(false, failure.message);
			return Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
		}

		noteContact(askedAt);
		context.onStoreStatus(true, '');
		return FIRST_PAUSE_MS;
	};

	const readStore = async (signal: AbortSignal): Promise<void> => {
		const stop = new AbortController();
		const abort = () => {
			stop.abort();
		};

		signal.addEventListener('abort', abort, {once: true});
		reading = true;
		context.onSourceChange('store', '');
		const readers = context.prefixes.map(async prefix => readPrefix(prefix, stop.signal));
		await world.sleep(LEAST_READING_MS, signal).catch(() => undefined);
		while (!signal.aborted && (shouldRead() || getAgeMs() > STALE_MS)) {
			await world.sleep(READING_LOOK_MS, signal).catch(() => undefined);
		}

		stop.abort();
		reading = false;
		signal.removeEventListener('abort', abort);
		// The watches under way end by themselves within their wait.
		void Promise.all(readers);
	};

	/** Follows a relay until it fails; `false` if it never answered. */
	const followRelay = async (relay: string, signal: AbortSignal): Promise<boolean> => {
		let answered = false;
		while (!signal.aborted && !shouldRead()) {
			const askedAt = world.now();
			const answer = await context.callRelay(relay, {run: followedRun, after: followedNumber, waitMs: answered ? FOLLOW_WAIT_MS : 0});
			if (answer.err || answer.val.ageMs > STALE_MS) {
				return answered;
			}

			if (!answered) {
				context.onSourceChange('relay', relay);
			}

			answered = true;
			const {run, number, isWhole, changes, ageMs} = answer.val;
			followedRun = run;
			followedNumber = number;
			contactAt = Math.max(contactAt, askedAt - ageMs);
			if (isWhole) {
				for (const {prefix} of context.prefixes) {
					const entries = changes.flatMap(({entry}) => entry?.key.startsWith(prefix) ? [entry] : []);
					replaceAll(prefix, entries, Math.max(0, ...entries.map(({revision}) => revision)));
				}
			} else {
				applyChanges(changes);
			}
		}

		return answered;
	};

	const listWhole = (): readonly StoreChange[] => context.prefixes.flatMap(({prefix}) => table.list(prefix))
		.map(entry => ({key: entry.key, revision: entry.revision, entry}));

	return {
		async run(signal) {
			while (!signal.aborted) {
				if (shouldRead()) {
					await readStore(signal);
					continue;
				}

				let followed = false;
				for (const relay of context.listRelays().slice(0, RELAYS_TRIED)) {
					followed = await followRelay(relay, signal);
					if (followed || signal.aborted || shouldRead()) {
						break;
					}
				}

				if (!followed && !signal.aborted) {
					await readStore(signal);
				}
			}
		},
		get: table.get,
		list: table.list,
		async serve(question) {
			relayUntil = createDeadline(world.now(), RELAY_MS);
			const until = createDeadline(world.now(), Math.min(question.waitMs, FOLLOW_WAIT_MS));
			const nextNumber = () => firstNumber + log.length;
			const isKnown = question.run === context.run && question.after >= firstNumber - 1;
			if (isKnown) {
				while (question.after + 1 >= nextNumber() && !isPast(until, world.now())) {
					await changed.waitForChange(until);
				}
			}

			const ageMs = Math.max(0, world.now() - (reading ? storeContactAt : contactAt));
			const stillKnown = isKnown && question.after >= firstNumber - 1;
			return {
				run: context.run,
				number: nextNumber() - 1,
				isWhole: !stillKnown,
				changes: stillKnown ? log.slice(question.after + 1 - firstNumber) : listWhole(),
				ageMs: Number.isFinite(ageMs) ? ageMs : Number.MAX_SAFE_INTEGER,
			};
		},
		getAgeMs,
		recordContact: noteContact,
		applyLocalWrite(change) {
			applyChanges([change]);
		},
	};
};

type SourceProblem = Readonly<{code: string; message: string}>;
