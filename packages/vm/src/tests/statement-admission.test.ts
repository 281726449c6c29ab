/** Admission of statements at an entry vm: tokens of its own when the owner has no quota allocator. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createDeadline, createVirtualRuntime, Err, Ok, type CustomerId, type DatabaseId,
} from '@guavapitch/core';
import {createByteBudget} from '@guavapitch/callers';
import {createRefusal, type StatementRequest, type StatementResponse} from '@guavapitch/sessions';
import type {VmContext} from '../context.js';
import {createStatementAdmission} from '../statement-admission.js';

const REQUEST: StatementRequest = {
	id: '1',
	database: brandId<DatabaseId>('ledger'),
	customer: brandId<CustomerId>('klub'),
	statement: {kind: 'text', access: 'write', text: 'WRITE a b'},
	consistency: {kind: 'latest'},
	floor: undefined,
	values: [],
	transaction: undefined,
	remainingMs: 1000,
	promptMs: 200,
	priority: 1,
};

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime();
	const state = {hasAllocator: false, hasToken: true};
	const routed: StatementRequest[] = [];
	const metrics: Partial<VmContext['metrics']> = {count: () => undefined};
	const admit = createStatementAdmission({
		runtime, metrics: metrics as VmContext['metrics'], workBudget: createByteBudget(1_000_000),
	}, {
		countVms: () => 3,
		getVersion: () => 1,
		acquireToken: async () => state.hasToken ? Ok(undefined) : Err({code: 'limitExceeded', message: 'no share', retryAfterMs: 400}),
		async route(request): Promise<StatementResponse> {
			routed.push(request);
			const isServed = state.hasAllocator || request.isTokenAcquired === true || request.transaction?.isFirst === false;
			return {
				outcome: isServed ? {kind: 'done', rows: [], signature: 's'} : createRefusal('overShare', 'no allocator', 1),
				status: 'idle',
				position: undefined,
				target: undefined,
				waitedMs: 0,
				...(!isServed && {isUnallocated: true}),
			};
		},
	});
	return {
		admit: async (request: StatementRequest = REQUEST) => admit(request, createDeadline(runtime.now(), 1000)), advance, state, routed,
	};
};

describe('admission of a statement whose owner has no quota allocator', () => {
	it('sends it again with a token of this vm, and later ones with a token at once', async () => {
		const {admit, routed} = createSetup();
		assert.equal((await admit()).outcome.kind, 'done');
		assert.equal((await admit()).outcome.kind, 'done');
		assert.deepEqual(routed.map(({isTokenAcquired = false}) => isTokenAcquired), [false, true, true]);
	});

	it('leaves the token to the owner again after a while', async () => {
		const {admit, advance, state, routed} = createSetup();
		await admit();
		state.hasAllocator = true;
		await advance(1000);
		await admit();
		assert.equal(routed.at(-1)?.isTokenAcquired, undefined);
	});

	it('refuses it with the time to return if this vm has no token, and does not run it', async () => {
		const {admit, state, routed} = createSetup();
		state.hasToken = false;
		const {outcome} = await admit();
		assert.deepEqual(outcome.kind === 'refused' && [outcome.code, outcome.retryAfterMs], ['overShare', 400]);
		assert.equal(routed.some(({isTokenAcquired}) => isTokenAcquired), false);
	});

	it('acquires no token for later statements of a transaction', async () => {
		const {admit, state, routed} = createSetup();
		await admit();
		state.hasToken = false;
		const {outcome} = await admit({...REQUEST, transaction: {id: 't', readOnly: false, isFirst: false}});
		assert.equal(outcome.kind, 'done');
		assert.equal(routed.at(-1)?.isTokenAcquired, undefined);
	});
});
