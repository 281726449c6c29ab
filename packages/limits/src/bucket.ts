/** Token bucket of a customer: each request takes one token, and tokens are added at a fixed rate. */

import type {Instant} from '@guavapitch/core';

/** Limit of a customer over the whole fleet: in any time t, at most rate × t + burst requests run. */
export type Quota = Readonly<{
	/** Tokens added per second. */
	rate: number;
	/** Capacity of the bucket, in tokens. */
	burst: number;
}>;

/** Number of tokens in a bucket, possibly fractional, when it was last filled. */
export type Bucket = Readonly<{tokens: number; filledAt: Instant}>;

const MS_PER_SECOND = 1000;

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

/** Returns the time until the bucket holds a whole token, in milliseconds; 0 if it holds one now. */
export const getNextTokenWaitMs = (bucket: Bucket, quota: Quota): number => Math.max(0, (1 - bucket.tokens) * MS_PER_SECOND / quota.rate);
