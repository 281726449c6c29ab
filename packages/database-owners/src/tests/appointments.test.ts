/** Guards against acknowledged writes and fresh reads at a primary that was replaced and goes on leading, where nothing but the record of the appointment tells them apart. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, Err, Ok, brandId, type CustomerId, type Instant, type TargetId,
} from '@guavapitch/core';
import type {
	Consistency, StatementRequest, StatementResponse, TargetStatement,
} from '@guavapitch/sessions';
import {createAppointments, type Appointment} from '../appointments.js';
import {createFakeOwner} from './fake-owner.js';
import {createFakeTarget, DATABASE} from './fake-targets.js';

const LATEST: Consistency = {kind: 'latest'};
const BOUNDED: Consistency = {kind: 'bounded', maxStalenessMs: 1500};
const READ: TargetStatement = {kind: 'text', access: 'read', text: 'READ a'};
const WRITE: TargetStatement = {kind: 'text', access: 'write', text: 'WRITE a b'};
const COMMIT: TargetStatement = {kind: 'commit', text: 'COMMIT'};
const OLD = brandId<TargetId>('primary');
const NEW = brandId<TargetId>('replica-1');

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

/** Creates an owner that knows `known` while the store holds `stored`; both may be changed by the test. The appointments decide which target leads, or only prove commits. */
const createSetup = (use: 'leads' | 'commits' = 'leads') => {
	const {runtime, advance} = createVirtualRuntime(3);
	const targets = [createFakeTarget('primary', 'primary'), createFakeTarget('replica-1', 'replica'), createFakeTarget('replica-2', 'replica')] as const;
	const first: Appointment = {target: OLD, fencingToken: 1};
	const state = {
		known: first as Appointment | undefined, stored: first as Appointment | undefined, isAuthorized: false, isStoreDown: false, readCount: 0,
	};
	const appointments = createAppointments({
		runtime,
		getRecord: () => state.known,
		async readRecord() {
			state.readCount++;
			await runtime.sleep(4);
			return state.isStoreDown ? Err({code: 'storeUnreachable', message: 'down'}) : Ok(state.stored);
		},
		isAuthorized: () => state.isAuthorized,
	});
	const owner = use === 'leads'
		? createFakeOwner(targets, runtime, {appointments})
		: createFakeOwner(targets, runtime, {getKnownGroup: () => ({appointments, members: targets.map(({description}) => description)})});
	const run = async (request: StatementRequest, during: () => void = () => undefined): Promise<StatementResponse> => {
		let response: StatementResponse | undefined;
		void owner.serve(request).then(value => {
			response = value;
		});
		await advance(5);
		during();
		for (let step = 0; step < 400 && !response; step++) {
			await advance(5);
		}

		assert.ok(response, 'the statement got no response within 2 s');
		return response;
	};

	/** Promotes a replica that the owner has not heard of; the old primary goes on leading. */
	const replace = () => {
		state.stored = {target: NEW, fencingToken: 2};
		targets[1].role = 'primary';
		targets[1].position = {term: 2, number: 100};
	};

	/** Lets the owner learn of the appointment. */
	const learn = () => {
		state.known = state.stored;
		owner.refreshLeader();
	};

	return {
		targets, state, owner, run, replace, learn, advance, runtime,
	};
};

describe('appointments', () => {
	describe('of a vm without authority', () => {
		it('let a write succeed after the store has confirmed the appointment', async () => {
			const {run, state} = createSetup();
			const response = await run(createRequest(WRITE, LATEST));
			assert.equal(response.outcome.kind, 'done');
			assert.ok(state.readCount > 0);
		});

		it('leave the outcome of a write unknown if the target was replaced while it ran', async () => {
			const {run, replace, targets: [primary]} = createSetup();
			const response = await run(createRequest(WRITE, LATEST), replace);
			assert.equal(response.outcome.kind, 'unknown');
			assert.equal(primary.executed.length, 1);
		});

		it('leave the outcome of a write unknown if the target was replaced and appointed again while it ran', async () => {
			const {run, state} = createSetup();
			const response = await run(createRequest(WRITE, LATEST), () => {
				state.stored = {target: OLD, fencingToken: 3};
			});
			assert.equal(response.outcome.kind, 'unknown');
		});

		it('never acknowledge a commit at a target that was replaced', async () => {
			const {run, replace} = createSetup();
			const opened = await run(createRequest(WRITE, LATEST, {transaction: {id: 't1', isFirst: true, readOnly: false}}));
			assert.equal(opened.status, 'open');
			replace();
			const response = await run(createRequest(COMMIT, LATEST, {transaction: {id: 't1', isFirst: false, readOnly: false}}));
			assert.equal(response.outcome.kind, 'unknown');
		});

		it('abort a transaction before its commit is sent if the vm knows that its target was replaced', async () => {
			const {run, replace, learn, targets: [primary]} = createSetup();
			await run(createRequest(WRITE, LATEST, {transaction: {id: 't1', isFirst: true, readOnly: false}}));
			replace();
			learn();
			const response = await run(createRequest(COMMIT, LATEST, {transaction: {id: 't1', isFirst: false, readOnly: false}}));
			assert.equal(response.outcome.kind === 'refused' && response.outcome.code, 'aborted');
			assert.deepEqual(primary.executed.map(({text}) => text), ['WRITE a b']);
		});

		it('never return a read that needs the latest state from a target that was replaced', async () => {
			const {run, replace} = createSetup();
			const response = await run(createRequest(READ, LATEST), replace);
			assert.equal(response.outcome.kind, 'refused');
		});

		it('never derive the minimum position of a read from a target that was replaced', async () => {
			const {run, replace, targets} = createSetup();
			replace();
			const response = await run(createRequest(READ, BOUNDED));
			assert.equal(response.outcome.kind, 'refused');
			assert.deepEqual(targets.flatMap(({executed}) => executed), []);
		});

		it('refuse a write before it is sent while the store does not confirm the appointment', async () => {
			const {run, state, targets: [primary], advance} = createSetup();
			state.isStoreDown = true;
			const unknown = await run(createRequest(WRITE, LATEST));
			assert.equal(unknown.outcome.kind, 'unknown');
			const refused = await run(createRequest(WRITE, LATEST));
			assert.equal(refused.outcome.kind === 'refused' && refused.outcome.code, 'busy');
			assert.equal(primary.executed.length, 1);
			state.isStoreDown = false;
			await advance(400);
			await run(createRequest(WRITE, LATEST));
			await advance(50);
			const served = await run(createRequest(WRITE, LATEST));
			assert.equal(served.outcome.kind, 'done');
		});

		it('follow the appointed target once the vm learns of it, although the old one still says that it leads', async () => {
			const {run, replace, learn, targets: [, replica], owner, runtime} = createSetup();
			replace();
			learn();
			assert.equal(owner.components.leaderTracker.getLeader(), undefined);
			owner.components.leaderTracker.markLeading(NEW, runtime.now());
			owner.components.leaderTracker.markLeading(OLD, createDeadline(runtime.now(), 10) as number as Instant);
			const response = await run(createRequest(WRITE, LATEST));
			assert.equal(response.outcome.kind, 'done');
			assert.equal(response.target, NEW);
			assert.equal(replica.executed.length, 1);
		});
	});

	describe('of the failover coordinator', () => {
		it('need no request to the store', async () => {
			const {run, state} = createSetup();
			state.isAuthorized = true;
			for (const [statement, consistency] of [[WRITE, LATEST], [READ, LATEST], [READ, BOUNDED]] as const) {
				const response = await run(createRequest(statement, consistency));
				assert.equal(response.outcome.kind, 'done');
			}

			assert.equal(state.readCount, 0);
		});

		it('ask the store if the authority ended while a write ran', async () => {
			const {run, state, replace} = createSetup();
			state.isAuthorized = true;
			const response = await run(createRequest(WRITE, LATEST), () => {
				state.isAuthorized = false;
				replace();
			});
			assert.equal(response.outcome.kind, 'unknown');
		});
	});

	describe('that only prove commits', () => {
		// A target that joined while an order was outstanding may have confirmed the commit alone.
		it('leave the outcome of a write unknown if an order was recorded while it ran', async () => {
			const {run, state, targets: [primary]} = createSetup('commits');
			const response = await run(createRequest(WRITE, LATEST), () => {
				state.stored = {target: NEW, fencingToken: 2};
			});
			assert.equal(response.outcome.kind, 'unknown');
			assert.equal(primary.executed.length, 1);
		});

		it('leave the outcome of a commit unknown likewise', async () => {
			const {run, state} = createSetup('commits');
			const begun = await run(createRequest(WRITE, LATEST, {transaction: {id: 't', isFirst: true, readOnly: false}}));
			assert.equal(begun.outcome.kind, 'done');
			state.stored = {target: NEW, fencingToken: 2};
			const committed = await run(createRequest(COMMIT, LATEST, {transaction: {id: 't', isFirst: false, readOnly: false}}));
			assert.equal(committed.outcome.kind, 'unknown');
		});

		it('let a write succeed without the store once every member has it', async () => {
			const {run, state, targets: [, ...replicas]} = createSetup('commits');
			state.isStoreDown = true;
			const response = await run(createRequest(WRITE, LATEST), () => {
				for (const replica of replicas) {
					replica.position = {term: 1, number: 101};
				}
			});
			assert.equal(response.outcome.kind, 'done');
		});

		it('need no proof for reads of the newest state', async () => {
			const {run, state} = createSetup('commits');
			const response = await run(createRequest(READ, LATEST));
			assert.equal(response.outcome.kind, 'done');
			assert.equal(state.readCount, 0);
		});
	});
});
