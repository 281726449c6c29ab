/** Verified positions of a database's log, and the floors of reads that follow from them. */

import {createDeadline, type Instant} from '@guavapitch/core';
import {chooseLaterPosition, comparePositions, type LogPosition} from '@guavapitch/sessions';

/** Verified positions of one database, as one home knows them. */
export type PositionHistory = Readonly<{
	/** Takes note of a position that a target gave to a question sent at an instant, while it proved that it leads. */
	record: (askedAt: Instant, position: LogPosition) => void;
	/** Gets the lowest position that holds every commit acknowledged longer ago than an age; `undefined` if none is young enough. */
	getMinimumPosition: (maxStalenessMs: number, now: Instant) => LogPosition | undefined;
	/** Translates the floor of a session into the newest term: commits of older terms may have been taken back. */
	translateToLatestTerm: (floor: LogPosition | undefined) => LogPosition | undefined;
	getLatest: () => LogPosition | undefined;
	/** Forgets every position but the term's first. */
	clear: () => void;
}>;

/** Time for which positions are kept, in milliseconds; longer than any staleness that is worth tolerating at a floor. */
const KEPT_MS = 10_000;

/** Positions closer together than this replace each other, in milliseconds; bounds the list. */
const SPACING_MS = 10;

type Verified = Readonly<{askedAt: Instant; position: LogPosition}>;

/** Creates an empty history. Instants are those of the suspension clock. */
export const createPositionHistory = (): PositionHistory => {
	let history: Verified[] = [];
	let termStart: LogPosition | undefined;
	let latest: LogPosition | undefined;

	return {
		record(askedAt, position) {
			if (termStart && position.term < termStart.term) {
				return;
			}

			if (!termStart || position.term > termStart.term) {
				history = [];
				termStart = position;
				latest = position;
			}

			latest = chooseLaterPosition(latest, position);
			const last = history.at(-1);
			if (last && askedAt - last.askedAt < SPACING_MS) {
				return;
			}

			history.push({askedAt, position});
			const oldest = createDeadline(askedAt, -KEPT_MS);
			const kept = history.findIndex(verified => verified.askedAt >= oldest);
			if (kept > 0) {
				history.splice(0, kept);
			}
		},
		getMinimumPosition(maxStalenessMs, now) {
			const oldest = now - maxStalenessMs;
			return history.find(verified => verified.askedAt >= oldest)?.position;
		},
		translateToLatestTerm(floor) {
			return floor && termStart && floor.term < termStart.term ? termStart : floor;
		},
		getLatest: () => latest,
		clear() {
			history = [];
		},
	};
};

/** Tells whether a log that holds one position holds another. */
export const isReached = (held: LogPosition, wanted: LogPosition): boolean => comparePositions(held, wanted) >= 0;
