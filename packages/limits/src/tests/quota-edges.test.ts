/** Quotas at the edges of their values, and their changes: nothing runs beyond them, and a quota that is raised again is used. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createVirtualRuntime, NEVER, Ok, brandId, type CustomerId,
} from '@guavapitch/core';
import {
	isZeroQuota, MAX_TOKEN_WAIT_MS, MIN_BURST, type Quota,
} from '../bucket.js';
import {createRefusalCache} from '../refusal-cache.js';
import {
	computeGrantableQuota, createQuotaAllocator, isTokenGrant, isTokenRequest,
} from '../quota-allocator.js';
import {createQuotaClient} from '../quota-client.js';

const CUSTOMER = brandId<CustomerId>('klub');
const CLIENT_COUNT = 3;
/** Time after a change from which it is checked, in milliseconds: tokens of the former quota have then expired. */
const SETTLED_MS = 1000;
const PHASE_MS = 4000;
/** Validity of tokens from which clients a few milliseconds away can use them, in milliseconds. */
const USABLE_VALIDITY_MS = 40;

type Attempt = Readonly<{sentAt: number; endedAt: number; ok: boolean; retryAfterMs: number}>;

/** Plays a list of quotas, one after another, under clients that press all the time. */
const playQuotas = async (quotas: readonly Quota[], seed: number): Promise<readonly Attempt[]> => {
	const {runtime, advance} = createVirtualRuntime(seed);
	let quota = quotas[0];
	const allocator = createQuotaAllocator({
		runtime, epoch: 1, getAuthorityDeadline: () => NEVER, getQuota: () => quota,
	});
	const attempts: Attempt[] = [];
	let isRunning = true;
	const clients = Array.from({length: CLIENT_COUNT}, async () => {
		const quotaClient = createQuotaClient(async request => {
			await runtime.sleep(runtime.random() * 4);
			const grant = allocator.grantTokens(request);
			await runtime.sleep(runtime.random() * 4);
			return grant ? Ok(grant) : assert.fail('the allocator knows the customer');
		}, runtime);
		while (isRunning) {
			const sentAt = runtime.now();
			const acquired = await quotaClient.acquire(CUSTOMER, createDeadline(sentAt, 1000));
			attempts.push({
				sentAt, endedAt: runtime.now(), ok: acquired.ok, retryAfterMs: acquired.err ? acquired.val.retryAfterMs : 0,
			});
			await runtime.sleep(5);
		}
	});
	for (const next of quotas) {
		quota = next;
		await advance(PHASE_MS);
	}

	isRunning = false;
	await advance(2000);
	await Promise.all(clients);
	return attempts;
};

/** Computes by how much the requests of a phase exceed rate × t + burst in its worst window. */
const computeExcess = (times: readonly number[], {rate, burst}: Quota): number => {
	const allowedBurst = rate > 0 ? Math.max(MIN_BURST, burst) : burst;
	let worst = Number.NEGATIVE_INFINITY;
	for (const [from, start] of times.entries()) {
		for (const [offset, end] of times.slice(from).entries()) {
			worst = Math.max(worst, offset + 1 - allowedBurst - (rate * (end - start) / 1000));
		}
	}

	return worst;
};

const amount = fc.oneof(
	fc.constantFrom(0, 0.001, 0.5, 1, 6, 81, Number.MIN_VALUE, 1e6, 1e300),
	fc.double({min: 0, max: 200, noNaN: true}),
);

describe('quota', () => {
	describe('drawn with edges and changed', () => {
		// A rate and a burst of 0 lifted the limit of a customer for good: 0 / 0 is not a number, and tokens that are none never run out.
		it('is never exceeded, tells a finite time to return, and is used again once it is raised', async () => {
			await fc.assert(fc.asyncProperty(fc.array(fc.record({rate: amount, burst: amount}), {minLength: 1, maxLength: 3}), fc.nat(), async (quotas, seed) => {
				const attempts = await playQuotas(quotas, seed);
				for (const {retryAfterMs} of attempts) {
					assert.ok(retryAfterMs >= 0 && retryAfterMs <= MAX_TOKEN_WAIT_MS, `told to return after ${retryAfterMs} ms`);
				}

				for (const [index, quota] of quotas.entries()) {
					const [from, until] = [(index * PHASE_MS) + SETTLED_MS, (index + 1) * PHASE_MS];
					const served = attempts.filter(({ok, endedAt}) => ok && endedAt >= from && endedAt < until).map(({endedAt}) => endedAt);
					const excess = computeExcess(served, quota);
					assert.ok(excess <= 1e-6, `${JSON.stringify(quota)} exceeded by ${excess}`);
					if (quota.rate >= 1 && computeGrantableQuota(quota).maxValidMs >= USABLE_VALIDITY_MS) {
						assert.ok(served.length > 0, `${JSON.stringify(quota)} not used`);
					}
				}
			}), {seed: 14, numRuns: 60});
		});
	});

	describe('of zero', () => {
		it('lets nothing run, refuses without a wait, and is served within a second of being restored', async () => {
			const attempts = await playQuotas([{rate: 81, burst: 81}, {rate: 0, burst: 0}, {rate: 81, burst: 81}], 1);
			const during = attempts.filter(({sentAt}) => sentAt >= PHASE_MS + SETTLED_MS && sentAt < 2 * PHASE_MS);
			assert.ok(during.length > 0 && during.every(({ok, sentAt, endedAt}) => !ok && endedAt - sentAt <= 10));
			assert.ok(attempts.some(({ok, endedAt}) => ok && endedAt >= 2 * PHASE_MS && endedAt < (2 * PHASE_MS) + 1000));
		});

		it('is told from one that allows some requests', () => {
			assert.deepEqual([[0, 0], [0, 0.5], [0, 1], [0.001, 0]].map(([rate = 0, burst = 0]) => isZeroQuota({rate, burst})), [true, true, false, false]);
		});
	});

	describe('with a burst but no rate', () => {
		// The time to return was infinite, and clients that had paused for it never asked again.
		it('grants what is left of the burst at most, and is served within a second of being raised', async () => {
			const attempts = await playQuotas([{rate: 81, burst: 81}, {rate: 0, burst: 6}, {rate: 81, burst: 81}], 2);
			assert.ok(attempts.filter(({ok, endedAt}) => ok && endedAt >= PHASE_MS + SETTLED_MS && endedAt < 2 * PHASE_MS).length <= 6);
			assert.ok(attempts.some(({ok, endedAt}) => ok && endedAt >= 2 * PHASE_MS && endedAt < (2 * PHASE_MS) + 1000));
		});
	});

	describe('with a rate but no burst', () => {
		it('is used', async () => {
			const attempts = await playQuotas([{rate: 10, burst: 0}], 3);
			assert.ok(attempts.filter(({ok}) => ok).length >= 10);
		});
	});
});

describe('messages about tokens', () => {
	it('with numbers that are none, negative or infinite are refused', () => {
		const grant = {
			epoch: 1, tokens: 2, validMs: 200, retryAfterMs: 0,
		};
		const request = {
			customer: CUSTOMER, wanted: 1, returned: 0, epoch: 1,
		};
		assert.ok(isTokenGrant(grant) && isTokenRequest(request));
		for (const amountSent of [Number.NaN, -1, Number.POSITIVE_INFINITY, undefined, null, '2']) {
			for (const field of ['epoch', 'tokens', 'validMs', 'retryAfterMs']) {
				assert.equal(isTokenGrant({...grant, [field]: amountSent}), false);
			}

			for (const field of ['customer', 'wanted', 'returned', 'epoch']) {
				assert.equal(isTokenRequest({...request, [field]: field === 'customer' ? 1 : amountSent}), false);
			}
		}

		for (const value of [null, undefined, 1, 'grant']) {
			assert.equal(isTokenGrant(value) || isTokenRequest(value), false);
		}
	});
});

describe('refusal cache', () => {
	// In a large fleet a customer stayed refused for seconds after its quota was raised.
	it('forgets a refusal when the configuration changes', () => {
		const {runtime} = createVirtualRuntime(1);
		let version = 1;
		const refusalCache = createRefusalCache(runtime, () => 660, () => version);
		refusalCache.recordRefusal('ledger', CUSTOMER, 2000);
		assert.ok(refusalCache.getRetryAfterMs('ledger', CUSTOMER) !== undefined);
		version = 2;
		assert.equal(refusalCache.getRetryAfterMs('ledger', CUSTOMER), undefined);
	});
});
