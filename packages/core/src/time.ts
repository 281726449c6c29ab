/** Points on the monotonic clock of one process. */

import type {Brand} from './brand.js';

/** A point on the monotonic clock, in milliseconds. */
export type Instant = Brand<number, 'Instant'>;

/** A point on the monotonic clock from which something is no longer valid, in milliseconds. */
export type Deadline = Brand<number, 'Deadline'>;

/** A deadline that never passes. */
export const NEVER = Number.POSITIVE_INFINITY as Deadline;

/** A deadline that has already passed at every instant. */
export const PAST = Number.NEGATIVE_INFINITY as Deadline;

/** Creates the deadline `ms` milliseconds after an instant. */
export const createDeadline = (from: Instant, ms: number): Deadline => (from + ms) as Deadline;

/** Tells whether a deadline has passed. */
export const isPast = (deadline: Deadline, now: Instant): boolean => now >= deadline;

/** Returns the milliseconds left before a deadline, never negative. */
export const getRemainingMs = (deadline: Deadline, now: Instant): number => Math.max(0, deadline - now);

/** Returns the earliest of several deadlines; `NEVER` if there is none. */
export const chooseEarliest = (deadlines: readonly Deadline[]): Deadline => {
	let earliest = NEVER;
	for (const deadline of deadlines) {
		if (deadline < earliest) {
			earliest = deadline;
		}
	}

	return earliest;
};
