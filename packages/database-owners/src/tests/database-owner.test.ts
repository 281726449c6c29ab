/** Database owner: consistency of reads, outcomes after lost replies, transactions and slots. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualWorld, parseId, type CustomerId,
} from '@guavapitch/core';
import type {
	Consistency, StatementResponse, StatementRequest, TargetStatement,
} from '@guavapitch/sessions';
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
	customer: parseId<CustomerId>('club'),
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

const createSetup = (targets: readonly FakeTarget[]) => {
	const {world, advance} = createVirtualWorld(3);
	const owner = createFakeOwner(targets, world);
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
		owner, run, advance, world,
	};
};

const createGroup = () => [createFakeTarget('one', 'primary'), createFakeTarget('two', 'replica'), createFakeTarget('three', 'replica')] as const;

describe('database owner', () => {
	describe('latest reads', () => {
		it('run on the leader, in a transaction that is rolled back', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			const response = await run(createRequest(READ, LATEST));
			assert.equal(response.outcome.kind, 'done');
			assert.deepEqual(one.executed.map(({inTransaction}) => inTransaction), [true]);
		});

		it('never run on a former leader that the registry still lists as primary', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.role = 'replica';
			const response = await run(createRequest(READ, LATEST));
			assert.equal(response.outcome.kind, 'refused');
			assert.deepEqual([...one.executed, ...two.executed, ...three.executed], []);
		});
	});

	describe('reads of bounded staleness', () => {
		it('require a verified position and skip replicas that have not reached it', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST));
			two.position = {term: 1, number: 50};
			three.position = {term: 1, number: 50};
			const responses = [];
			for (let count = 0; count < 6; count++) {
				responses.push(await run(createRequest(READ, BOUNDED)));
			}

			assert.ok(responses.every(({outcome}) => outcome.kind === 'done'));
			assert.deepEqual([...two.executed, ...three.executed], []);
		});

		it('are refused when no leader confirms a position', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.fault = 'refuses';
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind, 'refused');
			assert.deepEqual([...two.executed, ...three.executed], []);
		});

		it('see the last write of their session', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			const writeResponse = await run(createRequest(WRITE, {kind: 'ownWrites', maxStalenessMs: 2500}));
			for (let count = 0; count < 4; count++) {
				const readResponse = await run(createRequest(READ, {kind: 'ownWrites', maxStalenessMs: 2500}, {floor: writeResponse.position}));
				assert.equal(readResponse.outcome.kind, 'done');
			}

			assert.deepEqual([...two.executed, ...three.executed], [], 'the replicas are at position 100, the write is at 101');
		});

		it('are retried on another target when a reply is lost', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			two.dropsReplies = true;
			three.dropsReplies = true;
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind, 'done');
			assert.equal(response.target, 'one');
		});
	});

	describe('unresponsive targets', () => {
		it('have their running reads retried elsewhere well before the deadline', async () => {
			const [one, two, three] = createGroup();
			const {run, world} = createSetup([one, two, three]);
			await run(createRequest(READ, BOUNDED));
			two.fault = 'silent';
			three.fault = 'silent';
			const requestedAt = world.now();
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind, 'done');
			assert.equal(response.target, 'one');
			assert.ok(world.now() - requestedAt < 1000);
		});

		it('get no reads until they respond to a probe', async () => {
			const [one, two, three] = createGroup();
			const {run, advance} = createSetup([one, two, three]);
			two.fault = 'refuses';
			three.fault = 'refuses';
			for (let count = 0; count < 3; count++) {
				assert.equal((await run(createRequest(READ, BOUNDED))).target, 'one');
			}

			two.fault = 'none';
			await advance(700);
			assert.equal((await run(createRequest(READ, BOUNDED))).target, 'two');
		});
	});

	describe('writes', () => {
		it('run once and have an unknown outcome when their reply is lost', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.dropsReplies = true;
			const response = await run(createRequest(WRITE, LATEST));
			assert.equal(response.outcome.kind, 'unknown');
			assert.equal(one.executed.length, 1);
		});

		it('are refused without having run while no target leads', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.fault = 'refuses';
			const response = await run(createRequest(WRITE, LATEST));
			assert.equal(response.outcome.kind, 'refused');
			assert.equal(one.executed.length, 0);
		});

		it('use no more slots than the target has', async () => {
			const [one, two, three] = createGroup();
			const {owner, advance} = createSetup([one, two, three]);
			const responses = Promise.all(Array.from({length: 20}, async () => owner.serve(createRequest(WRITE, LATEST))));
			await advance(500);
			assert.ok((await responses).every(({outcome}) => outcome.kind === 'done'));
			assert.equal(one.maxRunning, 2);
			assert.ok(one.dials <= 3);
		});
	});

	describe('transactions', () => {
		const transaction = (isFirst: boolean) => ({transaction: {id: 't1', readOnly: false, isFirst}});

		it('use one connection from the first statement to the commit', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			assert.equal((await run(createRequest(WRITE, LATEST, transaction(true)))).status, 'open');
			assert.equal((await run(createRequest(READ, LATEST, transaction(false)))).status, 'open');
			assert.equal((await run(createRequest(COMMIT, LATEST, transaction(false)))).status, 'idle');
			assert.deepEqual(one.executed.map(({text, inTransaction}) => [text, inTransaction]), [['WRITE a b', true], ['READ a', true], ['COMMIT', true]]);
			assert.equal(one.dials, 1);
		});

		it('occupy no slot between statements', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			for (const id of ['t1', 't2', 't3', 't4']) {
				const response = await run(createRequest(WRITE, LATEST, {transaction: {id, readOnly: false, isFirst: true}}));
				assert.equal(response.status, 'open');
			}
		});

		it('are rolled back at the idle limit, and their next statement is aborted', async () => {
			const [one, two, three] = createGroup();
			const {run, advance} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			await advance(3500);
			const response = await run(createRequest(COMMIT, LATEST, transaction(false)));
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'aborted');
			assert.equal(one.executed.length, 1);
		});

		it('have an unknown outcome when their commit gets no reply', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			one.dropsReplies = true;
			const response = await run(createRequest(COMMIT, LATEST, transaction(false)));
			assert.equal(response.outcome.kind, 'unknown');
		});

		it('are aborted when their target is no longer the leader', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			one.role = 'replica';
			const response = await run(createRequest(READ, LATEST, transaction(false)));
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'aborted');
			assert.equal(response.status, 'failed');
		});
	});

	describe('session variables', () => {
		it('of one session never apply to statements of another', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			for (const values of [[['x', '1']], [['y', '2']], [], [['x', '3']]] as ReadonlyArray<ReadonlyArray<readonly [string, string]>>) {
				await run(createRequest(WRITE, LATEST, {values}));
			}

			assert.deepEqual(one.executed.map(({values}) => values), ['[["x","1"]]', '[["y","2"]]', '[]', '[["x","3"]]']);
		});
	});
});
