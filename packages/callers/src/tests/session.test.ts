/** Sessions of callers: transactions, minimum position, prepared statements and withdrawn keys. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, Err, Ok, brandId, type CustomerId, type DatabaseId, type RegionId,
} from '@guavapitch/core';
import {
	createRefusal, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import type {Authorization, Route} from '../authorization.js';
import {createSession} from '../session.js';
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
	const state: {isIssued: boolean; isConfirmed: boolean; isRouted: boolean; authorized: Omit<Authorization, 'route'>; stopPlan: StopPlan | undefined; keptBytes: number} = {
		isIssued: true, isConfirmed: true, isRouted: true, authorized: {customer: brandId<CustomerId>('c'), version: 1}, stopPlan: undefined, keptBytes: 0,
	};
	const changes: Array<readonly [begun: CustomerId, current: CustomerId | undefined]> = [];
	const authorizeOn = (route: Route) => state.isIssued ? Ok({...state.authorized, route}) : Err(createRefusal(state.isConfirmed ? 'noKey' : 'busy', 'withdrawn'));
	const session = createSession({
		runtime,
		authorize: () => state.isRouted ? authorizeOn(ROUTE) : Err(createRefusal('noDatabase', 'no route')),
		authorizeOn,
		onAuthorizationChanged(begun, current) {
			changes.push([begun.customer, current?.customer]);
		},
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
		session, requests, rolledBackTransactions, changes, state, runtime, advance,
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

		it('that is withdrawn ends the transaction also while the service has no route', async () => {
			const {session, requests, rolledBackTransactions, state} = createSetup();
			await session.run('1', {kind: 'begin', readOnly: false});
			await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
			state.isIssued = false;
			state.isRouted = false;
			const {outcome, status} = await session.run('3', {kind: 'commit', text: 'COMMIT'});
			assert.equal(outcome.kind === 'refused' && outcome.code, 'noKey');
			assert.equal(status, 'idle');
			assert.deepEqual([requests.length, rolledBackTransactions.length], [1, 1]);
		});
	});

	describe('key that a vm with an unconfirmed configuration does not know', () => {
		// Such a vm refuses with `busy`, since a newer version may have added the key, and the transaction went on.
		it('ends the transaction as aborted', async () => {
			const {session, requests, rolledBackTransactions, state} = createSetup();
			await session.run('1', {kind: 'begin', readOnly: false});
			await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
			state.isIssued = false;
			state.isConfirmed = false;
			const {outcome} = await session.run('3', {kind: 'text', access: 'write', text: 'WRITE a c'});
			assert.equal(outcome.kind === 'refused' && outcome.code, 'aborted');
			assert.deepEqual([requests.length, rolledBackTransactions.length], [1, 1]);
		});
	});

	describe('authorization that changes while a transaction is open', () => {
		const OTHER: Omit<Authorization, 'route'> = {customer: brandId<CustomerId>('other'), version: 2};
		const [NORTH, SOUTH] = [brandId<RegionId>('north'), brandId<RegionId>('south')];

		// A transaction went on, and its commit took effect, under the customer that no longer held the key of its caller.
		for (const statement of [{kind: 'text', access: 'write', text: 'WRITE a c'}, {kind: 'text', access: 'read', text: 'READ a'}, {kind: 'commit', text: 'COMMIT'}] as const) {
			it(`to another customer rolls the transaction back at its next statement: ${statement.text}`, async () => {
				const {session, requests, rolledBackTransactions, changes, state} = createSetup();
				await session.run('1', {kind: 'begin', readOnly: false});
				await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
				state.authorized = OTHER;
				const {outcome, status} = await session.run('3', statement);
				assert.equal(outcome.kind === 'refused' && outcome.code, 'aborted');
				assert.equal(status, statement.kind === 'commit' ? 'idle' : 'failed');
				assert.deepEqual([requests.length, rolledBackTransactions.length], [1, 1]);
				assert.deepEqual(changes, [['c', 'other']]);
			});
		}

		it('to another customer ends a transaction whose first statement has not been sent', async () => {
			const {session, requests, rolledBackTransactions, state} = createSetup();
			await session.run('1', {kind: 'begin', readOnly: false});
			state.authorized = OTHER;
			const {outcome} = await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
			assert.equal(outcome.kind === 'refused' && outcome.code, 'aborted');
			assert.deepEqual([requests.length, rolledBackTransactions.length], [0, 0]);
		});

		it('to another customer leaves the session usable under the new one', async () => {
			const {session, requests, state} = createSetup();
			await session.run('1', {kind: 'set', name: 'v', value: 'x'});
			await session.run('2', {kind: 'begin', readOnly: false});
			state.authorized = OTHER;
			await session.run('3', {kind: 'text', access: 'write', text: 'WRITE a b'});
			assert.equal((await session.run('4', {kind: 'rollback'})).status, 'idle');
			assert.equal((await session.run('5', {kind: 'text', access: 'write', text: 'WRITE a b'})).outcome.kind, 'done');
			assert.deepEqual(requests.map(({customer, values}) => [customer, values]), [['other', [['v', 'x']]]]);
		});

		it('to fewer regions ends the transaction, to more regions does not', async () => {
			for (const {begun, current, isEnded} of [
				{begun: undefined, current: [NORTH], isEnded: true},
				{begun: [NORTH, SOUTH], current: [NORTH], isEnded: true},
				{begun: [NORTH], current: [NORTH, SOUTH], isEnded: false},
				{begun: [NORTH], current: undefined, isEnded: false},
			]) {
				const {session, state} = createSetup();
				state.authorized = {...state.authorized, allowedRegions: begun};
				await session.run('1', {kind: 'begin', readOnly: false});
				state.authorized = {...state.authorized, allowedRegions: current};
				const {outcome} = await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'});
				assert.equal(outcome.kind, isEnded ? 'refused' : 'done');
			}
		});

		it('only in its route lets the transaction go on', async () => {
			const {session, state} = createSetup();
			await session.run('1', {kind: 'begin', readOnly: false});
			state.isRouted = false;
			assert.equal((await session.run('2', {kind: 'text', access: 'write', text: 'WRITE a b'})).outcome.kind, 'done');
			assert.equal((await session.run('3', {kind: 'commit', text: 'COMMIT'})).outcome.kind, 'done');
		});
	});
});
