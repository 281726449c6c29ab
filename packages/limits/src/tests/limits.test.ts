/** Rate and burst hold over all entries, whatever is lost, paused or taken over. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createVirtualWorld, Err, NEVER, Ok, parseId, type CustomerId, type Deadline, type Instant,
} from '@guavapitch/core';
import {createQuotaClient, type RequestTokens} from '../quota-client.js';
import {createQuotaAllocator, type QuotaAllocator} from '../quota-allocator.js';

const CUSTOMER = parseId<CustomerId>('klub');
const LEASE_MS = 2000;

/** Finds by how much a list of spending times exceeds rate × t + burst in its worst window. */
const computeExcess = (times: readonly number[], rate: number, burst: number): number => {
	let worst = Number.NEGATIVE_INFINITY;
	for (let from = 0; from < times.length; from++) {
		for (let to = from; to < times.length; to++) {
			const spent = to - from + 1;
			worst = Math.max(worst, spent - burst - (rate * ((times[to] ?? 0) - (times[from] ?? 0)) / 1000));
		}
	}

	return worst;
};

type Run = Readonly<{rate: number; burst: number; entries: number; loss: number; seed: number; takeOvers: boolean; waiters: number; pauseMs: number}>;

/** Runs entries that ask all the time, against a keeper that may be replaced while its predecessor is paused. */
const runEntries = async (run: Run): Promise<Readonly<{times: readonly number[]; refusals: number}>> => {
	const {world, advance} = createVirtualWorld(run.seed);
	const times: number[] = [];
	let refusals = 0;
	let authority: Deadline = NEVER;
	let keeper: QuotaAllocator;
	let epoch = 0;
	const takeOver = () => {
		epoch++;
		const own = run.takeOvers ? createDeadline(world.now(), LEASE_MS) : NEVER;
		authority = own;
		keeper = createQuotaAllocator({
			world, epoch, getAuthorityDeadline: () => own, getQuota: () => ({rate: run.rate, burst: run.burst}),
		});
	};

	takeOver();
	const ask: RequestTokens = async request => {
		const asked = keeper;
		await world.sleep(world.random() * 4);
		if (world.random() < run.loss / 2) {
			return Err({code: 'lost', message: 'the request was lost'});
		}

		const allotment = asked.grantTokens(request);
		await world.sleep(world.random() * 4);
		return world.random() < run.loss / 2 || !allotment ? Err({code: 'lost', message: 'the answer was lost'}) : Ok(allotment);
	};

	let running = true;
	const entries = Array.from({length: run.entries}, async () => {
		const allowances = createQuotaClient(ask, world);
		const work = async () => {
			while (running) {
				const spent = await allowances.acquire(CUSTOMER, createDeadline(world.now(), 1000));
				if (spent.ok) {
					times.push(world.now());
				} else {
					refusals++;
					await world.sleep(5 + (world.random() * 20));
				}

				await world.sleep(run.pauseMs);
			}
		};

		await Promise.all(Array.from({length: run.waiters}, work));
	});
	for (let step = 0; step < 12; step++) {
		await advance(500);
		if (world.now() >= authority) {
			takeOver();
		}
	}

	running = false;
	await advance(2000);
	await Promise.all(entries);
	return {times, refusals};
};

describe('shares', () => {
	describe('bound', () => {
		it('is never exceeded, with lost answers and keepers that are replaced', async () => {
			await fc.assert(fc.asyncProperty(fc.record({

				rate: fc.integer({min: 5, max: 200}),
				burst: fc.integer({min: 2, max: 100}),
				entries: fc.integer({min: 1, max: 5}),
				loss: fc.constantFrom(0, 0.1, 0.4),
				seed: fc.nat(),
				takeOvers: fc.boolean(),
				waiters: fc.integer({min: 1, max: 3}),
			}), async run => {
				const {times} = await runEntries({...run, pauseMs: 0});
				const excess = computeExcess(times, run.rate, run.burst);
				assert.ok(excess <= 1e-6, `exceeded by ${excess}`);
			}), {seed: 31, numRuns: 15});
		});

		it('is found broken by the same check when each entry has a bucket of its own', () => {
			const times = Array.from({length: 40}, () => 0);
			assert.ok(computeExcess(times, 10, 20) > 0);
		});
	});

	describe('use', () => {
		it('gives nearly the whole rate to steady traffic', async () => {
			const {times} = await runEntries({
				rate: 100, burst: 100, entries: 3, loss: 0, seed: 5, takeOvers: false, waiters: 1, pauseMs: 0,
			});
			const seconds = ((times.at(-1) ?? 0) as Instant) / 1000;
			assert.ok(times.length >= 0.95 * 100 * (seconds - 1), `${times.length} in ${seconds} s`);
		});

		it('waits for tokens of a keeper that comes late and starts empty', async () => {
			const {world, advance} = createVirtualWorld(8);
			const late: {keeper: QuotaAllocator | undefined} = {keeper: undefined};
			const allowances = createQuotaClient(async request => {
				await world.sleep(2);
				const allotment = late.keeper?.grantTokens(request);
				return allotment ? Ok(allotment) : Err({code: 'noKeeper', message: 'none yet'});
			}, world);
			const spending = allowances.acquire(CUSTOMER, createDeadline(world.now(), 10_000));
			await advance(1500);
			late.keeper = createQuotaAllocator({
				world, epoch: 1, getAuthorityDeadline: () => NEVER, getQuota: () => ({rate: 10, burst: 10}),
			});
			await advance(1000);
			const spent = await spending;
			assert.ok(spent.ok);
		});

		it('refuses nothing of a customer inside its rate while what piled up without a keeper is worked off', async () => {
			const {world, advance} = createVirtualWorld(9);
			const state: {keeper: QuotaAllocator | undefined} = {keeper: undefined};
			const allowances = createQuotaClient(async request => {
				await world.sleep(2);
				const allotment = state.keeper?.grantTokens(request);
				return allotment ? Ok(allotment) : Err({code: 'noKeeper', message: 'none yet'});
			}, world);
			let refused = 0;
			const spendOne = async () => {
				const spent = await allowances.acquire(CUSTOMER, createDeadline(world.now(), 10_000));
				refused += spent.err ? 1 : 0;
			};

			const spending: Array<Promise<void>> = [];
			for (let count = 0; count < 400; count++) {
				if (count === 200) {
					state.keeper = createQuotaAllocator({
						world, epoch: 1, getAuthorityDeadline: () => NEVER, getQuota: () => ({rate: 100, burst: 100}),
					});
				}

				spending.push(spendOne());
				await advance(12.5);
			}

			await advance(10_000);
			await Promise.all(spending);
			assert.equal(refused, 0);
		});

		it('refuses nothing inside the rate when several requests wait in one entry', async () => {
			const {refusals} = await runEntries({
				rate: 1000, burst: 2000, entries: 2, loss: 0, seed: 6, takeOvers: false, waiters: 4, pauseMs: 20,
			});
			assert.equal(refusals, 0);
		});
	});
});
