/** Age of a vm's view of the store, by which it may use its shares of quotas. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualRuntime, type Instant} from '@guavapitch/core';
import {createViewAge} from '../view-age.js';

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(1);
	const state = {suspendedMs: 0, confirmedAt: 0};
	const viewAge = createViewAge({
		now: runtime.now, readSuspensionClock: () => runtime.now() + state.suspendedMs as Instant,
	}, () => runtime.now() - state.confirmedAt);
	const confirm = async () => {
		state.confirmedAt = runtime.now();
		viewAge.sample();
		await advance(100);
		viewAge.sample();
	};

	return {
		viewAge, state, advance, confirm,
	};
};

describe('age of the view of the store', () => {
	// Shares were never used: the age was that of the last reading of all vms, which is minutes ago where nothing has changed.
	it('is the time since the last confirmation, although nothing was read anew', async () => {
		const {viewAge, advance, confirm} = createSetup();
		await confirm();
		await advance(1900);
		assert.equal(viewAge.getAgeMs(), 2000);
		await confirm();
		assert.equal(viewAge.getAgeMs(), 100);
	});

	it('includes the time of a suspension, until the view was confirmed twice after it', async () => {
		const {viewAge, state, confirm} = createSetup();
		await confirm();
		state.suspendedMs = 40_000;
		assert.equal(viewAge.getAgeMs(), 40_100);
		await confirm();
		assert.ok(viewAge.getAgeMs() >= 100);
		await confirm();
		assert.equal(viewAge.getAgeMs(), 100);
	});
});
