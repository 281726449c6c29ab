/** A clock that keeps counting while the process is suspended, for state that must not stay valid through a suspension. */

import type {Instant} from './time.js';
import type {Runtime} from './runtime.js';

/** Difference between the two clocks above which a change counts as a jump, in milliseconds; larger than the granularity of the wall clock and its usual slew. */
const MIN_JUMP_MS = 20;

/** Time added for a backward jump of the wall clock, in milliseconds: the jump may hide a suspension, so no authority may stay valid after it. */
const BACKWARD_JUMP_PENALTY_MS = 10_000;

/**
 * Creates a clock that adds jumps of the wall clock to the monotonic clock.
 * The monotonic clock stops while a vm is suspended; the wall clock does not, but it may also be set.
 * A step of the wall clock is therefore treated as a suspension, which only makes authority expire sooner.
 */
export const createSuspensionClock = (runtime: Pick<Runtime, 'now' | 'readWallClock'>): (() => Instant) => {
	let offsetMs = runtime.readWallClock() - runtime.now();
	let suspendedMs = 0;
	return () => {
		const now = runtime.now();
		const jumpMs = runtime.readWallClock() - now - offsetMs;
		if (Math.abs(jumpMs) > MIN_JUMP_MS) {
			offsetMs += jumpMs;
			suspendedMs += jumpMs > 0 ? jumpMs : BACKWARD_JUMP_PENALTY_MS;
		}

		return (now + suspendedMs) as Instant;
	};
};
