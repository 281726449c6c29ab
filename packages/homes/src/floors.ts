/** Verified positions of a database's log, and the floors of reads that follow from them. */

import {createDeadline, type Instant} from '@guavapitch/core';
import {chooseLater, comparePositions, type Position} from '@guavapitch/sessions';

/** Verified positions of one database, as one home knows them. */
export type Floors = Readonly<{
	/** Takes note of a position that a target gave to a question sent at an instant, while it proved that it leads. */
	note: (askedAt: Instant, position: Position) => void;
	/** Gets the lowest position that holds every commit acknowledged longer ago than an age; `undefined` if none is young enough. */
	getFloor: (maxStalenessMs: number, now: Instant) => Position | undefined;
	/** Translates the floor of a session into the newest term: commits of older terms may have been taken back. */
	translate: (floor: Position | undefined) => Position | undefined;
	getLatest: () => Position | undefined;
	/** Forgets every position but the term's first. */
	clear: () => void;
}>;

/** Time for which positions are kept, in milliseconds; longer than any staleness that is worth tolerating at a floor. */
const KEPT_MS = 10_000;

/** Positions closer together than this replace each other, in milliseconds; bounds the list. */
const SPACING_MS = 10;

type Verified = Readonly<{askedAt: Instant; position: Position}>;

/** Creates an empty history. Instants are those of the suspension clock. */
export const createFloors = (): Floors => {
	let history: Verified[] = [];
	let termStart: Position | undefined;
	let latest: Position | undefined;

	return {
		note(askedAt, position) {
			if (termStart && position.term < termStart.term) {
				return;
			}

			if (!termStart || position.term > termStart.term) {
				history = [];
				termStart = position;
				latest = position;
			}

			latest = chooseLater(latest, position);
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
		getFloor(maxStalenessMs, now) {
			const oldest = now - maxStalenessMs;
			return history.find(verified => verified.askedAt >= oldest)?.position;
		},
		translate(floor) {
			return floor && termStart && floor.term < termStart.term ? termStart : floor;
		},
		getLatest: () => latest,
		clear() {
			history = [];
		},
	};
};

/** Tells whether a log that holds one position holds another. */
export const isReached = (held: Position, wanted: Position): boolean => comparePositions(held, wanted) >= 0;
