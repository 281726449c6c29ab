/** Quota client of an entry: requests tokens from the quota allocator ahead of need and uses them before they expire. */

import {
	createDeadline, createNotifier, Err, getRemainingMs, isPast, Ok, PAST,
	type Notifier, type CustomerId, type Deadline, type Failure, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import {
	createBucket, fillBucket, getNextTokenWaitMs, MAX_TOKEN_WAIT_MS, takeTokens, type Bucket, type Quota,
} from './bucket.js';
import {MAX_TOKEN_VALIDITY_MS, type TokenGrant, type TokenRequest} from './quota-allocator.js';

/** Refusal of a request beyond the quota (`limitExceeded`), of a caller that has disconnected (`aborted`, with a `retryAfterMs` of 0), or because no allocator responds (`unallocated`); the request has not run. */
export type QuotaRefusal = Failure<'limitExceeded' | 'aborted' | 'unallocated'> & Readonly<{retryAfterMs: number}>;

/** Tokens acquired from the allocator and from this process's share. */
export type AcquiredCounts = Readonly<{granted: number; shared: number}>;

/** Acquires tokens for the requests of all customers at one entry. */
export type QuotaClient = Readonly<{
	/** Acquires a token, waiting a short time for one if necessary, and longer while no allocator responds. */
	acquire: (customer: CustomerId, deadline: Deadline, signal?: AbortSignal) => Promise<Result<undefined, QuotaRefusal>>;
	/** Acquires a token like `acquire`, but fails as `unallocated` instead of waiting while no allocator responds and this process's share has no token. */
	acquireOrDecline: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, QuotaRefusal>>;
	/** Returns the number of tokens acquired so far, by customer: those that the allocator granted, and those of this process's share. */
	getAcquiredCounts: () => ReadonlyMap<CustomerId, AcquiredCounts>;
}>;

/** Requests tokens from the quota allocator of a customer; fails if there is no allocator or it does not respond, with the code `notSent` if no message was sent. */
export type RequestTokens = (request: TokenRequest) => Promise<Result<TokenGrant, Failure>>;

/** A request that waits for a token. */
type Waiter = {
	readonly deadline: Deadline;
	/** When the request is refused while the allocator responds. */
	waitDeadline: Deadline;
	/** When the request is refused while no allocator responds. */
	readonly allocatorWaitDeadline: Deadline;
	/** Whether the request is refused as `unallocated` instead of waiting while no allocator responds, except during a token request. */
	readonly isDeclining: boolean;
	readonly settle: (result: Result<undefined, QuotaRefusal>) => void;
};

/** How a request acquires its token. */
type Acquisition = Readonly<{deadline: Deadline; isDeclining: boolean; signal: AbortSignal | undefined}>;

/** Tokens of one customer and the requests that wait for them. */
type CustomerTokens = {
	tokens: number;
	/** Until when the tokens may be used, on the suspension clock. */
	deadline: Deadline;
	/** Epoch of the allocator that granted the tokens. */
	epoch: number;
	/** Requests that wait for a token, in order of arrival. */
	readonly waiters: Waiter[];
	/** Wakes the task that requests tokens for the customer. */
	readonly changed: Notifier;
	/** Whether the task that requests tokens for the customer is running. */
	isRefilling: boolean;
	grantedCount: number;
	sharedCount: number;
	/** Tokens granted per millisecond, as a moving average. */
	grantedPerMs: number;
	/** When the last grant arrived. */
	grantedAt: number;
	/** Whether the last grant had fewer tokens than wanted. */
	isShort: boolean;
	/** Requests per millisecond, as a moving average. */
	demandPerMs: number;
	lastRequestAt: number;
	/** When the next token request may be sent. */
	retryAt: Deadline;
	/** When the allocator expects to have another token under the quota of the last grant. */
	nextTokenAt: Deadline;
	/** Whether the allocator responded to the last token request; a customer is not refused because its allocator is changing. */
	isAllocatorResponding: boolean;
	/** Whether the allocator has just started and may not grant the whole quota yet. */
	isAllocatorStarting: boolean;
	/** Until when requests wait longer, while the backlog from a time without an allocator is worked off. */
	extendedWaitUntil: Deadline;
	/** Number of token requests that failed since the last response. */
	failureCount: number;
	/** Bucket of this process's share, used while no allocator responds. */
	shareBucket: Bucket;
};

/** Part of a customer's quota that this process may use by itself, and since when; before, others may have used it. */
export type UsableShare = Readonly<{quota: Quota; since: Instant}>;

/** Returns the share that this process may use while no allocator responds; `undefined` for none. */
export type GetShare = (customer: CustomerId) => UsableShare | undefined;

const MS_PER_SECOND = 1000;
/** Maximum time that a request waits for a token while the allocator responds, in milliseconds. */
const MAX_WAIT_MS = 300;
/** Maximum time that a request waits while the backlog from a time without an allocator is worked off, in milliseconds. */
const EXTENDED_MAX_WAIT_MS = 2500;
/** How long the extended wait applies after the allocator responds again, in milliseconds. */
const EXTENDED_WAIT_PERIOD_MS = 5000;
/** Maximum time that a request waits while no allocator responds, in milliseconds. */
const MAX_ALLOCATOR_WAIT_MS = 4000;
/** Base and upper bound of the exponential backoff after failed token requests, in milliseconds. */
const BASE_RETRY_MS = 20;
const MAX_RETRY_MS = 300;
/** Window of the moving average of the demand, in milliseconds. */
const DEMAND_WINDOW_MS = 500;
/** Maximum number of tokens wanted in one token request. */
const MAX_WANTED_TOKENS = 1000;
/** Pause before the next token request after a grant of fewer tokens than wanted, in milliseconds, so that one request fetches several tokens. */
const SHORTAGE_PAUSE_MS = 50;
/** Window of the moving average of granted tokens, in milliseconds. */
const GRANT_WINDOW_MS = 1000;
/** Number of requests of a customer that may wait, however low its rate. */
const MIN_WAITERS = 4;
/** Upper bound of the retry time that a backlog gives a refusal, in milliseconds. */
const MAX_RETRY_AFTER_MS = 2000;
/** Maximum pause between token requests after a shortage, in milliseconds: a quota that operators raise is used after at most this time, however low it was. */
const MAX_SHORTAGE_PAUSE_MS = 500;

/** Time for which a share has been used after which no allocator is expected to respond soon, in milliseconds. */
const SHARE_SETTLED_MS = 2000;

/** Creates the quota client of a process, which by default has no shares. Granted tokens expire by `readSuspensionClock`, so that they do not outlive a suspension. */
export const createQuotaClient = (requestTokens: RequestTokens, runtime: Runtime, getShare: GetShare = () => undefined, readSuspensionClock: () => Instant = runtime.now): QuotaClient => {
	const statesByCustomer = new Map<CustomerId, CustomerTokens>();

	const recordDemand = (state: CustomerTokens) => {
		const now = runtime.now();
		const elapsedMs = Math.max(0.1, now - state.lastRequestAt);
		const decay = Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
		state.demandPerMs = (state.demandPerMs * decay) + ((1 - decay) / elapsedMs);
		state.lastRequestAt = now;
	};

	/** Sends one token request to the allocator and records its grant, or the pause before the next attempt. */
	const refill = async (customer: CustomerId, state: CustomerTokens) => {
		const requestedAt = readSuspensionClock();
		const areTokensValid = !isPast(state.deadline, requestedAt);
		const returned = areTokensValid ? state.tokens : 0;
		const expectedDemand = Math.floor(state.demandPerMs * MAX_TOKEN_VALIDITY_MS / 2);
		const wanted = Math.min(MAX_WANTED_TOKENS, Math.max(state.waiters.length, expectedDemand, 1));
		state.tokens = 0;
		const response = await requestTokens({
			customer, wanted, returned, epoch: state.epoch,
		});
		state.isAllocatorStarting = response.ok && response.val.isStarting === true;
		if (response.ok && (!state.isAllocatorResponding || state.isAllocatorStarting)) {
			state.extendedWaitUntil = createDeadline(runtime.now(), EXTENDED_WAIT_PERIOD_MS);
		}

		state.isAllocatorResponding = response.ok;
		state.failureCount = response.ok ? 0 : state.failureCount + 1;
		if (response.ok) {
			const {tokens, validMs, retryAfterMs, epoch} = response.val;
			const elapsedMs = Math.max(1, runtime.now() - state.grantedAt);
			const decay = Math.exp(-elapsedMs / GRANT_WINDOW_MS);
			state.grantedPerMs = (state.grantedPerMs * decay) + ((1 - decay) * Math.max(0, tokens - returned) / elapsedMs);
			state.grantedAt = runtime.now();
			state.isShort = tokens < wanted;
			state.tokens = tokens;
			state.epoch = epoch;
			state.deadline = createDeadline(requestedAt, validMs);
			const nextTokenMs = state.isShort ? Math.min(MAX_TOKEN_WAIT_MS, Math.max(SHORTAGE_PAUSE_MS, retryAfterMs)) : 0;
			state.nextTokenAt = createDeadline(runtime.now(), nextTokenMs);
			state.retryAt = createDeadline(runtime.now(), Math.min(MAX_SHORTAGE_PAUSE_MS, nextTokenMs));
		} else {
			const maxPauseMs = response.val.code === 'notSent' ? BASE_RETRY_MS : Math.min(MAX_RETRY_MS, BASE_RETRY_MS * (2 ** state.failureCount));
			state.retryAt = createDeadline(runtime.now(), maxPauseMs * (0.5 + (runtime.random() / 2)));
		}
	};

	const getState = (customer: CustomerId): CustomerTokens => {
		const existing = statesByCustomer.get(customer);
		if (existing) {
			return existing;
		}

		const now = runtime.now();
		const state: CustomerTokens = {
			tokens: 0, deadline: PAST, epoch: 0, waiters: [], changed: createNotifier(runtime), isRefilling: false, grantedCount: 0, sharedCount: 0, demandPerMs: 0, lastRequestAt: now,
			retryAt: PAST, nextTokenAt: PAST, extendedWaitUntil: PAST, isAllocatorResponding: true, isAllocatorStarting: false, failureCount: 0,
			grantedPerMs: 0, grantedAt: now, isShort: false, shareBucket: createBucket(now),
		};
		statesByCustomer.set(customer, state);
		return state;
	};

	const takeToken = (state: CustomerTokens): boolean => {
		if (state.tokens < 1 || isPast(state.deadline, readSuspensionClock())) {
			return false;
		}

		state.tokens--;
		state.grantedCount++;
		return true;
	};

	const getUsableShare = (customer: CustomerId, state: CustomerTokens): UsableShare | undefined => state.isAllocatorResponding ? undefined : getShare(customer);

	/** Fills the bucket of this process's share, which starts empty each time that the share becomes usable. */
	const fillShareBucket = ({shareBucket}: CustomerTokens, {quota, since}: UsableShare): Bucket =>
		fillBucket(shareBucket.filledAt < since ? createBucket(since) : shareBucket, quota, runtime.now());

	/** Takes a token of this process's share if no allocator responds. */
	const takeSharedToken = (customer: CustomerId, state: CustomerTokens): boolean => {
		const share = getUsableShare(customer, state);
		if (!share) {
			return false;
		}

		const [remainingBucket, takenCount] = takeTokens(fillShareBucket(state, share), 1);
		state.shareBucket = remainingBucket;
		state.sharedCount += takenCount;
		return takenCount === 1;
	};

	/** Computes when a request that starts to wait now is refused. */
	const computeWaitDeadline = (state: CustomerTokens, deadline: Deadline): Deadline => {
		const now = runtime.now();
		const waitMs = isPast(state.extendedWaitUntil, now) ? MAX_WAIT_MS : EXTENDED_MAX_WAIT_MS;
		return Math.min(deadline, createDeadline(now, waitMs)) as Deadline;
	};

	/** Computes the time after which a caller refused now may try again: when all waiting requests should have their tokens, and there is another one. */
	const computeRetryAfterMs = (customer: CustomerId, state: CustomerTokens): number => {
		const now = runtime.now();
		const share = getUsableShare(customer, state);
		if (share) {
			const bucket = fillShareBucket(state, share);
			return Math.max(1, Math.ceil(getNextTokenWaitMs({...bucket, tokens: bucket.tokens - state.waiters.length}, share.quota)));
		}

		const msPerToken = state.grantedPerMs > 0 ? 1 / state.grantedPerMs : 0;
		const backlogMs = Math.min(MAX_RETRY_AFTER_MS, getRemainingMs(state.retryAt, now) + (state.waiters.length * msPerToken));
		return Math.max(1, Math.ceil(Math.max(backlogMs, getRemainingMs(state.nextTokenAt, now))));
	};

	const createRefusal = (customer: CustomerId, state: CustomerTokens): Result<undefined, QuotaRefusal> => Err({
		code: 'limitExceeded',
		message: 'The customer has used its rate and burst',
		retryAfterMs: computeRetryAfterMs(customer, state),
	});

	/** Tells whether the waiting requests will take all tokens that can arrive before a new request would be refused. */
	const isBacklogTooLong = (state: CustomerTokens): boolean => state.isAllocatorResponding
		&& state.isShort
		&& isPast(state.extendedWaitUntil, runtime.now())
		&& state.waiters.length > MIN_WAITERS + (state.grantedPerMs * MAX_WAIT_MS);

	/** Tells whether the waiting requests will take all tokens that this process's share gets before a deadline. */
	const isShareTooSmall = (customer: CustomerId, state: CustomerTokens, deadline: Deadline): boolean => {
		const share = getUsableShare(customer, state);
		return share !== undefined && runtime.now() - share.since > SHARE_SETTLED_MS && state.waiters.length > share.quota.rate * getRemainingMs(deadline, runtime.now()) / MS_PER_SECOND;
	};

	const getCurrentWaitDeadline = (state: CustomerTokens, waiter: Waiter): Deadline => state.isAllocatorResponding ? waiter.waitDeadline : waiter.allocatorWaitDeadline;

	/** Gives tokens to the waiting requests in order of arrival, and refuses those that will not get one in time. */
	const serveWaiting = (customer: CustomerId, state: CustomerTokens) => {
		while (state.waiters.length > 0 && (takeToken(state) || takeSharedToken(customer, state))) {
			state.waiters.shift()?.settle(Ok(undefined));
		}

		const now = runtime.now();
		const isExpired = (waiter: Waiter): boolean => {
			const deadline = getCurrentWaitDeadline(state, waiter);
			return isPast(deadline, now) || (state.isAllocatorResponding && Math.max(state.retryAt, state.nextTokenAt) > deadline);
		};

		if (!state.isAllocatorResponding && !isPast(state.retryAt, now)) {
			for (const waiter of state.waiters.filter(({isDeclining}) => isDeclining)) {
				state.waiters.splice(state.waiters.indexOf(waiter), 1);
				waiter.settle(Err({code: 'unallocated', message: 'No quota allocator responds', retryAfterMs: computeRetryAfterMs(customer, state)}));
			}
		}

		for (const waiter of state.waiters.filter(waiter => isExpired(waiter))) {
			state.waiters.splice(state.waiters.indexOf(waiter), 1);
			waiter.settle(createRefusal(customer, state));
		}
	};

	/** Requests tokens until no request waits any more: one task for each customer. */
	const runRefills = async (customer: CustomerId, state: CustomerTokens): Promise<void> => {
		state.isRefilling = true;
		while (state.waiters.length > 0) {
			if (isPast(state.retryAt, runtime.now())) {
				const wasResponding = state.isAllocatorResponding;
				await refill(customer, state);
				if (state.isAllocatorResponding && (!wasResponding || state.isAllocatorStarting)) {
					// A new allocator starts with empty buckets, so the wait for tokens counts from its first response.
					for (const waiter of state.waiters) {
						waiter.waitDeadline = computeWaitDeadline(state, waiter.deadline);
					}
				}
			} else {
				const earliestDeadline = Math.min(...state.waiters.map(waiter => getCurrentWaitDeadline(state, waiter)));
				await state.changed.waitForChange(Math.min(earliestDeadline, state.retryAt) as Deadline);
			}

			serveWaiting(customer, state);
		}

		state.isRefilling = false;
	};

	const waitForToken = async (customer: CustomerId, state: CustomerTokens, {deadline, isDeclining, signal}: Acquisition): Promise<Result<undefined, QuotaRefusal>> => new Promise(settle => {
		const waiter: Waiter = {
			deadline,
			isDeclining,
			waitDeadline: computeWaitDeadline(state, deadline),
			allocatorWaitDeadline: Math.min(deadline, createDeadline(runtime.now(), MAX_ALLOCATOR_WAIT_MS)) as Deadline,
			settle,
		};
		state.waiters.push(waiter);
		signal?.addEventListener('abort', () => {
			const index = state.waiters.indexOf(waiter);
			if (index !== -1) {
				state.waiters.splice(index, 1);
				settle(Err({code: 'aborted', message: 'The caller has disconnected', retryAfterMs: 0}));
			}
		}, {once: true});
		serveWaiting(customer, state);
		if (state.isRefilling) {
			state.changed.notify();
		} else if (state.waiters.length > 0) {
			void runRefills(customer, state);
		}
	});

	const acquireToken = async (customer: CustomerId, acquisition: Acquisition): Promise<Result<undefined, QuotaRefusal>> => {
		const state = getState(customer);
		recordDemand(state);
		if (acquisition.signal?.aborted) {
			return Err({code: 'aborted', message: 'The caller has disconnected', retryAfterMs: 0});
		}

		if (state.waiters.length === 0 && (takeToken(state) || takeSharedToken(customer, state))) {
			return Ok(undefined);
		}

		return isBacklogTooLong(state) || (!acquisition.isDeclining && isShareTooSmall(customer, state, acquisition.deadline))
			? createRefusal(customer, state)
			: waitForToken(customer, state, acquisition);
	};

	return {
		acquire: async (customer, deadline, signal) => acquireToken(customer, {deadline, isDeclining: false, signal}),
		acquireOrDecline: async (customer, deadline) => acquireToken(customer, {deadline, isDeclining: true, signal: undefined}),
		getAcquiredCounts: () => new Map([...statesByCustomer].map(([customer, {grantedCount, sharedCount}]) => [customer, {granted: grantedCount, shared: sharedCount}])),
	};
};
