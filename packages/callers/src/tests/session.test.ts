/** Sessions of callers: transactions, minimum position, prepared statements and withdrawn keys. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, Err, Ok, brandId, type CustomerId, type DatabaseId,
} from '@guavapitch/core';
import {
	createRefusal, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import {createSession, type Route} from '../session.js';
import {createStopPlan, type StopPlan} from '../stop-plan.js';

const ROUTE: Route = {
	service: 'club',
	database: brandId<DatabaseId>('ledger'),
	consistency: {kind: 'ownWrites', maxStalenessMs: 1000},
	timeoutMs: 800,
	latencyObjectiveMs: 200,
	priority: 1,
	isPublic: false,
	allowedRegions: undefined,
};
const DONE: StatementOutcome = {kind: 'done', rows: ['row'], signature: 's'};

const MAX_KEPT_BYTES = 1000;

const createSetup = (respond: (request: StatementRequest) => Partial<StatementResponse> = () => ({})) => {
	const {runtime, advance} = createVirtualRuntime();
	const requests: StatementRequest[] = [];
	const rolledBackTransactions: string[] = [];
	const state: {isIssued: boolean; stopPlan: StopPlan | undefined; keptBytes: number} = {isIssued: true, stopPlan: undefined, keptBytes: 0};
	const session = createSession({
		runtime,
		authorize: () => state.isIssued ? Ok({route: ROUTE, customer: brandId<CustomerId>('c')}) : Err(createRefusal('noKey', 'withdrawn')),
		async runAtOwner(request) {
			requests.push(request);
			const status = request.transaction && request.statement.kind !== 'commit' ? 'open' : 'idle';
			return {
				outcome: DONE, status, position: {term: 1, number: 7}, target: 'one', waitedMs: 0, ...respond(request),
			};
		},
		rollBack(_database, transaction) {
			rolledBackTransactions.push(transaction);
		},
		getStopPlan: () => state.stopPlan,
		tryKeep(bytes) {
			state.keptBytes += bytes;
			return state.keptBytes <= MAX_KEPT_BYTES;
		},
	});
	return {
		session, requests, rolledBackTransactions, state, runtime, advance,
	};
};

describe('session', () => {
	describe('that keeps variables and prepared statements', () => {
		// Sessions kept prepared statements of 1 MB under new names until the process ended.
		it('refuses one that it may not keep, counts a replaced one once, and runs without the refused one', async () => {
			const {session, requests, state} = createSetup();
			for (let round = 0; round < 3; round++) {
				assert.equal((await session.run('1', {kind: 'set', name: 'v', value: 'x'.repeat(600)})).outcome.kind, 'done');
			}

			const refused = await session.run('2', {kind: 'prepare', name: 's', prepared: {access: 'read', shape: 'x'.repeat(600)}});
			assert.equal(refused.outcome.kind === 'refused' && refused.outcome.code, 'busy');
			state.keptBytes = 0;
			await session.run('3', {kind: 'text', access: 'read', text: 'READ a'});
			assert.deepEqual(requests.map(({values}) => values.length), [1]);
		});
	});

	describe('while its vm stops', () => {
		// A process that passed on statements until it ended cut them off without an answer.
		it('passes on statements in the first half of the grace period, with a deadline before its end', async () => {
			const {session, requests, state, runtime, advance} = createSetup();
			state.stopPlan = createStopPlan(runtime.now(), 2000);
			await advance(900);
			assert.equal((await session.run('1', {kind: 'text', access: 'read', text: 'READ a'})).outcome.kind, 'done');
			assert.equal(requests[0]?.remainingMs, 500);
			assert.equal(session.isTurnedAway(), false);
		});

		it('refuses single statements and new transactions as not run afterwards', async () => {
			const {session, requests, state, runtime, advance} = createSetup();
			state.stopPlan = createStopPlan(runtime.now(), 2000);
			await advance(1000);
			for (const statement of [{kind: 'text', access: 'write', text: 'WRITE a b'}, {kind: 'begin', readOnly: false}] as const) {
				const {outcome, status} = await session.run('1', statement);
				assert.equal(outcome.kind === 'refused' && outcome.code, 'busy');
				assert.equal(status, 'idle');
			}

			assert.equal(requests.length, 0);
			assert.equal(session.isTurnedAway(), true);
		});

		it('aborts an open transaction afterwards, and rolls it back', async () => {
			const {session, requests, rolledBackTransactions, state, runtime, advance} = createSetup();
			state.stopPlan = createStopPlan(runtime.now(), 2000);
			await session.run('1', {kind: 'begin', readOnly: false});
			await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
			await advance(1000);
			const {outcome, status} = await session.run('3', {kind: 'text', access: 'write', text: 'WRITE a c'});
			assert.equal(outcome.kind === 'refused' && outcome.code, 'aborted');
			assert.equal(status, 'failed');
			assert.equal(requests.length, 1);
			assert.equal(rolledBackTransactions.length, 1);
		});

		it('passes on a commit only if it ends in time', async () => {
			for (const {graceMs, isPassedOn} of [{graceMs: 6000, isPassedOn: true}, {graceMs: 2000, isPassedOn: false}]) {
				const {session, requests, state, runtime, advance} = createSetup();
				state.stopPlan = createStopPlan(runtime.now(), graceMs);
				await session.run('1', {kind: 'begin', readOnly: false});
				await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
				await advance(graceMs / 2);
				const {outcome, status} = await session.run('3', {kind: 'commit', text: 'COMMIT'});
				assert.equal(outcome.kind, isPassedOn ? 'done' : 'refused');
				assert.equal(status, 'idle');
				assert.equal(requests.length, isPassedOn ? 2 : 1);
			}
		});
	});

	describe('transaction', () => {
		it('reaches the owner only with its first statement', async () => {
			const {session, requests} = createSetup();
			assert.equal((await session.run('1', {kind: 'begin', readOnly: false})).status, 'open');
			assert.equal(requests.length, 0);
			await session.run('2', {kind: 'text', access: 'read', text: 'READ a'});
			await session.run('3', {kind: 'text', access: 'read', text: 'READ b'});
			await session.run('4', {kind: 'commit', text: 'COMMIT'});
			assert.deepEqual(requests.map(({transaction}) => transaction?.isFirst), [true, false, false]);
			assert.equal(session.getStatus(), 'idle');
		});

		it('that has failed accepts only commit or rollback', async () => {
			const {session} = createSetup(() => ({outcome: createRefusal('aborted', 'lost'), status: 'failed'}));
			await session.run('1', {kind: 'begin', readOnly: false});
			assert.equal((await session.run('2', {kind: 'text', access: 'read', text: 'READ a'})).status, 'failed');
			const response = await session.run('3', {kind: 'text', access: 'read', text: 'READ a'});
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'malformed');
			assert.equal((await session.run('4', {kind: 'rollback'})).status, 'idle');
		});

		it('is rolled back when its caller disconnects', async () => {
			const {session, rolledBackTransactions} = createSetup();
			await session.run('1', {kind: 'begin', readOnly: false});
			await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
			session.end();
			assert.equal(rolledBackTransactions.length, 1);
		});
	});

	describe('minimum position', () => {
		it('is the log position of the last write of the session', async () => {
			const {session, requests} = createSetup();
			await session.run('1', {kind: 'text', access: 'write', text: 'WRITE a b'});
			await session.run('2', {kind: 'text', access: 'read', text: 'READ a'});
			assert.deepEqual(requests.map(({floor}) => floor), [undefined, {term: 1, number: 7}]);
		});
	});

	describe('prepared statements', () => {
		it('are sent with their text, not with the name given by the caller', async () => {
			const {session, requests} = createSetup();
			await session.run('1', {kind: 'prepare', name: 's1', prepared: {access: 'write', shape: 'q2c'}});
			await session.run('2', {kind: 'execute', name: 's1', rest: 'a b'});
			assert.deepEqual(requests[0]?.statement, {kind: 'prepared', prepared: {access: 'write', shape: 'q2c'}, rest: 'a b'});
			await session.run('3', {kind: 'deallocate', name: 's1'});
			const responseAfterDeallocate = await session.run('4', {kind: 'execute', name: 's1', rest: 'a b'});
			assert.equal(responseAfterDeallocate.outcome.kind === 'refused' && responseAfterDeallocate.outcome.code, 'noStatement');
		});
	});

	describe('key', () => {
		it('that is withdrawn makes the session refuse statements, also inside a transaction', async () => {
			const {session, requests, state} = createSetup();
			await session.run('1', {kind: 'begin', readOnly: false});
			state.isIssued = false;
			const response = await session.run('2', {kind: 'text', access: 'read', text: 'READ a'});
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'noKey');
			assert.equal(requests.length, 0);
		});
	});
});
