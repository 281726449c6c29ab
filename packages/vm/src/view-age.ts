/** Age of a vm's view of the store, which is never below the true one, also after a suspension. */

import type {Clocks} from '@guavapitch/limits';

/** Age of a view of the store. */
export type ViewAge = Readonly<{
	/** Must be called at short intervals, so that suspensions between them are noticed. */
	sample: () => void;
	/** Returns the age, in milliseconds. */
	getAgeMs: () => number;
}>;

/** Creates the age of a view; `getFeedAgeMs` returns the time since its last confirmation on the clock that stands still during a suspension. */
export const createViewAge = ({now, readSuspensionClock}: Clocks, getFeedAgeMs: () => number): ViewAge => {
	const readOffsetMs = (): number => readSuspensionClock() - now();
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let sampledOffsetMs = readOffsetMs();
	/** Difference of the clocks at the last sample before the confirmation. */
	let confirmedOffsetMs = sampledOffsetMs;

	return {
		sample() {
			const latestConfirmedAt = now() - getFeedAgeMs();
			if (latestConfirmedAt > confirmedAt) {
				confirmedAt = latestConfirmedAt;
				confirmedOffsetMs = sampledOffsetMs;
			}

			sampledOffsetMs = readOffsetMs();
		},
		getAgeMs: () => getFeedAgeMs() + readOffsetMs() - confirmedOffsetMs,
	};
};
