/** Database owner: consistency of reads, outcomes after lost replies, transactions and slots. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, brandId, type CustomerId, type DataCentreId, type Instant,
} from '@guavapitch/core';
import type {
	Consistency, StatementResponse, StatementRequest, TargetStatement,
} from '@guavapitch/sessions';
import type {Target} from '../targets.js';
import {createFakeOwner} from './fake-owner.js';
import {
	createFakeTarget, DATABASE, type FakeTarget,
} from './fake-targets.js';

const LATEST: Consistency = {kind: 'latest'};
const BOUNDED: Consistency = {kind: 'bounded', maxStalenessMs: 1500};
const READ: TargetStatement = {kind: 'text', access: 'read', text: 'READ a'};
const WRITE: TargetStatement = {kind: 'text', access: 'write', text: 'WRITE a b'};
const COMMIT: TargetStatement = {kind: 'commit', text: 'COMMIT'};

const createRequest = (statement: TargetStatement, consistency: Consistency, overrides: Partial<StatementRequest> = {}): StatementRequest => ({
	id: 'q1',
	database: DATABASE,
	customer: brandId<CustomerId>('club'),
	statement,
	consistency,
	floor: undefined,
	values: [],
	transaction: undefined,
	remainingMs: 1000,
	promptMs: 200,
	priority: 1,
	...overrides,
});

const createSetup = (targets: readonly FakeTarget[], isDataCentreReachable: (dataCentre: DataCentreId) => boolean = () => true) => {
	const {runtime, advance} = createVirtualRuntime(3);
	const owner = createFakeOwner(targets, runtime, {isDataCentreReachable});
	const run = async (request: StatementRequest): Promise<StatementResponse> => {
		let response: StatementResponse | undefined;
		void owner.serve(request).then(value => {
			response = value;
		});
		for (let step = 0; step < 400 && !response; step++) {
			await advance(5);
		}

		assert.ok(response, 'the statement got no response within 2 s');
		return response;
	};

	return {
		owner, run, advance, runtime,
	};
};

const createGroup = () => [createFakeTarget('primary', 'primary'), createFakeTarget('replica-1', 'replica'), createFakeTarget('replica-2', 'replica')] as const;

describe('database owner', () => {
	describe('latest reads', () => {
		it('run on the leader, in a transaction that is rolled back', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			const response = await run(createRequest(READ, LATEST));
			assert.equal(response.outcome.kind, 'done');
			assert.deepEqual(primary.executed.map(({isInTransaction}) => isInTransaction), [true]);
		});

		it('never run on a former leader that the registry still lists as primary', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			primary.role = 'replica';
			const response = await run(createRequest(READ, LATEST));
			assert.equal(response.outcome.kind, 'refused');
			assert.deepEqual([...primary.executed, ...replica1.executed, ...replica2.executed], []);
		});
	});

	describe('reads of bounded staleness', () => {
		it('require a verified position and skip replicas that have not reached it', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			await run(createRequest(WRITE, LATEST));
			replica1.position = {term: 1, number: 50};
			replica2.position = {term: 1, number: 50};
			const responses = [];
			for (let count = 0; count < 6; count++) {
				responses.push(await run(createRequest(READ, BOUNDED)));
			}

			assert.ok(responses.every(({outcome}) => outcome.kind === 'done'));
			assert.deepEqual([...replica1.executed, ...replica2.executed], []);
		});

		it('are refused when no leader confirms a position', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			primary.fault = 'refuses';
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind, 'refused');
			assert.deepEqual([...replica1.executed, ...replica2.executed], []);
		});

		it('see the last write of their session', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			const writeResponse = await run(createRequest(WRITE, {kind: 'ownWrites', maxStalenessMs: 2500}));
			for (let count = 0; count < 4; count++) {
				const readResponse = await run(createRequest(READ, {kind: 'ownWrites', maxStalenessMs: 2500}, {floor: writeResponse.position}));
				assert.equal(readResponse.outcome.kind, 'done');
			}

			assert.deepEqual([...replica1.executed, ...replica2.executed], [], 'the replicas are at position 100, the write is at 101');
		});

		it('are retried on another target when a reply is lost', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			replica1.dropsReplies = true;
			replica2.dropsReplies = true;
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind, 'done');
			assert.equal(response.target, 'primary');
		});
	});

	describe('a leader in an unreachable data centre', () => {
		/** An owner that has just started, with the primary out of reach. */
		const createCutSetup = () => {
			const [primary, replica1, replica2] = createGroup();
			primary.fault = 'silent';
			const cut = primary.description.dataCentre;
			const elsewhere = brandId<DataCentreId>('elsewhere');
			const replicas = [replica1, replica2].map(replica => Object.assign(replica, {description: {...replica.description, dataCentre: elsewhere}}));
			return {...createSetup([primary, ...replicas], dataCentre => dataCentre !== cut), replicas};
		};

		it('has what needs it refused at once with a time to come back', async () => {
			const {run, runtime} = createCutSetup();
			const requestedAt = runtime.now();
			for (const request of [createRequest(WRITE, LATEST), createRequest(READ, LATEST)]) {
				const {outcome} = await run(request);
				assert.ok(outcome.kind === 'refused' && outcome.code === 'busy' && outcome.retryAfterMs > 0);
			}

			assert.ok(runtime.now() - requestedAt <= 20);
		});

		it('has reads served by a replica as long as another owner verified a position recently enough', async () => {
			const {run, replicas} = createCutSetup();
			const position = {term: 1, number: 100};
			const recent = await run(createRequest(READ, BOUNDED, {verified: {position, ageMs: 1200}}));
			assert.equal(recent.outcome.kind, 'done');
			const old = await run(createRequest(READ, BOUNDED, {verified: {position, ageMs: 1450}}));
			assert.equal(old.outcome.kind, 'refused');
			assert.equal(replicas.flatMap(({executed}) => executed).length, 1);
		});

		it('has no read served by a replica that lacks the verified position', async () => {
			const {run, replicas} = createCutSetup();
			const {outcome} = await run(createRequest(READ, BOUNDED, {verified: {position: {term: 1, number: 101}, ageMs: 100}}));
			assert.equal(outcome.kind, 'refused');
			assert.deepEqual(replicas.flatMap(({executed}) => executed), []);
		});
	});

	describe('unresponsive targets', () => {
		it('have their running reads retried elsewhere well before the deadline', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run, runtime} = createSetup([primary, replica1, replica2]);
			await run(createRequest(READ, BOUNDED));
			replica1.fault = 'silent';
			replica2.fault = 'silent';
			const requestedAt = runtime.now();
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind, 'done');
			assert.equal(response.target, 'primary');
			assert.ok(runtime.now() - requestedAt < 1000);
		});

		it('get no reads until they respond to a probe', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run, advance} = createSetup([primary, replica1, replica2]);
			replica1.fault = 'refuses';
			replica2.fault = 'refuses';
			for (let count = 0; count < 3; count++) {
				assert.equal((await run(createRequest(READ, BOUNDED))).target, 'primary');
			}

			replica1.fault = 'none';
			await advance(700);
			assert.equal((await run(createRequest(READ, BOUNDED))).target, 'replica-1');
		});
	});

	describe('writes', () => {
		it('run once and have an unknown outcome when their reply is lost', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			primary.dropsReplies = true;
			const response = await run(createRequest(WRITE, LATEST));
			assert.equal(response.outcome.kind, 'unknown');
			assert.equal(primary.executed.length, 1);
		});

		it('are refused without having run while no target leads', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			primary.fault = 'refuses';
			const response = await run(createRequest(WRITE, LATEST));
			assert.equal(response.outcome.kind, 'refused');
			assert.equal(primary.executed.length, 0);
		});

		it('use no more slots than the target has', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {owner, advance} = createSetup([primary, replica1, replica2]);
			const responses = Promise.all(Array.from({length: 20}, async () => owner.serve(createRequest(WRITE, LATEST))));
			await advance(500);
			assert.ok((await responses).every(({outcome}) => outcome.kind === 'done'));
			assert.equal(primary.maxRunningCount, 2);
			assert.ok(primary.dialCount <= 3);
		});
	});

	describe('transactions', () => {
		const transaction = (isFirst: boolean) => ({transaction: {id: 't1', readOnly: false, isFirst}});

		it('use one connection from the first statement to the commit', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			assert.equal((await run(createRequest(WRITE, LATEST, transaction(true)))).status, 'open');
			assert.equal((await run(createRequest(READ, LATEST, transaction(false)))).status, 'open');
			assert.equal((await run(createRequest(COMMIT, LATEST, transaction(false)))).status, 'idle');
			assert.deepEqual(primary.executed.map(({text, isInTransaction}) => [text, isInTransaction]), [['WRITE a b', true], ['READ a', true], ['COMMIT', true]]);
			assert.equal(primary.dialCount, 1);
		});

		it('occupy no slot between statements', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			for (const id of ['t1', 't2', 't3', 't4']) {
				const response = await run(createRequest(WRITE, LATEST, {transaction: {id, readOnly: false, isFirst: true}}));
				assert.equal(response.status, 'open');
			}
		});

		it('are rolled back at the idle limit, and their next statement is aborted', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run, advance} = createSetup([primary, replica1, replica2]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			await advance(3500);
			const response = await run(createRequest(COMMIT, LATEST, transaction(false)));
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'aborted');
			assert.equal(primary.executed.length, 1);
		});

		it('have an unknown outcome when their commit gets no reply', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			primary.dropsReplies = true;
			const response = await run(createRequest(COMMIT, LATEST, transaction(false)));
			assert.equal(response.outcome.kind, 'unknown');
		});

		it('are aborted when their target is no longer the leader', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			primary.role = 'replica';
			const response = await run(createRequest(READ, LATEST, transaction(false)));
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'aborted');
			assert.equal(response.status, 'failed');
		});
	});

	describe('a leader that leaves', () => {
		const DRAIN_MS = 1000;
		/** Marks a target as leaving, with the end of its drain time. */
		const setDraining = ({description}: FakeTarget): Target => ({...description, isDraining: true, acceptsUntil: createDeadline(0 as Instant, DRAIN_MS)});
		const transaction = (isFirst: boolean, readOnly = false) => ({transaction: {id: 't1', readOnly, isFirst}});
		const requests: ReadonlyArray<readonly [name: string, request: StatementRequest]> = [
			['write', createRequest(WRITE, LATEST)],
			['latest read', createRequest(READ, LATEST)],
			['bounded read', createRequest(READ, BOUNDED)],
			['first statement of a transaction', createRequest(WRITE, LATEST, transaction(true))],
			['first statement of a read-only transaction', createRequest(READ, BOUNDED, transaction(true, true))],
		];

		for (const [name, request] of requests) {
			it(`runs a ${name} until its drain time ends, and refuses it at once afterwards if no other target is registered`, async () => {
				const primary = createFakeTarget('primary', 'primary');
				const {owner, run, advance, runtime} = createSetup([primary]);
				owner.setTargets([setDraining(primary)]);
				assert.equal((await run(request)).outcome.kind, 'done');
				owner.rollBack('t1');
				const executedCount = primary.executed.length;
				await advance(DRAIN_MS - runtime.now() - 100);
				const startedAt = runtime.now();
				const response = await run(request);
				assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'busy');
				assert.ok(runtime.now() - startedAt <= 5, `refused after ${runtime.now() - startedAt} ms`);
				assert.equal(primary.executed.length, executedCount);
			});
		}

		it('runs the remaining statements of a transaction after its drain time', async () => {
			const primary = createFakeTarget('primary', 'primary');
			const {owner, run, advance, runtime} = createSetup([primary]);
			owner.setTargets([setDraining(primary)]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			await advance(DRAIN_MS - runtime.now() + 100);
			const response = await run(createRequest(COMMIT, LATEST, transaction(false)));
			assert.equal(response.outcome.kind, 'done');
		});

		it('refuses waiting statements when its drain time ends', async () => {
			const primary = createFakeTarget('primary', 'primary', 1);
			primary.statementMs = 700;
			const {owner, run, runtime} = createSetup([primary]);
			owner.setTargets([setDraining(primary)]);
			const [, second, third] = await Promise.all([0, 1, 2].map(async () => run(createRequest(WRITE, LATEST, {remainingMs: 2000}))));
			assert.ok(runtime.now() < DRAIN_MS + 500, `answered after ${runtime.now()} ms`);
			assert.equal([second, third].filter(response => response?.outcome.kind === 'refused').length, 1);
		});

		it('runs nothing if opening the connection took until after its drain time', async () => {
			const primary = createFakeTarget('primary', 'primary');
			const {owner, run, advance, runtime} = createSetup([primary]);
			primary.dialMs = 200;
			owner.setTargets([setDraining(primary)]);
			await advance(DRAIN_MS - runtime.now() - 300);
			const response = await run(createRequest(WRITE, LATEST));
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'busy');
			assert.equal(primary.executed.length, 0);
		});

		it('has reads refused early, not at their deadline, once it has left and no target is registered', async () => {
			const primary = createFakeTarget('primary', 'primary');
			const {owner, run, runtime} = createSetup([primary]);
			await run(createRequest(READ, BOUNDED));
			owner.setTargets([]);
			const startedAt = runtime.now();
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'busy');
			assert.ok(runtime.now() - startedAt <= 300, `refused after ${runtime.now() - startedAt} ms`);
		});

		it('leaves bounded reads to a replica that stays', async () => {
			const [primary, replica1] = createGroup();
			const {owner, run, advance, runtime} = createSetup([primary, replica1]);
			owner.setTargets([setDraining(primary), replica1.description]);
			await advance(DRAIN_MS - runtime.now() + 100);
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.target, replica1.description.id);
		});
	});

	describe('session variables', () => {
		it('of one session never apply to statements of another', async () => {
			const [primary, replica1, replica2] = createGroup();
			const {run} = createSetup([primary, replica1, replica2]);
			for (const values of [[['x', '1']], [['y', '2']], [], [['x', '3']]] as ReadonlyArray<ReadonlyArray<readonly [string, string]>>) {
				await run(createRequest(WRITE, LATEST, {values}));
			}

			assert.deepEqual(primary.executed.map(({values}) => values), ['[["x","1"]]', '[["y","2"]]', '[]', '[["x","3"]]']);
		});

		// A statement was sent behind the commands that set its session up, and ran with another caller's values if the target refused one of these.
		for (const kind of ['set', 'reset', 'prepare'] as const) {
			for (const {name, statement, consistency, isInTransaction} of [
				{
					name: 'a write', statement: WRITE, consistency: LATEST, isInTransaction: false,
				},
				{
					name: 'a latest read', statement: READ, consistency: LATEST, isInTransaction: false,
				},
				{
					name: 'a bounded read', statement: READ, consistency: BOUNDED, isInTransaction: false,
				},
				{
					name: 'a transaction', statement: WRITE, consistency: LATEST, isInTransaction: true,
				},
			]) {
				it(`of another caller are not used by ${name} when the target refuses ${kind}`, async () => {
					const [primary] = createGroup();
					const {run, advance} = createSetup([primary]);
					const prepared = (id: string): TargetStatement => ({kind: 'prepared', prepared: {access: 'write', shape: id}, rest: 'a b'});
					const createOwnRequest = (id: string, values: StatementRequest['values']) => createRequest(kind === 'prepare' ? prepared(id) : statement, consistency, {
						id, values, transaction: isInTransaction ? {id: `t-${id}`, readOnly: false, isFirst: true} : undefined,
					});
					await run(createOwnRequest('before', [['x', '1'], ['y', '1']]));
					if (isInTransaction) {
						await run(createRequest(COMMIT, consistency, {id: 'commit', values: [['x', '1'], ['y', '1']], transaction: {id: 't-before', readOnly: false, isFirst: false}}));
					}

					primary.refusedKinds.add(kind);
					const response = await run(createOwnRequest('refused', [['x', '2']]));
					await advance(100);
					primary.refusedKinds.clear();
					const isDone = response.outcome.kind === 'done';
					assert.equal(primary.executed.some(({id}) => id === 'refused'), isDone);
					const after = await run(createOwnRequest('after', [['x', '2']]));
					assert.equal(after.outcome.kind, 'done');
					for (const {id, values} of primary.executed) {
						assert.equal(values, id === 'before' || id === 'commit' ? '[["x","1"],["y","1"]]' : '[["x","2"]]', id);
					}
				});
			}
		}
	});
});
