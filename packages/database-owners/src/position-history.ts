/** Verified log positions of a database, and the minimum positions that they imply for reads. */

import {createDeadline, type Instant} from '@guavapitch/core';
import {
	chooseLaterPosition, comparePositions, type LogPosition, type VerifiedPosition,
} from '@guavapitch/sessions';

/** Log positions of one database that its owner has verified with the leader. */
export type PositionHistory = Readonly<{
	/**
	 * Records a position that a proven leader reported in reply to a command, with when the command was sent and when the reply was received.
	 * Returns an earlier position if the new one cannot be that of a leader: it is of an older term, or behind what was verified before the command was sent.
	 */
	record: (sentAt: Instant, position: LogPosition, receivedAt: Instant) => LogPosition | undefined;
	/** Returns the lowest position that includes every commit acknowledged more than `maxStalenessMs` ago; `undefined` if no verified position is recent enough. */
	getMinimumPosition: (maxStalenessMs: number, now: Instant) => LogPosition | undefined;
	/** Replaces a session's minimum position of an older term by the first position of the latest term, as a failover may have dropped commits of the older term. */
	translateToLatestTerm: (minimumPosition: LogPosition | undefined) => LogPosition | undefined;
	/** Returns the position that was verified last, with the time since its command was sent; `undefined` if there is none. */
	getLastVerified: (now: Instant) => VerifiedPosition | undefined;
	/** Returns the highest verified position of the latest term; `undefined` if there is none. */
	getLatest: () => LogPosition | undefined;
	/** Removes all positions except the first of the term and the latest. */
	clear: () => void;
}>;

/** Retention of positions: longer than any staleness that reads are usefully allowed. */
const RETENTION_MS = 10_000;

/** Minimum time between two stored positions; bounds the length of the history. */
const MIN_SPACING_MS = 10;

/** A position, and the latest of all that were recorded until its reply was received. */
type RecordedPosition = Readonly<{sentAt: Instant; position: LogPosition; receivedAt: Instant; latest: LogPosition}>;

/** Creates an empty history. Its instants are those of the clock that keeps running during suspensions. */
export const createPositionHistory = (): PositionHistory => {
	let history: RecordedPosition[] = [];
	let termStart: LogPosition | undefined;
	let latest: LogPosition | undefined;

	return {
		record(sentAt, position, receivedAt) {
			const knownBefore = termStart && position.term < termStart.term ? termStart : history.findLast(recorded => recorded.receivedAt <= sentAt)?.latest;
			if (knownBefore && comparePositions(position, knownBefore) < 0) {
				return knownBefore;
			}

			if (!termStart || position.term > termStart.term) {
				history = [];
				termStart = position;
				latest = position;
			}

			latest = chooseLaterPosition(latest, position) ?? position;
			const lastRecorded = history.at(-1);
			if (lastRecorded && sentAt - lastRecorded.sentAt < MIN_SPACING_MS) {
				return undefined;
			}

			history.push({
				sentAt, position, receivedAt, latest,
			});
			const oldestRetainedAt = createDeadline(sentAt, -RETENTION_MS);
			const firstRetainedIndex = history.findIndex(verified => verified.sentAt >= oldestRetainedAt);
			if (firstRetainedIndex > 0) {
				history.splice(0, firstRetainedIndex);
			}

			return undefined;
		},
		getMinimumPosition(maxStalenessMs, now) {
			const oldestSentAt = now - maxStalenessMs;
			return history.find(verified => verified.sentAt >= oldestSentAt)?.position;
		},
		translateToLatestTerm(minimumPosition) {
			return minimumPosition && termStart && minimumPosition.term < termStart.term ? termStart : minimumPosition;
		},
		getLastVerified(now) {
			const last = history.at(-1);
			return last && {position: last.position, ageMs: now - last.sentAt};
		},
		getLatest: () => latest,
		clear() {
			history = [];
		},
	};
};

/** Tells whether a log that has reached the position `reached` includes the position `required`. */
export const isReached = (reached: LogPosition, required: LogPosition): boolean => comparePositions(reached, required) >= 0;
