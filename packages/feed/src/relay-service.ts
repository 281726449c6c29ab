/** Serves the entries of a change feed to the vms that follow it, or that ask for some of them. */

import {
	createDeadline, isPast, type Instant, type Notifier,
} from '@guavapitch/core';
import type {ChangeLog} from './change-log.js';
import type {FeedContext} from './context.js';
import {createChange, type EntryTable, type StoreChange} from './entries.js';
import type {FeedRequest, FeedResponse} from './relay-messages.js';

/** State of the feed that is served. */
export type RelayServiceContext = Pick<FeedContext, 'runtime' | 'readSuspensionClock' | 'run' | 'prefixes'> & Readonly<{
	entryTable: EntryTable;
	changeLog: ChangeLog;
	/** Wakes requests that wait for a change. */
	changed: Notifier;
	/** Tells whether the entries under every prefix have been read. */
	isComplete: () => boolean;
	/** Returns an instant of the suspension clock at which the entries under a prefix were certainly complete. */
	getCompleteAt: (prefix: string) => Instant;
	/** Lists these instants for the prefixes that have been read. */
	listCompleteAt: () => ReadonlyArray<readonly [string, Instant]>;
	/** Returns when the store last confirmed the entries, directly or through relays. */
	getConfirmedAt: () => number;
	/** Returns the number of relays between this vm and the store. */
	getLevel: () => number;
	getEra: () => number;
}>;

/** Maximum time that a follower's request waits for a change, in milliseconds. */
export const MAX_FOLLOWER_WAIT_MS = 800;

/** Creates the function that serves the requests of other vms. */
export const createRelayService = (context: RelayServiceContext): ((request: FeedRequest) => Promise<FeedResponse>) => {
	const {
		runtime, readSuspensionClock, entryTable, changeLog, changed, isComplete,
	} = context;

	const listEntriesAsChanges = (prefixes: readonly string[]): readonly StoreChange[] => prefixes.flatMap(prefix => entryTable.list(prefix))
		.map(entry => createChange(entry));

	/** Creates a response to a request that was received at an instant of the monotonic clock. A step of the wall clock, which the suspension clock counts, must not make the hold seem longer: the follower would take the entries for younger than they are. */
	const createResponse = (receivedAt: Instant, isWhole: boolean, changes: readonly StoreChange[]): FeedResponse => {
		const respondedAt = readSuspensionClock();
		return {
			run: context.run,
			number: changeLog.getLastNumber(),
			era: context.getEra(),
			isWhole,
			changes,
			ageMs: isComplete() ? Math.max(0, runtime.now() - context.getConfirmedAt()) : Number.MAX_SAFE_INTEGER,
			level: context.getLevel(),
			heldMs: runtime.now() - receivedAt,
			prefixAgesMs: Object.fromEntries(context.listCompleteAt().map(([prefix, completeAt]) => [prefix, respondedAt - completeAt])),
		};
	};

	/** Responds with the entries under one prefix if they are fresh enough, otherwise only with their age. */
	const serveOnly = ({prefix, maxAgeMs}: NonNullable<FeedRequest['only']>): FeedResponse => {
		const isFresh = readSuspensionClock() - context.getCompleteAt(prefix) <= maxAgeMs;
		return createResponse(runtime.now(), isFresh, isFresh ? listEntriesAsChanges([prefix]) : []);
	};

	return async request => {
		if (request.only) {
			return serveOnly(request.only);
		}

		const receivedAt = runtime.now();
		const waitDeadline = createDeadline(receivedAt, Math.min(request.waitMs, MAX_FOLLOWER_WAIT_MS));
		const isInLog = () => request.run === context.run && changeLog.isCompleteAfter(request.after);
		const wasInLog = isInLog();
		const mustWait = () => wasInLog ? request.after >= changeLog.getLastNumber() : !isComplete();
		while (mustWait() && !isPast(waitDeadline, runtime.now())) {
			await changed.waitForChange(waitDeadline);
		}

		const isStillInLog = isInLog();
		return createResponse(receivedAt, !isStillInLog, isStillInLog ? changeLog.listAfter(request.after) : listEntriesAsChanges(context.prefixes.map(({prefix}) => prefix)));
	};
};
