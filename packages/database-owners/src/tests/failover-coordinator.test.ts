/** Failover coordinator: replaces a primary that has failed or is leaving, but only while it holds the role. */

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

type PromotionOrder = Readonly<{target: TargetId; fencingToken: number}>;

type Options = Readonly<{
	isCoordinator?: () => boolean;
	isReachableFromPeers?: boolean;
	isSynchronouslyReplicated?: boolean;
	orderPromotion?: (order: PromotionOrder, targets: readonly FakeTarget[]) => PromotionOutcome;
}>;

const createSetup = (options: Options = {}) => {
	const {world, advance} = createVirtualWorld(5);
	const targets = [createFakeTarget('one', 'primary'), createFakeTarget('two', 'replica'), createFakeTarget('three', 'replica')] as const;
	const owner = createFakeOwner(targets, world);
	const orders: PromotionOrder[] = [];
	const stop = new AbortController();
	let fencingToken = 0;

	/** Carries out a promotion order, as the platform does. */
	const applyOrder = (order: PromotionOrder): PromotionOutcome => {
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
		owner,
		isCoordinator: options.isCoordinator ?? (() => true),
		drawFencingToken: async () => ++fencingToken,
		async requestPromotion(target, token) {
			orders.push({target, fencingToken: token});
			return options.orderPromotion ? options.orderPromotion({target, fencingToken: token}, targets) : applyOrder({target, fencingToken: token});
		},
		isReachableFromPeers: async () => options.isReachableFromPeers ?? false,
		isSynchronouslyReplicated: () => options.isSynchronouslyReplicated ?? false,
		onEvent: () => undefined,
	}, stop.signal);
	return {
		targets, owner, orders, advance, stop,
	};
};

describe('failover coordinator', () => {
	describe('with a primary that refuses connections', () => {
		it('promotes the replica with the longest log', async () => {
			const {targets: [one, two, three], orders, advance, owner, stop} = createSetup();
			await advance(500);
			assert.deepEqual(orders, []);
			two.position = {term: 1, number: 90};
			three.position = {term: 1, number: 95};
			one.fault = 'refuses';
			await advance(1500);
			assert.deepEqual(orders.map(({target}) => target), [three.description.id]);
			assert.equal(owner.components.leaderTracker.getLeader(), three.description.id);
			stop.abort();
		});
	});

	describe('with an unresponsive primary', () => {
		it('promotes a replica if no other vm reaches the primary', async () => {
			const {targets: [one], orders, advance, stop} = createSetup();
			await advance(500);
			one.fault = 'silent';
			await advance(3500);
			assert.equal(orders.length, 1);
			stop.abort();
		});

		it('promotes nothing while another vm reaches the primary', async () => {
			const {targets: [one], orders, advance, stop} = createSetup({isReachableFromPeers: true});
			await advance(500);
			one.fault = 'silent';
			await advance(5000);
			assert.deepEqual(orders, []);
			stop.abort();
		});
	});

	describe('with a primary that is leaving', () => {
		it('promotes a replica that has caught up', async () => {
			const {targets: [one, two, three], orders, advance, owner, stop} = createSetup();
			await advance(500);
			two.position = {term: 1, number: 60};
			owner.setTargets([one, two, three].map(({description}) => description === one.description ? {...description, isDraining: true} : description));
			await advance(600);
			assert.deepEqual(orders.map(({target}) => target), [three.description.id]);
			stop.abort();
		});
	});

	describe('with synchronous replication', () => {
		it('promotes nothing while a replica is unresponsive, as it may be the only one with an acknowledged commit', async () => {
			const {targets: [one, , three], orders, advance, stop} = createSetup({isSynchronouslyReplicated: true});
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

		it('stops the replicas from receiving before it reads their positions, so that the old primary acknowledges nothing more', async () => {
			const {targets: [one, two, three], advance, stop} = createSetup({isSynchronouslyReplicated: true, orderPromotion: () => 'refused'});
			await advance(500);
			one.fault = 'refuses';
			await advance(1000);
			assert.ok(two.pauses > 0 && three.pauses > 0);
			stop.abort();
		});
	});

	describe('without the coordinator role', () => {
		it('promotes nothing', async () => {
			const {targets: [one], orders, advance, stop} = createSetup({isCoordinator: () => false});
			one.fault = 'refuses';
			await advance(4000);
			assert.deepEqual(orders, []);
			stop.abort();
		});
	});

	describe('with a promotion order that gets no response', () => {
		it('draws a higher fencing token for the next order, so that the first cannot be carried out late', async () => {
			const {targets: [one], orders, advance, stop} = createSetup({orderPromotion: () => 'unknown'});
			await advance(500);
			one.fault = 'refuses';
			await advance(9000);
			assert.ok(orders.length >= 2);
			assert.ok(orders.every(({fencingToken}, index) => index === 0 || fencingToken > (orders[index - 1]?.fencingToken ?? 0)));
			stop.abort();
		});
	});

	describe('rankReplicas', () => {
		it('puts the longest log first; a position of a newer term is ahead of any older one', () => {
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
