/** Refusal cache: after an owner has refused a customer, the entry refuses that customer itself for a short time, so that a flood does not reach the owner. */

import {
	createDeadline, getRemainingMs, isPast, type CustomerId, type Deadline, type Runtime,
} from '@guavapitch/core';

/** Customers throttled at one entry, separately for each owner; `owner` is a name that identifies it, such as that of its database. */
export type RefusalCache = Readonly<{
	/** Records that an owner refused a customer, with the time after which the customer may try again. */
	recordRefusal: (owner: string, customer: CustomerId, retryAfterMs: number) => void;
	/** Returns the time after which a throttled customer may try again, in milliseconds; `undefined` if the customer is not throttled. */
	getRetryAfterMs: (owner: string, customer: CustomerId) => number | undefined;
}>;

/** Time for which one refusal throttles a customer, in milliseconds per entry of the fleet; all entries together still ask often enough to use every token. */
const THROTTLE_MS_PER_ENTRY = 6;

/** Creates the refusal cache of an entry; `countEntries` returns the size of the fleet. A refusal is forgotten when `getVersion` returns another version of the configuration, whose quota may be higher. */
export const createRefusalCache = (runtime: Pick<Runtime, 'now' | 'random'>, countEntries: () => number, getVersion: () => number | undefined): RefusalCache => {
	const refusals = new Map<string, Readonly<{throttledUntil: Deadline; retryAt: Deadline; version: number | undefined}>>();
	const createKey = (owner: string, customer: CustomerId) => `${owner} ${customer}`;
	return {
		recordRefusal(owner, customer, retryAfterMs) {
			const throttleMs = Math.min(retryAfterMs, THROTTLE_MS_PER_ENTRY * countEntries()) * (0.5 + runtime.random());
			refusals.set(createKey(owner, customer), {
				throttledUntil: createDeadline(runtime.now(), throttleMs), retryAt: createDeadline(runtime.now(), Math.max(throttleMs, retryAfterMs)), version: getVersion(),
			});
		},
		getRetryAfterMs(owner, customer) {
			const refusal = refusals.get(createKey(owner, customer));
			return refusal && refusal.version === getVersion() && !isPast(refusal.throttledUntil, runtime.now()) ? getRemainingMs(refusal.retryAt, runtime.now()) : undefined;
		},
	};
};
