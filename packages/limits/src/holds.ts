/** Refusals at an entry for a customer that its home has just refused, so that a flood does not reach the home. */

import {
	createDeadline, getRemainingMs, isPast, PAST, type CustomerId, type Deadline, type World,
} from '@guavapitch/core';

/** Customers that are held back at one entry. */
export type Holds = Readonly<{
	/** Takes note that a home refused a customer, with the time after which it may come back. */
	note: (home: string, customer: CustomerId, retryAfterMs: number) => void;
	/** Gets how long a customer is still held back, in milliseconds. */
	getRemainingMs: (home: string, customer: CustomerId) => number;
}>;

/** Time for which one refusal holds a customer back for each entry of the fleet, in milliseconds: all of them together still ask often enough to use every token. */
const HOLD_MS_PER_ENTRY = 6;

/** Creates the holds of an entry; `countEntries` gives the size of the fleet. */
export const createHolds = (world: Pick<World, 'now' | 'random'>, countEntries: () => number): Holds => {
	const until = new Map<string, Deadline>();
	const createKey = (home: string, customer: CustomerId) => `${home} ${customer}`;
	return {
		note(home, customer, retryAfterMs) {
			const holdMs = Math.min(retryAfterMs, HOLD_MS_PER_ENTRY * countEntries()) * (0.5 + world.random());
			until.set(createKey(home, customer), createDeadline(world.now(), holdMs));
		},
		getRemainingMs(home, customer) {
			const deadline = until.get(createKey(home, customer)) ?? PAST;
			return isPast(deadline, world.now()) ? 0 : getRemainingMs(deadline, world.now());
		},
	};
};
