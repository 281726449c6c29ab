/** The steward: replaces a primary that is gone or leaving, and only while it is the steward. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualWorld, type TargetId,
} from '@guavapitch/core';
import {rankReplicas, runFailoverCoordinator, type PromotionOutcome} from '../failover-coordinator.js';
import {createFakeOwner} from './fake-owner.js';
import {
	createFakeTarget, DATABASE, type FakeTarget,
} from './fake-targets.js';

type Order = Readonly<{target: TargetId; fence: number}>;

type Options = Readonly<{
	isSteward?: () => boolean;
	isReachedByOthers?: boolean;
	isReplicated?: boolean;
	order?: (order: Order, targets: readonly FakeTarget[]) => PromotionOutcome;
}>;

const createSetup = (options: Options = {}) => {
	const {world, advance} = createVirtualWorld(5);
	const targets = [createFakeTarget('one', 'primary'), createFakeTarget('two', 'replica'), createFakeTarget('three', 'replica')] as const;
	const home = createFakeOwner(targets, world);
	const orders: Order[] = [];
	const stop = new AbortController();
	let fence = 0;

	/** Carries an order out, as the platform does. */
	const carryOut = (order: Order): PromotionOutcome => {
		for (const target of targets) {
			const leads = target.description.id === order.target;
			target.role = leads ? 'primary' : 'replica';
			if (leads) {
				target.position = {term: target.position.term + 1, number: target.position.number};
			}
		}

		return 'done';
	};

	void runFailoverCoordinator({
		world,
		database: DATABASE,
		owner: home,
		isCoordinator: options.isSteward ?? (() => true),
		drawFencingToken: async () => ++fence,
		async orderPromotion(target, drawn) {
			orders.push({target, fence: drawn});
			return options.order ? options.order({target, fence: drawn}, targets) : carryOut({target, fence: drawn});
		},
		isReachableFromPeers: async () => options.isReachedByOthers ?? false,
		isSynchronouslyReplicated: () => options.isReplicated ?? false,
		onEvent: () => undefined,
	}, stop.signal);
	return {
		targets, home, orders, advance, stop,
	};
};

describe('steward', () => {
	describe('of a primary that refuses connections', () => {
		it('orders the replica with the longest log', async () => {
			const {targets: [one, two, three], orders, advance, home, stop} = createSetup();
			await advance(500);
			assert.deepEqual(orders, []);
			two.position = {term: 1, number: 90};
			three.position = {term: 1, number: 95};
			one.fault = 'refuses';
			await advance(1500);
			assert.deepEqual(orders.map(({target}) => target), [three.description.id]);
			assert.equal(home.components.leaderTracker.getLeader(), three.description.id);
			stop.abort();
		});
	});

	describe('of a silent primary', () => {
		it('orders another one when nobody reaches it', async () => {
			const {targets: [one], orders, advance, stop} = createSetup();
			await advance(500);
			one.fault = 'silent';
			await advance(3500);
			assert.equal(orders.length, 1);
			stop.abort();
		});

		it('orders nothing while another vm reaches it', async () => {
			const {targets: [one], orders, advance, stop} = createSetup({isReachedByOthers: true});
			await advance(500);
			one.fault = 'silent';
			await advance(5000);
			assert.deepEqual(orders, []);
			stop.abort();
		});
	});

	describe('of a primary that is leaving', () => {
		it('orders a replica that has everything', async () => {
			const {targets: [one, two, three], orders, advance, home, stop} = createSetup();
			await advance(500);
			two.position = {term: 1, number: 60};
			home.setTargets([one, two, three].map(({description}) => description === one.description ? {...description, isDraining: true} : description));
			await advance(600);
			assert.deepEqual(orders.map(({target}) => target), [three.description.id]);
			stop.abort();
		});
	});

	describe('of a database whose commits count when a replica has them', () => {
		it('orders nothing while a replica does not answer, which may be the one that has them', async () => {
			const {targets: [one, , three], orders, advance, stop} = createSetup({isReplicated: true});
			await advance(500);
			one.fault = 'refuses';
			three.fault = 'silent';
			await advance(4000);
			assert.deepEqual(orders, []);
			three.fault = 'none';
			three.position = {term: 1, number: 110};
			await advance(3000);
			assert.deepEqual(orders.map(({target}) => target), [three.description.id]);
			stop.abort();
		});

		it('stops the replicas from receiving before it reads their positions', async () => {
			const {targets: [one, two, three], advance, stop} = createSetup({isReplicated: true, order: () => 'refused'});
			await advance(500);
			one.fault = 'refuses';
			await advance(1000);
			assert.ok(two.pauses > 0 && three.pauses > 0);
			stop.abort();
		});
	});

	describe('that is not the steward', () => {
		it('orders nothing', async () => {
			const {targets: [one], orders, advance, stop} = createSetup({isSteward: () => false});
			one.fault = 'refuses';
			await advance(4000);
			assert.deepEqual(orders, []);
			stop.abort();
		});
	});

	describe('whose order gets no answer', () => {
		it('draws a higher fencing number for the next, so that the first cannot be carried out late', async () => {
			const {targets: [one], orders, advance, stop} = createSetup({order: () => 'unknown'});
			await advance(500);
			one.fault = 'refuses';
			await advance(9000);
			assert.ok(orders.length >= 2);
			assert.ok(orders.every(({fence}, index) => index === 0 || fence > (orders[index - 1]?.fence ?? 0)));
			stop.abort();
		});
	});

	describe('ranking', () => {
		it('puts the longest log first, of a newer term before an older', () => {
			const [one, two] = [createFakeTarget('one', 'replica'), createFakeTarget('two', 'replica')];
			const ranked = rankReplicas([
				{
					target: one.description, status: {
						role: 'replica', term: 1, received: {term: 1, number: 200}, lagMs: 0,
					},
				},
				{
					target: two.description, status: {
						role: 'replica', term: 2, received: {term: 2, number: 150}, lagMs: 0,
					},
				},
			]);
			assert.equal(ranked[0]?.target, two.description);
		});
	});
});
