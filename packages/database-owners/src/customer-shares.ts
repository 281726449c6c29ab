/** Shares of a database's customers: virtual times in proportion to the usual load of each. */

import type {CustomerId, Instant} from '@guavapitch/core';

/** Shares of the customers of one database. */
export type CustomerShares = Readonly<{
	/** Returns the share of a customer in the capacity, in (0, 1]. */
	getShare: (customer: CustomerId) => number;
	/** Returns the slot time that a customer has used, divided by its share, in milliseconds. */
	getVirtualMs: (customer: CustomerId) => number;
	/** Returns the virtual time of the database, in milliseconds: that of a customer which uses exactly its share. */
	getSystemMs: () => number;
	/** Records a request that arrives and its expected slot time, in milliseconds. */
	recordArrival: (customer: CustomerId, workMs: number, now: Instant) => void;
	/** Records that a request is not expected to be answered within its objective. */
	recordContention: () => void;
	/** Records that a request of a customer left. */
	recordDeparture: (customer: CustomerId) => void;
	/** Charges slot time to a customer, in milliseconds; negative to correct an earlier charge. */
	charge: (customer: CustomerId, ms: number) => void;
	/** Limits how far customers are ahead of the database's virtual time, in milliseconds of virtual time. */
	capLead: (maxLeadMs: number) => void;
}>;

/** State of a customer. */
type Account = {
	virtualMs: number;
	/** Number of requests that wait or run. */
	requestCount: number;
	share: number;
	/** Slot time asked for in a usual interval, in milliseconds. */
	usualMs: number;
	/** Slot time asked for in the current interval, in milliseconds. */
	askedMs: number;
};

/** Maximum lead that a customer gains by using less than its share, in milliseconds of slot time, so that a small burst goes ahead of a customer that floods the queue. */
const MAX_IDLE_CREDIT_MS = 200;
/** Interval over which the usual load is measured, in milliseconds: longer than one burst of requests. */
const INTERVAL_MS = 1000;
/** Number of intervals after which the usual load has followed a change by two thirds; intervals with contention don't count. */
const USUAL_INTERVALS = 60;
/** Smallest share of a customer, as a fraction of an equal one: a customer without a usual load must not wait behind all others. */
const MIN_EQUAL_SHARE = 0.5;

/** Creates shares without customers. */
export const createCustomerShares = (): CustomerShares => {
	const accounts = new Map<CustomerId, Account>();
	let intervalStartedAt = Number.NEGATIVE_INFINITY;
	let intervalCount = 0;
	let isIntervalContended = false;
	let systemMs = 0;
	/** Sum of the shares of the customers with requests. */
	let activeShare = 0;

	const updateShares = () => {
		let totalMs = 0;
		for (const {usualMs} of accounts.values()) {
			totalMs += usualMs;
		}

		for (const account of accounts.values()) {
			const equalShare = 1 / accounts.size;
			account.share = totalMs === 0 ? equalShare : Math.max(account.usualMs / totalMs, equalShare * MIN_EQUAL_SHARE);
		}

		activeShare = 0;
		for (const {requestCount, share} of accounts.values()) {
			activeShare += requestCount > 0 ? share : 0;
		}
	};

	const getAccount = (customer: CustomerId): Account => {
		const existing = accounts.get(customer);
		if (existing) {
			return existing;
		}

		const created: Account = {
			virtualMs: 0, requestCount: 0, share: 1, usualMs: 0, askedMs: 0,
		};
		accounts.set(customer, created);
		updateShares();
		return created;
	};

	/** Ends the interval if it is over: learns from it unless there was contention, in which customers don't get what they usually ask for. */
	const startInterval = (now: Instant) => {
		if (now - intervalStartedAt < INTERVAL_MS) {
			return;
		}

		if (!isIntervalContended) {
			intervalCount++;
			const weight = Math.max(1 / USUAL_INTERVALS, 1 / intervalCount);
			for (const account of accounts.values()) {
				account.usualMs += (account.askedMs - account.usualMs) * weight;
			}

			updateShares();
		}

		for (const account of accounts.values()) {
			account.askedMs = 0;
		}

		intervalStartedAt = now;
		isIntervalContended = false;
	};

	return {
		getShare: customer => getAccount(customer).share,
		getVirtualMs: customer => getAccount(customer).virtualMs,
		getSystemMs: () => systemMs,
		recordArrival(customer, workMs, now) {
			startInterval(now);
			const account = getAccount(customer);
			account.askedMs += workMs;
			account.virtualMs = Math.max(account.virtualMs, systemMs - (MAX_IDLE_CREDIT_MS / account.share));
			activeShare += account.requestCount === 0 ? account.share : 0;
			account.requestCount++;
		},
		recordContention() {
			isIntervalContended = true;
		},
		recordDeparture(customer) {
			const account = getAccount(customer);
			account.requestCount--;
			activeShare -= account.requestCount === 0 ? account.share : 0;
		},
		charge(customer, ms) {
			const account = getAccount(customer);
			account.virtualMs += ms / account.share;
			systemMs += ms / Math.max(activeShare, account.share);
		},
		capLead(maxLeadMs) {
			const limitMs = systemMs + maxLeadMs;
			for (const account of accounts.values()) {
				account.virtualMs = Math.min(account.virtualMs, limitMs);
			}
		},
	};
};
