/** Checks that all entries together stay within the rate and burst of a customer when messages are lost and the quota allocator is replaced, and that the quota is then still fully usable. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createVirtualRuntime, Err, NEVER, Ok, brandId, type CustomerId, type Deadline, type Instant,
} from '@guavapitch/core';
import {createQuotaClient, type RequestTokens} from '../quota-client.js';
import {createQuotaAllocator, type QuotaAllocator} from '../quota-allocator.js';

const CUSTOMER = brandId<CustomerId>('klub');
const LEASE_MS = 2000;

/** Computes by how many tokens a list of acquisition times exceeds rate × t + burst in its worst window; negative if it stays below. */
const computeExcess = (times: readonly number[], rate: number, burst: number): number => {
	let worst = Number.NEGATIVE_INFINITY;
	for (let from = 0; from < times.length; from++) {
		for (let to = from; to < times.length; to++) {
			const count = to - from + 1;
			worst = Math.max(worst, count - burst - (rate * ((times[to] ?? 0) - (times[from] ?? 0)) / 1000));
		}
	}

	return worst;
};

type Run = Readonly<{rate: number; burst: number; entryCount: number; lossRate: number; seed: number; hasTakeovers: boolean; waitersPerEntry: number; pauseMs: number}>;

/** Runs entries that constantly acquire tokens; the allocator may be replaced when its lease ends, and a paused predecessor still responds to requests sent to it. */
const runEntries = async (run: Run): Promise<Readonly<{times: readonly number[]; refusals: number}>> => {
	const {runtime, advance} = createVirtualRuntime(run.seed);
	const times: number[] = [];
	let refusals = 0;
	let authorityDeadline: Deadline = NEVER;
	let allocator: QuotaAllocator;
	let epoch = 0;
	const takeOver = () => {
		epoch++;
		const deadline = run.hasTakeovers ? createDeadline(runtime.now(), LEASE_MS) : NEVER;
		authorityDeadline = deadline;
		allocator = createQuotaAllocator({
			runtime, epoch, getAuthorityDeadline: () => deadline, getQuota: () => ({rate: run.rate, burst: run.burst}),
		});
	};

	takeOver();
	const requestTokens: RequestTokens = async request => {
		const receiver = allocator;
		await runtime.sleep(runtime.random() * 4);
		if (runtime.random() < run.lossRate / 2) {
			return Err({code: 'lost', message: 'the request was lost'});
		}

		const grant = receiver.grantTokens(request);
		await runtime.sleep(runtime.random() * 4);
		return runtime.random() < run.lossRate / 2 || !grant ? Err({code: 'lost', message: 'the response was lost'}) : Ok(grant);
	};

	let isRunning = true;
	const entries = Array.from({length: run.entryCount}, async () => {
		const quotaClient = createQuotaClient(requestTokens, runtime);
		const work = async () => {
			while (isRunning) {
				const acquired = await quotaClient.acquire(CUSTOMER, createDeadline(runtime.now(), 1000));
				if (acquired.ok) {
					times.push(runtime.now());
				} else {
					refusals++;
					await runtime.sleep(5 + (runtime.random() * 20));
				}

				await runtime.sleep(run.pauseMs);
			}
		};

		await Promise.all(Array.from({length: run.waitersPerEntry}, work));
	});
	for (let step = 0; step < 12; step++) {
		await advance(500);
		if (runtime.now() >= authorityDeadline) {
			takeOver();
		}
	}

	isRunning = false;
	await advance(2000);
	await Promise.all(entries);
	return {times, refusals};
};

describe('quotas', () => {
	describe('limit', () => {
		it('is never exceeded when responses are lost and allocators are replaced', async () => {
			await fc.assert(fc.asyncProperty(fc.record({
				rate: fc.integer({min: 5, max: 200}),
				burst: fc.integer({min: 2, max: 100}),
				entryCount: fc.integer({min: 1, max: 5}),
				lossRate: fc.constantFrom(0, 0.1, 0.4),
				seed: fc.nat(),
				hasTakeovers: fc.boolean(),
				waitersPerEntry: fc.integer({min: 1, max: 3}),
			}), async run => {
				const {times} = await runEntries({...run, pauseMs: 0});
				const excess = computeExcess(times, run.rate, run.burst);
				assert.ok(excess <= 1e-6, `exceeded by ${excess}`);
			}), {seed: 31, numRuns: 15});
		});

		it('is reported as exceeded by the same check when each entry has a bucket of its own', () => {
			const times = Array.from({length: 40}, () => 0);
			assert.ok(computeExcess(times, 10, 20) > 0);
		});
	});

	describe('use', () => {
		it('gives nearly the whole rate to steady traffic', async () => {
			const {times} = await runEntries({
				rate: 100, burst: 100, entryCount: 3, lossRate: 0, seed: 5, hasTakeovers: false, waitersPerEntry: 1, pauseMs: 0,
			});
			const seconds = ((times.at(-1) ?? 0) as Instant) / 1000;
			assert.ok(times.length >= 0.95 * 100 * (seconds - 1), `${times.length} in ${seconds} s`);
		});

		it('waits for tokens of an allocator that starts late with empty buckets', async () => {
			const {runtime, advance} = createVirtualRuntime(8);
			const state: {allocator: QuotaAllocator | undefined} = {allocator: undefined};
			const quotaClient = createQuotaClient(async request => {
				await runtime.sleep(2);
				const grant = state.allocator?.grantTokens(request);
				return grant ? Ok(grant) : Err({code: 'noKeeper', message: 'no allocator yet'});
			}, runtime);
			const acquiring = quotaClient.acquire(CUSTOMER, createDeadline(runtime.now(), 10_000));
			await advance(1500);
			state.allocator = createQuotaAllocator({
				runtime, epoch: 1, getAuthorityDeadline: () => NEVER, getQuota: () => ({rate: 10, burst: 10}),
			});
			await advance(1000);
			const acquired = await acquiring;
			assert.ok(acquired.ok);
		});

		it('refuses no request of a customer within its rate while the backlog from a time without an allocator is worked off', async () => {
			const {runtime, advance} = createVirtualRuntime(9);
			const state: {allocator: QuotaAllocator | undefined} = {allocator: undefined};
			const quotaClient = createQuotaClient(async request => {
				await runtime.sleep(2);
				const grant = state.allocator?.grantTokens(request);
				return grant ? Ok(grant) : Err({code: 'noKeeper', message: 'no allocator yet'});
			}, runtime);
			let refused = 0;
			const acquireOne = async () => {
				const acquired = await quotaClient.acquire(CUSTOMER, createDeadline(runtime.now(), 10_000));
				refused += acquired.err ? 1 : 0;
			};

			const acquiring: Array<Promise<void>> = [];
			for (let count = 0; count < 400; count++) {
				if (count === 200) {
					state.allocator = createQuotaAllocator({
						runtime, epoch: 1, getAuthorityDeadline: () => NEVER, getQuota: () => ({rate: 100, burst: 100}),
					});
				}

				acquiring.push(acquireOne());
				await advance(12.5);
			}

			await advance(10_000);
			await Promise.all(acquiring);
			assert.equal(refused, 0);
		});

		it('refuses no request within the rate when several requests wait at one entry', async () => {
			const {refusals} = await runEntries({
				rate: 1000, burst: 2000, entryCount: 2, lossRate: 0, seed: 6, hasTakeovers: false, waitersPerEntry: 4, pauseMs: 20,
			});
			assert.equal(refusals, 0);
		});
	});
});
