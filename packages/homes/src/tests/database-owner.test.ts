/** The home of a database: consistency, refusals, transactions, placement. */

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

const createRequest = (statement: TargetStatement, consistency: Consistency, more: Partial<StatementRequest> = {}): StatementRequest => ({
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
	...more,
});

const createSetup = (targets: readonly FakeTarget[]) => {
	const {world, advance} = createVirtualWorld(3);
	const home = createFakeOwner(targets, world);
	const run = async (request: StatementRequest): Promise<StatementResponse> => {
		let answer: StatementResponse | undefined;
		void home.serve(request).then(value => {
			answer = value;
		});
		for (let step = 0; step < 400 && !answer; step++) {
			await advance(5);
		}

		assert.ok(answer, 'no answer');
		return answer;
	};

	return {
		home, run, advance, world,
	};
};

const createGroup = () => [createFakeTarget('one', 'primary'), createFakeTarget('two', 'replica'), createFakeTarget('three', 'replica')] as const;

describe('home', () => {
	describe('reads of the newest state', () => {
		it('run in a transaction at the leader, which is rolled back', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			const answer = await run(createRequest(READ, LATEST));
			assert.equal(answer.outcome.kind, 'done');
			assert.deepEqual(one.executed.map(({inTransaction}) => inTransaction), [true]);
		});

		it('never run at a target that has lost the lead, though the registry still names it', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.role = 'replica';
			const answer = await run(createRequest(READ, LATEST));
			assert.equal(answer.outcome.kind, 'refused');
			assert.deepEqual([...one.executed, ...two.executed, ...three.executed], []);
		});
	});

	describe('reads of a stated age', () => {
		it('name a verified position, and pass over a replica that lacks it', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST));
			two.position = {term: 1, number: 50};
			three.position = {term: 1, number: 50};
			const answers = [];
			for (let count = 0; count < 6; count++) {
				answers.push(await run(createRequest(READ, BOUNDED)));
			}

			assert.ok(answers.every(({outcome}) => outcome.kind === 'done'));
			assert.deepEqual([...two.executed, ...three.executed], []);
		});

		it('are refused when no leader proves a position', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.fault = 'refuses';
			const answer = await run(createRequest(READ, BOUNDED));
			assert.equal(answer.outcome.kind, 'refused');
			assert.deepEqual([...two.executed, ...three.executed], []);
		});

		it('see the session\'s own last write', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			const written = await run(createRequest(WRITE, {kind: 'ownWrites', maxStalenessMs: 2500}));
			for (let count = 0; count < 4; count++) {
				const read = await run(createRequest(READ, {kind: 'ownWrites', maxStalenessMs: 2500}, {floor: written.position}));
				assert.equal(read.outcome.kind, 'done');
			}

			assert.deepEqual([...two.executed, ...three.executed], [], 'the replicas hold 100, the write is 101');
		});

		it('run again elsewhere when the answer of one target is lost', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			two.dropsReplies = true;
			three.dropsReplies = true;
			const answer = await run(createRequest(READ, BOUNDED));
			assert.equal(answer.outcome.kind, 'done');
			assert.equal(answer.target, 'one');
		});
	});

	describe('targets that are silent', () => {
		it('lose the reads under way to another target long before their time is up', async () => {
			const [one, two, three] = createGroup();
			const {run, world} = createSetup([one, two, three]);
			await run(createRequest(READ, BOUNDED));
			two.fault = 'silent';
			three.fault = 'silent';
			const askedAt = world.now();
			const answer = await run(createRequest(READ, BOUNDED));
			assert.equal(answer.outcome.kind, 'done');
			assert.equal(answer.target, 'one');
			assert.ok(world.now() - askedAt < 1000);
		});

		it('get no reads until they answer a probe', async () => {
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
		it('whose answer is lost are unknown and run once', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.dropsReplies = true;
			const answer = await run(createRequest(WRITE, LATEST));
			assert.equal(answer.outcome.kind, 'unknown');
			assert.equal(one.executed.length, 1);
		});

		it('are refused as not run while no target leads', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			one.fault = 'refuses';
			const answer = await run(createRequest(WRITE, LATEST));
			assert.equal(answer.outcome.kind, 'refused');
			assert.equal(one.executed.length, 0);
		});

		it('occupy no more slots than the target has', async () => {
			const [one, two, three] = createGroup();
			const {home, advance} = createSetup([one, two, three]);
			const answers = Promise.all(Array.from({length: 20}, async () => home.serve(createRequest(WRITE, LATEST))));
			await advance(500);
			assert.ok((await answers).every(({outcome}) => outcome.kind === 'done'));
			assert.equal(one.maxRunning, 2);
			assert.ok(one.dials <= 3);
		});
	});

	describe('transactions', () => {
		const transaction = (isFirst: boolean) => ({transaction: {id: 't1', readOnly: false, isFirst}});

		it('keep one connection from the first statement to the commit', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			assert.equal((await run(createRequest(WRITE, LATEST, transaction(true)))).status, 'open');
			assert.equal((await run(createRequest(READ, LATEST, transaction(false)))).status, 'open');
			assert.equal((await run(createRequest(COMMIT, LATEST, transaction(false)))).status, 'idle');
			assert.deepEqual(one.executed.map(({text, inTransaction}) => [text, inTransaction]), [['WRITE a b', true], ['READ a', true], ['COMMIT', true]]);
			assert.equal(one.dials, 1);
		});

		it('hold no slot between statements', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			for (const id of ['t1', 't2', 't3', 't4']) {
				const answer = await run(createRequest(WRITE, LATEST, {transaction: {id, readOnly: false, isFirst: true}}));
				assert.equal(answer.status, 'open');
			}
		});

		it('that stay idle are rolled back, and their next statement is aborted', async () => {
			const [one, two, three] = createGroup();
			const {run, advance} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			await advance(3500);
			const answer = await run(createRequest(COMMIT, LATEST, transaction(false)));
			assert.equal(answer.outcome.kind === 'refused' && answer.outcome.code, 'aborted');
			assert.equal(one.executed.length, 1);
		});

		it('whose commit gets no answer are unknown', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			one.dropsReplies = true;
			const answer = await run(createRequest(COMMIT, LATEST, transaction(false)));
			assert.equal(answer.outcome.kind, 'unknown');
		});

		it('are aborted when their leader loses the lead', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			await run(createRequest(WRITE, LATEST, transaction(true)));
			one.role = 'replica';
			const answer = await run(createRequest(READ, LATEST, transaction(false)));
			assert.equal(answer.outcome.kind === 'refused' && answer.outcome.code, 'aborted');
			assert.equal(answer.status, 'failed');
		});
	});

	describe('session values', () => {
		it('of one session never meet the statement of another', async () => {
			const [one, two, three] = createGroup();
			const {run} = createSetup([one, two, three]);
			for (const values of [[['x', '1']], [['y', '2']], [], [['x', '3']]] as ReadonlyArray<ReadonlyArray<readonly [string, string]>>) {
				await run(createRequest(WRITE, LATEST, {values}));
			}

			assert.deepEqual(one.executed.map(({values}) => values), ['[["x","1"]]', '[["y","2"]]', '[]', '[["x","3"]]']);
		});
	});
});
