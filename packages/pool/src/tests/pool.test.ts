/** Weighted fair queue and connection pool. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, Ok, brandId, type CustomerId,
} from '@guavapitch/core';
import {createPool, type Poolable} from '../connections.js';
import {createFairQueue} from '../fair-queue.js';

const SMALL = brandId<CustomerId>('small');
const LARGE = brandId<CustomerId>('large');

describe('fair queue', () => {
	const measureWaits = async (largeWorkers: number, smallWeight = 1) => {
		const {runtime, advance} = createVirtualRuntime(7);
		const queue = createFairQueue(runtime, 2, () => true);
		const waits: number[] = [];
		const servedCounts = new Map<CustomerId, number>();
		let isRunning = true;
		const work = async (customer: CustomerId, weight: number, pauseMs: number) => {
			while (isRunning) {
				const enteredAt = runtime.now();
				const entered = await queue.enter({
					customer, weight, deadline: createDeadline(runtime.now(), 5000), isPinned: false,
				});
				if (entered.ok) {
					using permit = entered.val;
					await runtime.sleep(5);
					servedCounts.set(customer, (servedCounts.get(customer) ?? 0) + 1);
					if (customer === SMALL) {
						waits.push(permit.startedAt - enteredAt);
					}
				}

				await runtime.sleep(pauseMs * runtime.random());
			}
		};

		const workers = [work(SMALL, smallWeight, 40), ...Array.from({length: largeWorkers}, async () => work(LARGE, 1, 0))];
		await advance(4000);
		isRunning = false;
		await advance(6000);
		await Promise.all(workers);
		return {waits: waits.toSorted((a, b) => a - b), served: servedCounts};
	};

	it('keeps the wait of a small customer short during a flood by a large one', async () => {
		const {waits} = await measureWaits(60);
		const p99 = waits[Math.floor(waits.length * 0.99)] ?? 0;
		assert.ok(p99 <= 10, `p99 of the wait is ${p99} ms; two requests take 10 ms`);
	});

	it('serves a short burst of an idle customer before a flood, and alternates during a longer one', async () => {
		const {runtime, advance} = createVirtualRuntime(3);
		const queue = createFairQueue(runtime, 1, () => true);
		const order: CustomerId[] = [];
		const run = async (customer: CustomerId) => {
			const entered = await queue.enter({
				customer, weight: 1, deadline: createDeadline(runtime.now(), 10_000), isPinned: false,
			});
			if (entered.ok) {
				using permit = entered.val;
				order.push(customer);
				await runtime.sleep(10);
			}
		};

		const runs = [run(SMALL)];
		await advance(50);
		runs.push(...Array.from({length: 100}, async () => run(LARGE)));
		await advance(400);
		const servedBeforeBurstCount = order.length;
		runs.push(...Array.from({length: 60}, async () => run(SMALL)));
		await advance(10_000);
		await Promise.all(runs);
		const orderAfterBurst = order.slice(servedBeforeBurstCount);
		const smallFlags = orderAfterBurst.map(customer => customer === SMALL);
		assert.ok(smallFlags.slice(1, 11).every(Boolean), 'a burst within the idle credit goes first');
		assert.ok(smallFlags.slice(11, 60).includes(false), 'a longer burst alternates with the flood');
	});

	it('refuses at once when the deadline cannot be met', async () => {
		const {runtime, advance} = createVirtualRuntime();
		const queue = createFairQueue(runtime, 1, () => true);
		const entry = {
			customer: LARGE, weight: 1, deadline: createDeadline(runtime.now(), 5), isPinned: false,
		};
		const entering = Promise.all(Array.from({length: 30}, async () => queue.enter(entry)));
		await advance(200);
		const results = await entering;
		assert.ok(results[0]?.ok);
		assert.ok(results.slice(1).every(result => result.err));
	});

	it('gives the next slot to a pinned transaction', async () => {
		const {runtime, advance} = createVirtualRuntime();
		const queue = createFairQueue(runtime, 1, () => true);
		const deadline = createDeadline(runtime.now(), 1000);
		const order: string[] = [];
		const enter = async (name: string, isPinned: boolean) => {
			const entered = await queue.enter({
				customer: LARGE, weight: 1, deadline, isPinned,
			});
			using _permit = entered.unwrap();
			order.push(name);
			await runtime.sleep(10);
		};

		const entries = [enter('first', false), enter('second', false), enter('pinned', true)];
		await advance(100);
		await Promise.all(entries);
		assert.deepEqual(order, ['first', 'pinned', 'second']);
	});
});

describe('pool', () => {
	it('stays within its limit, reuses connections and resets dirty ones', async () => {
		const {runtime, advance} = createVirtualRuntime(3);
		let openCount = 0;
		let maxOpenCount = 0;
		let resetCount = 0;
		let dialCount = 0;
		const pool = createPool<Poolable>({
			maxOpen: 3,
			minIdle: 1,
			async dial() {
				dialCount++;
				openCount++;
				maxOpenCount = Math.max(maxOpenCount, openCount);
				await runtime.sleep(30);
				return Ok({
					isEnded: () => false,
					async reset() {
						resetCount++;
						return true;
					},
					async [Symbol.asyncDispose]() {
						openCount--;
					},
				});
			},
			onAvailable: () => undefined,
			onReachabilityChange: () => undefined,
		}, runtime);
		const use = async (index: number) => {
			const acquired = await pool.acquire(createDeadline(runtime.now(), 5000));
			const handle = acquired.unwrap();
			await runtime.sleep(10);
			handle.release(index % 3 === 0 ? 'dirty' : (index % 7 === 0 ? 'broken' : 'clean'));
		};

		const uses = Promise.all(Array.from({length: 60}, async (_, index) => use(index)));
		await advance(5000);
		await uses;
		assert.equal(maxOpenCount, 3);
		assert.equal(resetCount, 20);
		assert.ok(dialCount <= 12, `${dialCount} dials for 60 uses`);
		await pool[Symbol.asyncDispose]();
		assert.equal(openCount, 0);
	});
});
