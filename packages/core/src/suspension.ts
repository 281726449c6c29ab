/** Time that goes on while the process is suspended, for what must not outlive a suspension. */

import type {Instant} from './time.js';
import type {World} from './world.js';

/** Difference between the two clocks that counts as a jump, in milliseconds; above the granularity of the wall clock and its usual slew. */
const JUMP_MS = 20;

/** Time that a backward jump of the wall clock counts for, in milliseconds: it may hide a suspension, so nothing held may survive it. */
const BACKWARD_JUMP_MS = 10_000;

/**
 * Creates a clock that adds jumps of the wall clock to the steady clock.
 * The steady clock stands still while a vm is suspended; the wall clock does not, but may also be set.
 * A step of the wall clock is thus taken for a suspension, which only lets authority lapse sooner.
 */
export const createSuspensionClock = (world: Pick<World, 'now' | 'readWallClock'>): (() => Instant) => {
	let offsetMs = world.readWallClock() - world.now();
	let suspendedMs = 0;
	return () => {
		const now = world.now();
		const jumpMs = world.readWallClock() - now - offsetMs;
		if (Math.abs(jumpMs) > JUMP_MS) {
			offsetMs += jumpMs;
			suspendedMs += jumpMs > 0 ? jumpMs : BACKWARD_JUMP_MS;
		}

		return (now + suspendedMs) as Instant;
	};
};
