/** Evacuation of a data centre: nothing reaches its targets after the bound, and its primary is replaced by a planned change. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createDeadline, createVirtualRuntime, NEVER, type CustomerId, type Deadline, type Instant, type TargetId,
} from '@guavapitch/core';
import type {StatementRequest, StatementResponse, TargetStatement} from '@guavapitch/sessions';
import {runFailoverCoordinator} from '../failover-coordinator.js';
import type {FailoverCoordinatorEvent, PromotionOutcome} from '../promotions.js';
import {NO_GROUP_STORE} from '../replication-groups.js';
import {createFakeOwner} from './fake-owner.js';
import {createFakeTarget, DATABASE, type FakeTarget} from './fake-targets.js';

/** Time after the evacuation is known until nothing more may be sent, in milliseconds. */
const SENDING_MS = 4000;
const PROMOTION_MS = 600;
const READ: TargetStatement = {kind: 'text', access: 'read', text: 'READ a'};
const WRITE: TargetStatement = {kind: 'text', access: 'write', text: 'WRITE a b'};
const COMMIT: TargetStatement = {kind: 'commit', text: 'COMMIT'};

type Options = Readonly<{hasCoordinator?: boolean; isStoreDown?: boolean; isSynchronouslyReplicated?: boolean; requestPromotion?: () => PromotionOutcome}>;

/** Creates an owner of a primary in `north` and of replicas in `south` and, with the same log, in `west`. */
const createSetup = (options: Options = {}) => {
	const {runtime, advance} = createVirtualRuntime(4);
	const targets = [createFakeTarget('primary', 'primary', 2, 'north'), createFakeTarget('replica-1', 'replica', 2, 'south'), createFakeTarget('replica-2', 'replica', 2, 'west')] as const;
	const deadlines = new Map<string, Deadline>();
	const owner = createFakeOwner(targets, runtime, {
		getEvacuationDeadline: dataCentre => deadlines.get(dataCentre) ?? NEVER,
	});
	const promoted: TargetId[] = [];
	const events: FailoverCoordinatorEvent[] = [];
	const stop = new AbortController();

	/** Replaces the evacuated data centres; the evacuations are known from now on. */
	const evacuate = (...dataCentres: readonly string[]) => {
		deadlines.clear();
		for (const dataCentre of dataCentres) {
			deadlines.set(dataCentre, createDeadline(runtime.now(), SENDING_MS));
		}

		owner.setTargets(targets.map(({description}) => ({...description, isEvacuated: dataCentres.includes(description.dataCentre)})));
	};

	const promote = async (id: TargetId): Promise<PromotionOutcome> => {
		promoted.push(id);
		await runtime.sleep(PROMOTION_MS);
		const outcome = options.requestPromotion?.() ?? 'done';
		if (outcome === 'done') {
			const term = Math.max(...targets.map(({position}) => position.term)) + 1;
			for (const target of targets) {
				target.role = target.description.id === id ? 'primary' : 'replica';
				target.position = {...target.position, term};
			}
		}

		return outcome;
	};

	if (options.hasCoordinator) {
		void runFailoverCoordinator({
			runtime,
			database: DATABASE,
			owner,
			isCoordinator: () => true,
			drawFencingToken: async () => options.isStoreDown ? undefined : 1,
			requestPromotion: async ({id}) => promote(id),
			isReachableFromPeers: async () => false,
			isSynchronouslyReplicated: () => options.isSynchronouslyReplicated ?? false,
			groupStore: {
				...NO_GROUP_STORE,
				read: async () => (await NO_GROUP_STORE.read()).map(stored => ({
					...stored, registered: targets.map(({description}) => ({...description, isDraining: deadlines.has(description.dataCentre)})),
				})),
			},
			onEvent(event) {
				events.push(event);
			},
		}, stop.signal);
	}

	const createRequest = (statement: TargetStatement, overrides: Partial<StatementRequest> = {}): StatementRequest => ({
		id: 'q1',
		database: DATABASE,
		customer: brandId<CustomerId>('club'),
		statement,
		consistency: {kind: 'latest'},
		floor: undefined,
		values: [],
		transaction: undefined,
		remainingMs: 2000,
		promptMs: 300,
		priority: 1,
		...overrides,
	});

	/** Runs a statement to its end; returns the response and how long it took. */
	const run = async (statement: TargetStatement, overrides: Partial<StatementRequest> = {}): Promise<StatementResponse & Readonly<{ms: number}>> => {
		const startedAt = runtime.now();
		let response: StatementResponse & Readonly<{ms: number}> | undefined;
		void owner.serve(createRequest(statement, overrides)).then(value => {
			response = {...value, ms: runtime.now() - startedAt};
		});
		while (!response) {
			await advance(1);
			assert.ok(runtime.now() - startedAt < 3000, 'no response');
		}

		return response;
	};

	const advanceTo = async (ms: number) => advance(Math.max(0, ms - runtime.now()));
	return {
		targets, owner, evacuate, run, advance, advanceTo, runtime, promoted, events, stop,
	};
};

/** Runs reads and writes until the clock has reached an instant; returns the outcomes of the writes. */
const runUntil = async ({run, runtime}: ReturnType<typeof createSetup>, untilMs: number) => {
	const writes = [];
	while (runtime.now() < untilMs) {
		await run(READ, {consistency: {kind: 'bounded', maxStalenessMs: 1500}});
		writes.push(await run(WRITE));
	}

	return writes;
};

const getLastReachedAt = (...targets: readonly FakeTarget[]): Instant => Math.max(...targets.map(({lastReachedAt}) => lastReachedAt)) as Instant;

describe('evacuation', () => {
	describe('of the data centre of a replica', () => {
		it('takes its reads away at once, and sends it nothing after the bound', async () => {
			const setup = createSetup({hasCoordinator: true});
			const {targets: [, replica1], evacuate, advanceTo, promoted, stop} = setup;
			await advanceTo(200);
			evacuate('south');
			const executedBefore = replica1.executed.length;
			await runUntil(setup, 9000);
			assert.equal(replica1.executed.length, executedBefore);
			assert.ok(getLastReachedAt(replica1) <= 200 + SENDING_MS, `reached at ${replica1.lastReachedAt} ms`);
			assert.deepEqual(promoted, []);
			stop.abort();
		});
	});

	describe('of the data centre of the primary', () => {
		it('promotes a target elsewhere, while writes wait, and sends the old primary nothing after the bound', async () => {
			const setup = createSetup({hasCoordinator: true});
			const {targets: [primary, replica1, replica2], evacuate, advanceTo, promoted, stop} = setup;
			await advanceTo(200);
			// The longest log is in a data centre that is evacuated too.
			replica1.position = {term: 1, number: 120};
			primary.position = {term: 1, number: 120};
			replica2.position = {term: 1, number: 120};
			evacuate('north', 'south');
			const writes = await runUntil(setup, 9000);
			assert.deepEqual(writes.filter(({outcome}) => outcome.kind !== 'done'), []);
			assert.deepEqual(promoted, [replica2.description.id]);
			assert.equal(writes.at(0)?.target, replica2.description.id);
			assert.ok(getLastReachedAt(primary, replica1) <= 200 + SENDING_MS);
			stop.abort();
		});

		it('refuses writes at once after the bound, with a retry time, if the store is down and nothing can be promoted', async () => {
			const setup = createSetup({hasCoordinator: true, isStoreDown: true});
			const {targets: [primary], evacuate, advanceTo, run, promoted, stop} = setup;
			await advanceTo(200);
			evacuate('north');
			await advanceTo(200 + SENDING_MS);
			const {outcome, ms} = await run(WRITE);
			assert.ok(outcome.kind === 'refused' && outcome.code === 'busy' && outcome.retryAfterMs > 0);
			assert.ok(ms <= 2, `refused after ${ms} ms`);
			await runUntil(setup, 9000);
			assert.ok(getLastReachedAt(primary) <= 200 + SENDING_MS);
			assert.deepEqual(promoted, []);
			stop.abort();
		});

		it('finishes a promotion that has begun when it ends, and promotes nothing back', async () => {
			const {targets: [, replica1, replica2], evacuate, advanceTo, promoted, owner, run, stop} = createSetup({hasCoordinator: true});
			await advanceTo(200);
			replica2.position = {term: 1, number: 90};
			evacuate('north');
			await advanceTo(500);
			evacuate();
			await advanceTo(6000);
			assert.deepEqual(promoted, [replica1.description.id]);
			assert.equal(owner.components.leaderTracker.getLeader(), replica1.description.id);
			assert.equal((await run(WRITE)).target, replica1.description.id);
			stop.abort();
		});

		it('does not choose a synchronous replica of an evacuated data centre, even if only that one has the whole log', async () => {
			const {targets: [primary, replica1, replica2], evacuate, advanceTo, promoted, stop} = createSetup({hasCoordinator: true, isSynchronouslyReplicated: true});
			await advanceTo(1500);
			replica1.position = {term: 1, number: 120};
			primary.fault = 'refuses';
			evacuate('south');
			await advanceTo(3500);
			assert.deepEqual(promoted, []);
			replica2.position = {term: 1, number: 120};
			await advanceTo(5000);
			assert.deepEqual(promoted, [replica2.description.id]);
			stop.abort();
		});
	});

	describe('of a data centre into which a promotion is in flight', () => {
		it('is followed by a planned change away from it', async () => {
			const {targets: [primary, replica1, replica2], evacuate, advanceTo, promoted, run, stop} = createSetup({hasCoordinator: true});
			await advanceTo(500);
			primary.fault = 'refuses';
			replica2.position = {term: 1, number: 90};
			while (promoted.length === 0) {
				await advanceTo(0);
				await run(READ);
			}

			evacuate('south');
			replica2.position = {term: 2, number: 100};
			const bound = getLastReachedAt(replica1) + SENDING_MS;
			await advanceTo(9000);
			assert.deepEqual(promoted, [replica1.description.id, replica2.description.id]);
			assert.ok(getLastReachedAt(replica1) <= bound);
			stop.abort();
		});
	});

	describe('of all data centres of a database', () => {
		it('refuses statements at once with a retry time, reports it once and promotes nothing', async () => {
			const {targets, evacuate, advanceTo, run, promoted, events, stop} = createSetup({hasCoordinator: true});
			await advanceTo(500);
			evacuate('north', 'south', 'west');
			for (const overrides of [{}, {consistency: {kind: 'bounded', maxStalenessMs: 1500}} as const, {transaction: {id: 't', readOnly: false, isFirst: true}}]) {
				const {outcome, ms} = await run(READ, overrides);
				assert.ok(outcome.kind === 'refused' && outcome.code === 'busy' && outcome.retryAfterMs > 0);
				assert.ok(ms <= 2, `refused after ${ms} ms`);
			}

			await advanceTo(9000);
			assert.deepEqual(promoted, []);
			assert.equal(events.length, 1);
			assert.ok(getLastReachedAt(...targets) <= 500 + SENDING_MS);
			assert.deepEqual(targets.flatMap(({executed}) => executed), []);
			stop.abort();
		});
	});

	describe('of the data centre of an open transaction', () => {
		it('leaves it a bounded time and then ends it, so that nothing of it is kept', async () => {
			const {targets: [primary], evacuate, advanceTo, run, owner} = createSetup();
			const transaction = {id: 't1', readOnly: false, isFirst: true};
			await run(WRITE, {transaction});
			await advanceTo(200);
			evacuate('north');
			await advanceTo(2500);
			assert.equal((await run(WRITE, {transaction: {...transaction, isFirst: false}})).status, 'open');
			await advanceTo(200 + SENDING_MS);
			assert.equal(owner.components.transactions.getOpenCount(), 0);
			const {outcome} = await run(COMMIT, {transaction: {...transaction, isFirst: false}});
			assert.ok(outcome.kind === 'refused' && outcome.code === 'aborted');
			assert.ok(getLastReachedAt(primary) <= 200 + SENDING_MS);
			assert.deepEqual(primary.executed.map(({text}) => text), ['WRITE a b', 'WRITE a b']);
		});

		it('does not end it if the evacuation has ended before', async () => {
			const {evacuate, advanceTo, run} = createSetup();
			const transaction = {id: 't1', readOnly: false, isFirst: true};
			await run(WRITE, {transaction});
			evacuate('north');
			await advanceTo(1000);
			evacuate();
			for (let at = 2000; at <= 6000; at += 2000) {
				await advanceTo(at);
				assert.equal((await run(WRITE, {transaction: {...transaction, isFirst: false}})).status, 'open');
			}

			assert.equal((await run(COMMIT, {transaction: {...transaction, isFirst: false}})).outcome.kind, 'done');
		});
	});
});
