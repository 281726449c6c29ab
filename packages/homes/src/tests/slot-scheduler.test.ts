/** Placement under load: a flood of one customer, requests past their time, a slow target. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualWorld, parseId, type CustomerId, type TargetId,
} from '@guavapitch/core';
import {chooseReadTarget} from '../read-targets.js';
import {createSlotScheduler, type TargetLoad} from '../slot-scheduler.js';

const SMALL = parseId<CustomerId>('small');
const LARGE = parseId<CustomerId>('large');
const ONE = parseId<TargetId>('one');
const TWO = parseId<TargetId>('two');
const LEADER = parseId<TargetId>('leader');

const chooseFirst = (free: readonly TargetLoad[]) => free[0]?.id;

describe('placement', () => {
	const flood = async (largeCallers: number) => {
		const {world, advance} = createVirtualWorld(11);
		const placement = createSlotScheduler(world);
		placement.setTargets([{id: ONE, slots: 2}]);
		const waits: number[] = [];
		let isOn = true;
		const call = async (customer: CustomerId, pauseMs: number) => {
			while (isOn) {
				const askedAt = world.now();
				const slot = await placement.acquire({
					customer, priority: 1, latencyDeadline: createDeadline(askedAt, 5000), deadline: createDeadline(askedAt, 5000), isPinned: false, chooseTarget: chooseFirst,
				});
				if (slot.ok) {
					if (customer === SMALL) {
						waits.push(world.now() - askedAt);
					}

					await world.sleep(10);
					slot.val.release(10);
				}

				await world.sleep(pauseMs * world.random());
			}
		};

		for (const [customer, pauseMs] of [[SMALL, 60] as const, ...Array.from({length: largeCallers}, () => [LARGE, 1] as const)]) {
			void call(customer, pauseMs);
		}

		await advance(10_000);
		isOn = false;
		await advance(200);
		return waits.toSorted((a, b) => a - b)[Math.floor(waits.length * 0.99)] ?? 0;
	};

	it('keeps the wait of a small customer at the time of one statement beside a flood', async () => {
		assert.ok(await flood(40) <= 15);
	});

	it('serves what can still be prompt before what cannot', async () => {
		const {world, advance} = createVirtualWorld(2);
		const placement = createSlotScheduler(world);
		placement.setTargets([{id: ONE, slots: 1}]);
		const order: string[] = [];
		const enter = async (name: string, promptMs: number) => {
			const slot = await placement.acquire({
				customer: SMALL, priority: 1, latencyDeadline: createDeadline(world.now(), promptMs), deadline: createDeadline(world.now(), 1000), isPinned: false, chooseTarget: chooseFirst,
			});
			if (slot.ok) {
				order.push(name);
				await world.sleep(50);
				slot.val.release(50);
			}
		};

		for (const [name, promptMs] of [['first', 500], ['late', 10], ['prompt', 500]] as const) {
			void enter(name, promptMs);
		}

		await advance(500);
		assert.deepEqual(order, ['first', 'prompt', 'late']);
	});

	it('refuses at its deadline what got no slot', async () => {
		const {world, advance} = createVirtualWorld(2);
		const placement = createSlotScheduler(world);
		placement.setTargets([{id: ONE, slots: 1}]);
		const request = {
			customer: SMALL, priority: 1, latencyDeadline: createDeadline(world.now(), 100), deadline: createDeadline(world.now(), 100), isPinned: false, chooseTarget: () => undefined,
		};
		let code = '';
		void placement.acquire(request).then(slot => {
			code = slot.err ? slot.val.code : 'ok';
		});
		await advance(120);
		assert.equal(code, 'deadlinePassed');
	});
});

describe('choice of a target for reads', () => {
	const load = (id: TargetId, busy: number, meanMs: number): TargetLoad => ({
		id, busy, slots: 3, meanMs,
	});
	const situation = {leader: LEADER, isEligible: () => true, targetIds: [LEADER, ONE, TWO]};

	it('prefers a follower that is as fast as the leader', () => {
		assert.equal(chooseReadTarget([load(LEADER, 0, 20), load(ONE, 0, 20)], situation), ONE);
	});

	it('gives a slow target less', () => {
		assert.equal(chooseReadTarget([load(ONE, 1, 20), load(TWO, 0, 100)], situation), ONE);
	});

	it('keeps the last slot of the leader for writes while a follower can serve', () => {
		assert.equal(chooseReadTarget([load(LEADER, 2, 20)], situation), undefined);
		assert.equal(chooseReadTarget([load(LEADER, 2, 20)], {...situation, isEligible: id => id === LEADER}), LEADER);
	});
});
