/** Order of a planned stop. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Instant} from '@guavapitch/core';
import {chooseSessionClosing, createStopPlan} from '../stop-plan.js';

const START = 1000 as Instant;

describe('stop plan', () => {
	for (const graceMs of [300, 1000, 3000, 6000, 30_000]) {
		it(`keeps its order for a grace period of ${graceMs} ms`, () => {
			const {callersUntil, statementsUntil, answersUntil, sessionsUntil, endsAt} = createStopPlan(START, graceMs);
			const times = [START, callersUntil, statementsUntil, answersUntil, sessionsUntil, endsAt, START + graceMs];
			assert.deepEqual(times, times.toSorted((a, b) => a - b));
			assert.ok(endsAt < START + graceMs);
		});
	}

	it('gives open transactions the first half of the grace period', () => {
		assert.equal(createStopPlan(START, 6000).statementsUntil, START + 3000);
	});

	it('closes sessions that are idle once the load balancer sends no new callers, and all before the process ends', () => {
		const plan = createStopPlan(START, 6000);
		const choose = (ms: number) => chooseSessionClosing(plan, START + ms as Instant);
		assert.deepEqual([0, 2000, 2200, 5200, 5300].map(ms => choose(ms)), ['none', 'none', 'idle', 'idle', 'all']);
		assert.equal(chooseSessionClosing(undefined, START), 'none');
	});
});
