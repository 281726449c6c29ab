/** Token bucket of a customer: each request takes one token, and tokens are added at a fixed rate. */

import type {Instant} from '@guavapitch/core';

/** Limit of a customer over the whole fleet: in any time t, at most rate × t + burst requests run. Both are finite and at least 0. */
export type Quota = Readonly<{
	/** Tokens added per second; with 0, only what is left of the burst is granted. */
	rate: number;
	/** Capacity of the bucket, in tokens; with a rate above 0, a smaller one than `MIN_BURST` counts as that. */
	burst: number;
}>;

/** Number of tokens in a bucket, possibly fractional, when it was last filled. */
export type Bucket = Readonly<{tokens: number; filledAt: Instant}>;

/** Smallest burst of a customer with a rate, in tokens: one to hold, and one to reserve for tokens that are granted and not yet used. */
export const MIN_BURST = 2;

/** Longest time until the next token that is reported, in milliseconds; operators may have raised the quota by then. */
export const MAX_TOKEN_WAIT_MS = 5000;

const MS_PER_SECOND = 1000;

/** Tells whether a quota allows no request at all. */
export const isZeroQuota = ({rate, burst}: Quota): boolean => rate === 0 && burst < 1;

/** Creates an empty bucket. */
export const createBucket = (now: Instant): Bucket => ({tokens: 0, filledAt: now});

/** Adds the tokens for the time since the bucket was last filled, up to the burst. */
export const fillBucket = (bucket: Bucket, quota: Quota, now: Instant): Bucket => ({
	tokens: Math.min(quota.burst, bucket.tokens + ((now - bucket.filledAt) * quota.rate / MS_PER_SECOND)),
	filledAt: now,
});

/** Takes up to `wanted` whole tokens; returns the remaining bucket and the number of tokens taken. */
export const takeTokens = (bucket: Bucket, wanted: number): readonly [remainingBucket: Bucket, takenCount: number] => {
	const takenCount = Math.max(0, Math.min(wanted, Math.floor(bucket.tokens)));
	return [{...bucket, tokens: bucket.tokens - takenCount}, takenCount];
};

/** Returns the time until the bucket holds a whole token, in milliseconds, at most `MAX_TOKEN_WAIT_MS`; 0 if it holds one now. */
export const getNextTokenWaitMs = (bucket: Bucket, quota: Quota): number => bucket.tokens >= 1
	? 0
	: Math.min(MAX_TOKEN_WAIT_MS, (1 - bucket.tokens) * MS_PER_SECOND / quota.rate);
