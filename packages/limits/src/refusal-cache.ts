/** Refusals at an entry for a customer that its home has just refused, so that a flood does not reach the home. */

import {
	createDeadline, getRemainingMs, isPast, type CustomerId, type Deadline, type World,
} from '@guavapitch/core';

/** Customers that are held back at one entry. */
export type RefusalCache = Readonly<{
	/** Takes note that a home refused a customer, with the time after which it may come back. */
	recordRefusal: (home: string, customer: CustomerId, retryAfterMs: number) => void;
	/** Gets the time after which a customer that is held back may come again, in milliseconds; `undefined` if it is not held back. */
	getRetryAfterMs: (home: string, customer: CustomerId) => number | undefined;
}>;

/** Time for which one refusal holds a customer back for each entry of the fleet, in milliseconds: all of them together still ask often enough to use every token. */
const HOLD_MS_PER_ENTRY = 6;

/** Creates the holds of an entry; `countEntries` gives the size of the fleet. */
export const createRefusalCache = (world: Pick<World, 'now' | 'random'>, countEntries: () => number): RefusalCache => {
	const held = new Map<string, Readonly<{until: Deadline; returnAt: Deadline}>>();
	const createKey = (home: string, customer: CustomerId) => `${home} ${customer}`;
	return {
		recordRefusal(home, customer, retryAfterMs) {
			const holdMs = Math.min(retryAfterMs, HOLD_MS_PER_ENTRY * countEntries()) * (0.5 + world.random());
			held.set(createKey(home, customer), {until: createDeadline(world.now(), holdMs), returnAt: createDeadline(world.now(), Math.max(holdMs, retryAfterMs))});
		},
		getRetryAfterMs(home, customer) {
			const hold = held.get(createKey(home, customer));
			return hold && !isPast(hold.until, world.now()) ? getRemainingMs(hold.returnAt, world.now()) : undefined;
		},
	};
};
