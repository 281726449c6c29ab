/** The keeper of customers' shares: the only process that gives tokens of a customer away. */

import {
	isPast, type CustomerId, type Deadline, type World,
} from '@guavapitch/core';
import {
	createBucket, fillBucket, getNextTokenWaitMs, takeTokens, type Bucket, type Quota,
} from './bucket.js';

/** What an entry asks a keeper. */
export type TokenRequest = Readonly<{
	customer: CustomerId;
	/** Tokens wanted. */
	wanted: number;
	/** Tokens of the last allotment of the same epoch that were not spent. */
	returned: number;
	/** Epoch of the keeper that gave the returned tokens. */
	epoch: number;
}>;

/** What a keeper answers. */
export type TokenGrant = Readonly<{
	epoch: number;
	tokens: number;
	/** Validity of the tokens from the moment the entry asked, in milliseconds. */
	validMs: number;
	/** Time until more can be had, in milliseconds. */
	retryAfterMs: number;
}>;

/** Keeper of the customers of one slot. */
export type QuotaAllocator = Readonly<{
	/** Gives tokens; `undefined` if the authority has passed or the customer is unknown. */
	grantTokens: (request: TokenRequest) => TokenGrant | undefined;
}>;

/** What a keeper needs. */
export type QuotaAllocatorContext = Readonly<{
	world: World;
	epoch: number;
	/** Gets the deadline of the keeper's authority. */
	getAuthorityDeadline: () => Deadline;
	getQuota: (customer: CustomerId) => Quota | undefined;
}>;

/** Time within which tokens must be spent, in milliseconds. */
export const MAX_TOKEN_VALIDITY_MS = 200;

/** Part of a burst that may be set aside for tokens still unspent. */
const RESERVED_PART = 0.5;

/**
 * Computes the share that may be given away, so that what is spent never exceeds rate × t + burst:
 * tokens given at the end of one window may be spent in the next, so their number is set aside from the burst.
 */
export const computeGrantableQuota = (share: Quota): Readonly<{share: Quota; spendMs: number}> => {
	const spendMs = Math.min(MAX_TOKEN_VALIDITY_MS, share.burst * RESERVED_PART * 1000 / share.rate);
	return {share: {rate: share.rate, burst: Math.max(1, share.burst - (share.rate * spendMs / 1000))}, spendMs};
};

/** Creates a keeper that starts empty. */
export const createQuotaAllocator = (context: QuotaAllocatorContext): QuotaAllocator => {
	const {world, epoch} = context;
	const startedAt = world.now();
	const buckets = new Map<CustomerId, Bucket>();

	return {
		grantTokens(request) {
			const whole = context.getQuota(request.customer);
			const now = world.now();
			const authority = context.getAuthorityDeadline();
			if (!whole || isPast(authority, now)) {
				return undefined;
			}

			const {share, spendMs} = computeGrantableQuota(whole);
			const filled = fillBucket(buckets.get(request.customer) ?? createBucket(startedAt), share, now);
			const returned = request.epoch === epoch ? request.returned : 0;
			const credited: Bucket = {...filled, tokens: Math.min(share.burst, filled.tokens + returned)};
			const validMs = Math.min(spendMs, authority - now);
			const [after, tokens] = takeTokens(credited, request.wanted);
			buckets.set(request.customer, after);
			return {
				epoch, tokens, validMs, retryAfterMs: tokens >= request.wanted ? 0 : getNextTokenWaitMs(after, share),
			};
		},
	};
};
