/** The check of recorded shares accepts what is allowed and rejects what is not. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findExcessWindow, type AdmittedRequest} from '../quota-check.js';

const SHARE = {rate: 10, burst: 5};

const createBatch = (count: number, startedAt: number, endedAt: number): readonly AdmittedRequest[] => Array.from({length: count}, () => ({startedAt, endedAt}));

describe('findExcess', () => {
	describe('accepts', () => {
		it('a burst, and then the rate', () => {
			const steady = Array.from({length: 20}, (_, index) => ({startedAt: (index + 1) * 100, endedAt: (index + 1) * 100}));
			assert.equal(findExcessWindow([...createBatch(5, 0, 0), ...steady], SHARE), undefined);
		});

		it('requests that may have been let through before the window', () => {
			assert.equal(findExcessWindow([...createBatch(5, 0, 1000), ...createBatch(5, 500, 1000)], SHARE), undefined);
		});
	});

	describe('rejects', () => {
		it('one request over the burst', () => {
			assert.deepEqual(findExcessWindow(createBatch(6, 0, 0), SHARE), {
				from: 0, to: 0, count: 6, allowed: 5,
			});
		});

		it('a second burst before the rate has paid for it', () => {
			const excess = findExcessWindow([...createBatch(5, 0, 10), ...createBatch(5, 200, 210)], SHARE);
			assert.equal(excess?.count, 10);
		});
	});
});
