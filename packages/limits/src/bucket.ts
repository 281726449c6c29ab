/** Token bucket: what a customer may still send. */

import type {Instant} from '@guavapitch/core';

/** Rate and burst of a customer. */
export type Quota = Readonly<{
	/** Tokens a second. */
	rate: number;
	/** Tokens at once. */
	burst: number;
}>;

/** State of a bucket at an instant. */
export type Bucket = Readonly<{tokens: number; at: Instant}>;

const MILLISECONDS = 1000;

/** Creates an empty bucket. */
export const createBucket = (now: Instant): Bucket => ({tokens: 0, at: now});

/** Fills a bucket for the time that has passed. */
export const fillBucket = (bucket: Bucket, share: Quota, now: Instant): Bucket => ({
	tokens: Math.min(share.burst, bucket.tokens + ((now - bucket.at) * share.rate / MILLISECONDS)),
	at: now,
});

/** Takes up to a number of whole tokens; gives the bucket after it and how many were taken. */
export const takeTokens = (bucket: Bucket, wanted: number): readonly [after: Bucket, taken: number] => {
	const taken = Math.max(0, Math.min(wanted, Math.floor(bucket.tokens)));
	return [{...bucket, tokens: bucket.tokens - taken}, taken];
};

/** Gets the time until a bucket holds a token, in milliseconds. */
export const getNextTokenWaitMs = (bucket: Bucket, share: Quota): number => Math.max(0, (1 - bucket.tokens) * MILLISECONDS / share.rate);
