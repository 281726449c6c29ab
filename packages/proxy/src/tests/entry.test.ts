/** Admission of requests at the entry while its process stops. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createStopPlan, type StopPlan} from '@guavapitch/callers';
import {createVirtualRuntime, brandId, type ServiceId} from '@guavapitch/core';
import {createEntry, type EntryContext} from '../entry.js';

const GRACE_MS = 4000;
const CALLER = {service: brandId<ServiceId>('club'), customer: undefined, keyId: undefined};

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(1);
	const state: {stopPlan: StopPlan | undefined} = {stopPlan: undefined};
	const inventory = {services: {club: {database: 'ledger', requestTimeoutMs: 500}}, customers: {}};
	const context = {
		runtime,
		vm: 'one',
		clusterView: {activeConfiguration: {getInventory: () => inventory}},
		getStopPlan: () => state.stopPlan,
	};
	// The refusal needs none of the other dependencies; a request that goes on fails at the first of them.
	const entry = createEntry(context as unknown as EntryContext);
	const start = async () => {
		const started = await entry.startRequest(CALLER, {} as never, 'read', new AbortController().signal).catch(() => 'passedOn' as const);
		return started === 'passedOn' ? started : (started.err ? started.val.failure.code : 'passedOn');
	};

	return {
		runtime, advance, state, start, entry,
	};
};

describe('entry', () => {
	describe('while its process stops', () => {
		// A busy connection had its requests passed on until the process ended and cut them off.
		it('refuses new requests as not run in the second half of the drain time', async () => {
			const {runtime, advance, state, start} = createSetup();
			assert.notEqual(await start(), 'draining');
			state.stopPlan = createStopPlan(runtime.now(), GRACE_MS);
			await advance((GRACE_MS / 2) - 1);
			assert.notEqual(await start(), 'draining');
			await advance(1);
			assert.equal(await start(), 'draining');
		});
	});
});
