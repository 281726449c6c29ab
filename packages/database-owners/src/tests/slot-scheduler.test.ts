/** Slot scheduling under load: a flood by one customer, late requests, and the choice of targets for reads. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, brandId, type CustomerId, type TargetId,
} from '@guavapitch/core';
import {chooseReadTarget} from '../read-targets.js';
import {createSlotScheduler, type TargetLoad} from '../slot-scheduler.js';

const SMALL = brandId<CustomerId>('small');
const LARGE = brandId<CustomerId>('large');
const REPLICA_1 = brandId<TargetId>('replica-1');
const REPLICA_2 = brandId<TargetId>('replica-2');
const LEADER = brandId<TargetId>('leader');

const chooseFirst = (freeTargets: readonly TargetLoad[]) => freeTargets[0]?.id;

const REQUEST = {
	customer: SMALL, kind: {group: 'read', name: 'read 9'}, priority: 1, isPinned: false, chooseTarget: chooseFirst,
};

describe('slot scheduler', () => {
	const measureSmallCustomerP99WaitMs = async (largeCallers: number) => {
		const {runtime, advance} = createVirtualRuntime(11);
		const scheduler = createSlotScheduler(runtime);
		scheduler.setTargets([{id: REPLICA_1, slots: 2}]);
		const waits: number[] = [];
		let isRunning = true;
		const sendRequests = async (customer: CustomerId, pauseMs: number) => {
			while (isRunning) {
				const requestedAt = runtime.now();
				const slot = await scheduler.acquire({
					...REQUEST, customer, latencyDeadline: createDeadline(requestedAt, 5000), deadline: createDeadline(requestedAt, 5000), answerDeadline: createDeadline(requestedAt, 5000),
				});
				if (slot.ok) {
					if (customer === SMALL) {
						waits.push(runtime.now() - requestedAt);
					}

					await runtime.sleep(10);
					slot.val.release(10);
				}

				await runtime.sleep(pauseMs * runtime.random());
			}
		};

		for (const [customer, pauseMs] of [[SMALL, 60] as const, ...Array.from({length: largeCallers}, () => [LARGE, 1] as const)]) {
			void sendRequests(customer, pauseMs);
		}

		await advance(10_000);
		isRunning = false;
		await advance(200);
		return waits.toSorted((a, b) => a - b)[Math.floor(waits.length * 0.99)] ?? 0;
	};

	it('keeps the wait of a small customer to about one statement during a flood by another', async () => {
		assert.ok(await measureSmallCustomerP99WaitMs(40) <= 15);
	});

	it('serves requests within their latency objective before those past it', async () => {
		const {runtime, advance} = createVirtualRuntime(2);
		const scheduler = createSlotScheduler(runtime);
		scheduler.setTargets([{id: REPLICA_1, slots: 1}]);
		const order: string[] = [];
		const runRequest = async (name: string, latencyMs: number) => {
			const slot = await scheduler.acquire({
				...REQUEST, latencyDeadline: createDeadline(runtime.now(), latencyMs), deadline: createDeadline(runtime.now(), 1000), answerDeadline: createDeadline(runtime.now(), 1000),
			});
			if (slot.ok) {
				order.push(name);
				await runtime.sleep(50);
				slot.val.release(50);
			}
		};

		for (const [name, latencyMs] of [['first', 500], ['late', 10], ['prompt', 500]] as const) {
			void runRequest(name, latencyMs);
		}

		await advance(500);
		assert.deepEqual(order, ['first', 'prompt', 'late']);
	});

	it('refuses a request that got no slot before its deadline', async () => {
		const {runtime, advance} = createVirtualRuntime(2);
		const scheduler = createSlotScheduler(runtime);
		scheduler.setTargets([{id: REPLICA_1, slots: 1}]);
		const request = {
			...REQUEST,
			latencyDeadline: createDeadline(runtime.now(), 100),
			deadline: createDeadline(runtime.now(), 100),
			answerDeadline: createDeadline(runtime.now(), 100),
			chooseTarget: () => undefined,
		};
		let code = '';
		void scheduler.acquire(request).then(slot => {
			code = slot.err ? slot.val.code : 'ok';
		});
		await advance(120);
		assert.equal(code, 'deadlinePassed');
	});
});

describe('chooseReadTarget', () => {
	const createLoad = (id: TargetId, busyCount: number, meanMs: number): TargetLoad => ({
		id, busyCount, slotCount: 3, meanMs,
	});
	const context = {
		leader: LEADER, isEligible: () => true, targetIds: [LEADER, REPLICA_1, REPLICA_2], estimateConnectMs: () => 0,
	};

	it('prefers a replica that is as fast as the leader', () => {
		assert.equal(chooseReadTarget([createLoad(LEADER, 0, 20), createLoad(REPLICA_1, 0, 20)], context), REPLICA_1);
	});

	it('prefers a fast busy target to a slow idle one', () => {
		assert.equal(chooseReadTarget([createLoad(REPLICA_1, 1, 20), createLoad(REPLICA_2, 0, 100)], context), REPLICA_1);
	});

	it('prefers a target with an idle connection of the customer, unless it is much busier', () => {
		const connected = {...context, estimateConnectMs: (id: TargetId) => id === REPLICA_2 ? 0 : 15};
		assert.equal(chooseReadTarget([createLoad(REPLICA_1, 0, 10), createLoad(REPLICA_2, 1, 10)], connected), REPLICA_2);
		assert.equal(chooseReadTarget([createLoad(REPLICA_1, 0, 10), createLoad(REPLICA_2, 0, 40)], connected), REPLICA_1);
	});

	it('reserves the last slot of the leader for writes while a replica can serve the read', () => {
		assert.equal(chooseReadTarget([createLoad(LEADER, 2, 20)], context), undefined);
		assert.equal(chooseReadTarget([createLoad(LEADER, 2, 20)], {...context, isEligible: id => id === LEADER}), LEADER);
	});
});
