/** Failover coordinator: replaces a primary that has failed or is leaving, but only while it holds the role. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, type TargetId,
} from '@guavapitch/core';
import {runFailoverCoordinator} from '../failover-coordinator.js';
import {rankReplicas, type FailoverCoordinatorEvent, type PromotionOutcome} from '../promotions.js';
import {NO_GROUP_STORE} from '../replication-groups.js';
import {createFakeOwner} from './fake-owner.js';
import {
	createFakeTarget, DATABASE, type FakeTarget,
} from './fake-targets.js';

type PromotionRequest = Readonly<{target: TargetId; fencingToken: number}>;

type Options = Readonly<{
	isCoordinator?: () => boolean;
	/** Time that other vms take to tell whether they reach the primary, in milliseconds. */
	peerResponseMs?: number;
	isReachableFromPeers?: boolean;
	/** Whether the registry lists the targets from the start. */
	isAlreadyRegistered?: boolean;
	isSynchronouslyReplicated?: boolean;
	requestPromotion?: (request: PromotionRequest, targets: readonly FakeTarget[]) => PromotionOutcome;
}>;

const createSetup = (options: Options = {}) => {
	const {runtime, advance} = createVirtualRuntime(5);
	const targets = [createFakeTarget('primary', 'primary'), createFakeTarget('replica-1', 'replica'), createFakeTarget('replica-2', 'replica')] as const;
	const owner = createFakeOwner(targets, runtime);
	if (options.isAlreadyRegistered === false) {
		owner.setTargets([]);
	}

	const promotionRequests: PromotionRequest[] = [];
	const events: FailoverCoordinatorEvent[] = [];
	const stop = new AbortController();
	let fencingToken = 0;

	/** Promotes a target on request, as the platform does. */
	const promoteTarget = (request: PromotionRequest): PromotionOutcome => {
		for (const target of targets) {
			const isLeader = target.description.id === request.target;
			target.role = isLeader ? 'primary' : 'replica';
			if (isLeader) {
				target.position = {term: target.position.term + 1, number: target.position.number};
			}
		}

		return 'done';
	};

	void runFailoverCoordinator({
		runtime,
		database: DATABASE,
		owner,
		isCoordinator: options.isCoordinator ?? (() => true),
		drawFencingToken: async () => ++fencingToken,
		async requestPromotion({id: target}, token) {
			promotionRequests.push({target, fencingToken: token});
			return options.requestPromotion ? options.requestPromotion({target, fencingToken: token}, targets) : promoteTarget({target, fencingToken: token});
		},
		async isReachableFromPeers() {
			await runtime.sleep(options.peerResponseMs ?? 0);
			return options.isReachableFromPeers ?? false;
		},
		isSynchronouslyReplicated: () => options.isSynchronouslyReplicated ?? false,
		groupStore: NO_GROUP_STORE,
		onEvent(event) {
			events.push(event);
		},
	}, stop.signal);
	return {
		targets, owner, promotionRequests, events, advance, stop,
	};
};

describe('failover coordinator', () => {
	describe('with a primary that refuses connections', () => {
		it('promotes the replica with the longest log', async () => {
			const {targets: [primary, replica1, replica2], promotionRequests, advance, owner, stop} = createSetup();
			await advance(500);
			assert.deepEqual(promotionRequests, []);
			replica1.position = {term: 1, number: 90};
			replica2.position = {term: 1, number: 95};
			primary.fault = 'refuses';
			await advance(1500);
			assert.deepEqual(promotionRequests.map(({target}) => target), [replica2.description.id]);
			assert.equal(owner.components.leaderTracker.getLeader(), replica2.description.id);
			stop.abort();
		});
	});

	describe('with an unresponsive primary', () => {
		it('promotes a replica if no other vm reaches the primary', async () => {
			const {targets: [primary], promotionRequests, advance, stop} = createSetup();
			await advance(500);
			primary.fault = 'silent';
			await advance(3500);
			assert.equal(promotionRequests.length, 1);
			stop.abort();
		});

		it('asks other vms while its own ping goes on, so that their timeout does not delay the promotion', async () => {
			const {targets: [primary], promotionRequests, advance, stop} = createSetup({peerResponseMs: 500});
			await advance(500);
			primary.fault = 'silent';
			await advance(1400);
			assert.equal(promotionRequests.length, 1);
			stop.abort();
		});

		it('promotes nothing while another vm reaches the primary', async () => {
			const {targets: [primary], promotionRequests, advance, stop} = createSetup({isReachableFromPeers: true});
			await advance(500);
			primary.fault = 'silent';
			await advance(5000);
			assert.deepEqual(promotionRequests, []);
			stop.abort();
		});
	});

	describe('with a primary that is leaving', () => {
		it('promotes a replica that has caught up', async () => {
			const {targets: [primary, replica1, replica2], promotionRequests, advance, owner, stop} = createSetup();
			await advance(500);
			replica1.position = {term: 1, number: 60};
			owner.setTargets([primary, replica1, replica2].map(({description}) => description === primary.description ? {...description, isDraining: true} : description));
			await advance(600);
			assert.deepEqual(promotionRequests.map(({target}) => target), [replica2.description.id]);
			stop.abort();
		});

		it('reports once that no target can replace it', async () => {
			const {targets: [primary], owner, events, advance, stop} = createSetup();
			await advance(500);
			owner.setTargets([{...primary.description, isDraining: true}]);
			await advance(1000);
			assert.deepEqual(events.map(({kind, target}) => ({kind, target})), [{kind: 'failed', target: primary.description.id}]);
			stop.abort();
		});
	});

	describe('with a replaced primary that counts as leader and is leaving', () => {
		it('orders no promotion of the present primary (it was ordered again and again while writes were paused)', async () => {
			const {targets: [oldPrimary, newPrimary, replica], promotionRequests, events, advance, owner, stop} = createSetup();
			await advance(500);
			Object.assign(oldPrimary, {role: 'replica'});
			Object.assign(newPrimary, {role: 'primary', position: {term: 2, number: 100}});
			owner.setTargets([{...oldPrimary.description, isDraining: true, role: 'replica'}, {...newPrimary.description, role: 'primary'}, replica.description]);
			await advance(1);
			owner.components.leaderTracker.markLeading(oldPrimary.description.id, owner.components.context.runtime.now());
			assert.equal(owner.components.leaderTracker.getLeader(), oldPrimary.description.id);
			await advance(3000);
			assert.deepEqual(promotionRequests, []);
			assert.equal(owner.components.leaderTracker.getLeader(), newPrimary.description.id);
			assert.deepEqual(events.map(({kind}) => kind), ['started', 'failed']);
			stop.abort();
		});
	});

	describe('with a primary whose entry is missing', () => {
		// After an outage of the store, a vm that has just become the coordinator must not replace a primary whose entry is not back yet.
		it('promotes nothing before the entry had time to come back', async () => {
			const {targets: [primary, replica1, replica2], promotionRequests, advance, owner, stop} = createSetup({isAlreadyRegistered: false});
			owner.setTargets([replica1.description, replica2.description]);
			await advance(3500);
			assert.deepEqual(promotionRequests, []);
			owner.setTargets([primary.description, replica1.description, replica2.description]);
			await advance(3000);
			assert.deepEqual(promotionRequests, []);
			stop.abort();
		});

		it('promotes nothing because of what it saw before it lost the role', async () => {
			let isCoordinator = true;
			const {targets: [primary, replica1, replica2], promotionRequests, advance, owner, stop} = createSetup({isCoordinator: () => isCoordinator});
			await advance(500);
			owner.setTargets([replica1.description, replica2.description]);
			await advance(400);
			isCoordinator = false;
			await advance(5000);
			isCoordinator = true;
			await advance(2000);
			assert.deepEqual(promotionRequests, []);
			owner.setTargets([primary.description, replica1.description, replica2.description]);
			await advance(1000);
			assert.deepEqual(promotionRequests, []);
			stop.abort();
		});

		it('promotes a replica once the entry had time to come back', async () => {
			const {targets: [, replica1, replica2], promotionRequests, advance, owner, stop} = createSetup({isAlreadyRegistered: false});
			owner.setTargets([replica1.description, replica2.description]);
			await advance(5000);
			assert.equal(promotionRequests.length, 1);
			stop.abort();
		});
	});

	describe('with synchronous replication', () => {
		it('promotes nothing while a replica is unresponsive, as it may be the only one with an acknowledged commit', async () => {
			const {targets: [primary, , replica2], promotionRequests, advance, stop} = createSetup({isSynchronouslyReplicated: true});
			await advance(500);
			primary.fault = 'refuses';
			replica2.fault = 'silent';
			await advance(4000);
			assert.deepEqual(promotionRequests, []);
			replica2.fault = 'none';
			replica2.position = {term: 1, number: 110};
			await advance(3000);
			assert.deepEqual(promotionRequests.map(({target}) => target), [replica2.description.id]);
			stop.abort();
		});

		it('stops the replicas from receiving before it reads their positions, so that the old primary acknowledges nothing more', async () => {
			const {targets: [primary, replica1, replica2], advance, stop} = createSetup({isSynchronouslyReplicated: true, requestPromotion: () => 'refused'});
			await advance(500);
			primary.fault = 'refuses';
			await advance(1000);
			assert.ok(replica1.pauseCount > 0 && replica2.pauseCount > 0);
			stop.abort();
		});
	});

	describe('without the coordinator role', () => {
		it('promotes nothing', async () => {
			const {targets: [primary], promotionRequests, advance, stop} = createSetup({isCoordinator: () => false});
			primary.fault = 'refuses';
			await advance(4000);
			assert.deepEqual(promotionRequests, []);
			stop.abort();
		});
	});

	describe('with a promotion request that gets no response', () => {
		it('draws a higher fencing token for the next request, so that the first cannot be carried out late', async () => {
			const {targets: [primary], promotionRequests, advance, stop} = createSetup({requestPromotion: () => 'unknown'});
			await advance(500);
			primary.fault = 'refuses';
			await advance(9000);
			assert.ok(promotionRequests.length >= 2);
			assert.ok(promotionRequests.every(({fencingToken}, index) => index === 0 || fencingToken > (promotionRequests[index - 1]?.fencingToken ?? 0)));
			stop.abort();
		});
	});

	describe('rankReplicas', () => {
		it('puts the longest log first; a position of a newer term is ahead of any older one', () => {
			const [replica1, replica2] = [createFakeTarget('replica-1', 'replica'), createFakeTarget('replica-2', 'replica')];
			const ranked = rankReplicas([
				{
					target: replica1.description, status: {
						role: 'replica', term: 1, received: {term: 1, number: 200}, heldTerm: 0, lagMs: 0,
					},
				},
				{
					target: replica2.description, status: {
						role: 'replica', term: 2, received: {term: 2, number: 150}, heldTerm: 0, lagMs: 0,
					},
				},
			]);
			assert.equal(ranked[0]?.target, replica2.description);
		});
	});
});
