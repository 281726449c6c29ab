/** Quota allocator: the only process that grants tokens of a customer to the entries. */

import {
	isPast, type CustomerId, type Deadline, type Runtime,
} from '@guavapitch/core';
import {
	createBucket, fillBucket, getNextTokenWaitMs, isZeroQuota, MIN_BURST, takeTokens, type Bucket, type Quota,
} from './bucket.js';
import type {GrantableFractions, ShareLedger} from './quota-shares.js';

/** Request of an entry for tokens of a customer. */
export type TokenRequest = Readonly<{
	customer: CustomerId;
	/** Number of tokens wanted. */
	wanted: number;
	/** Number of tokens from the last grant of the same epoch that were not used. */
	returned: number;
	/** Epoch of the allocator that granted the returned tokens. */
	epoch: number;
}>;

/** Response of the allocator. */
export type TokenGrant = Readonly<{
	/** Epoch of the allocator, to be sent with the tokens that are returned. */
	epoch: number;
	tokens: number;
	/** Time for which the tokens are valid, counted from when the entry sent its request, in milliseconds. */
	validMs: number;
	/** Time until another whole token is available, in milliseconds; 0 if all wanted tokens were granted. */
	retryAfterMs: number;
	/** Whether the allocator has just started and may not grant the whole quota yet. */
	isStarting?: boolean;
}>;

const isAmount = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Checks a token request that arrived from another process; a number that is none would stay in the bucket for good. */
export const isTokenRequest = (value: unknown): value is TokenRequest => {
	const {customer, wanted, returned, epoch} = (value ?? {}) as Partial<Record<keyof TokenRequest, unknown>>;
	return typeof customer === 'string' && [wanted, returned, epoch].every(amount => isAmount(amount));
};

/** Checks a grant that arrived from another process; tokens or a validity that are no numbers would limit nothing. */
export const isTokenGrant = (value: unknown): value is TokenGrant => {
	const {epoch, tokens, validMs, retryAfterMs} = (value ?? {}) as Partial<Record<keyof TokenGrant, unknown>>;
	return [epoch, tokens, validMs, retryAfterMs].every(amount => isAmount(amount));
};

/** Quota allocator for the customers of one slot. */
export type QuotaAllocator = Readonly<{
	/** Grants tokens, possibly fewer than wanted; `undefined` if the allocator's authority has ended or the customer is unknown. */
	grantTokens: (request: TokenRequest) => TokenGrant | undefined;
}>;

/** Dependencies of a quota allocator. */
export type QuotaAllocatorContext = Readonly<{
	runtime: Runtime;
	/** Epoch of the claim under which the allocator runs; returned tokens of another epoch are not credited. */
	epoch: number;
	/** Returns the deadline of the allocator's authority; tokens are not valid beyond it. */
	getAuthorityDeadline: () => Deadline;
	getQuota: (customer: CustomerId) => Quota | undefined;
	/** Computes the fractions of a customer's quota that no other process may use; all of it if absent. */
	computeFractions?: ShareLedger['computeFractions'];
}>;

/** Maximum time for which granted tokens are valid, in milliseconds. */
export const MAX_TOKEN_VALIDITY_MS = 200;

const WHOLE: GrantableFractions = {current: 1, continuous: 1, average: 1};

/** Maximum time until the next token that is reported while a part of the quota is withheld, in milliseconds: vms come into contact within a few of their reports. */
const WITHHELD_RETRY_MS = 100;

/** Time after its start in which an allocator comes into contact with the vms, in milliseconds. */
const STARTING_MS = 2000;

/** Maximum fraction of a burst that may be reserved for tokens that are granted and not yet used. */
const MAX_RESERVED_FRACTION = 0.5;

/**
 * Computes the quota from which tokens may be granted, so that the tokens used never exceed rate × t + burst.
 * Tokens granted at the end of one validity window may be used in the next one, so their number is reserved from the burst.
 * `maxValidMs` is the maximum validity of the granted tokens, shorter for a burst that is small for its rate.
 */
export const computeGrantableQuota = (quota: Quota): Readonly<{grantableQuota: Quota; maxValidMs: number}> => {
	const {rate} = quota;
	if (rate === 0) {
		return {grantableQuota: quota, maxValidMs: MAX_TOKEN_VALIDITY_MS};
	}

	const burst = Math.max(MIN_BURST, quota.burst);
	const maxValidMs = Math.min(MAX_TOKEN_VALIDITY_MS, burst * MAX_RESERVED_FRACTION * 1000 / rate);
	return {grantableQuota: {rate, burst: Math.max(1, burst - (rate * maxValidMs / 1000))}, maxValidMs};
};

/** Creates a quota allocator whose buckets start empty. */
export const createQuotaAllocator = (context: QuotaAllocatorContext): QuotaAllocator => {
	const {runtime, epoch} = context;
	const startedAt = runtime.now();
	const buckets = new Map<CustomerId, Bucket>();

	return {
		grantTokens(request) {
			const quota = context.getQuota(request.customer);
			const now = runtime.now();
			const authorityDeadline = context.getAuthorityDeadline();
			if (!quota || isPast(authorityDeadline, now)) {
				return undefined;
			}

			const bucket = buckets.get(request.customer) ?? createBucket(startedAt);
			const {current, continuous, average} = context.computeFractions?.(request.customer, quota) ?? WHOLE;
			const {grantableQuota: wholeQuota, maxValidMs} = computeGrantableQuota(quota);
			const grantableQuota: Quota = {rate: wholeQuota.rate * current, burst: wholeQuota.burst * current};
			// The shares of vms that were out of contact have been used elsewhere, with the tokens that the bucket held for them.
			const ownBucket: Bucket = {...bucket, tokens: Math.min(bucket.tokens, wholeQuota.burst * continuous)};
			const filledBucket = fillBucket(ownBucket, {...grantableQuota, rate: wholeQuota.rate * average}, now);
			const returned = request.epoch === epoch ? request.returned : 0;
			const creditedBucket: Bucket = {...filledBucket, tokens: Math.min(grantableQuota.burst, filledBucket.tokens + returned)};
			const validMs = Math.min(maxValidMs, authorityDeadline - now);
			const [remainingBucket, tokens] = takeTokens(creditedBucket, request.wanted);
			buckets.set(request.customer, remainingBucket);
			const nextTokenMs = getNextTokenWaitMs(remainingBucket, grantableQuota);
			const retryAfterMs = current < 1 && !isZeroQuota(quota) ? Math.min(WITHHELD_RETRY_MS, nextTokenMs) : nextTokenMs;
			return {
				epoch, tokens, validMs, retryAfterMs: tokens >= request.wanted ? 0 : retryAfterMs, ...(current < 1 && now - startedAt < STARTING_MS && {isStarting: true}),
			};
		},
	};
};
