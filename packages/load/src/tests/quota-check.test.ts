/** The quota check accepts requests within rate and burst and rejects requests beyond them. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findExcessWindow, type AdmittedRequest} from '../quota-check.js';

const QUOTA = {rate: 10, burst: 5};

const createBatch = (count: number, startedAt: number, endedAt: number): readonly AdmittedRequest[] => Array.from({length: count}, () => ({startedAt, endedAt}));

describe('findExcessWindow', () => {
	describe('accepts', () => {
		it('a burst followed by requests at the rate', () => {
			const steady = Array.from({length: 20}, (_, index) => ({startedAt: (index + 1) * 100, endedAt: (index + 1) * 100}));
			assert.equal(findExcessWindow([...createBatch(5, 0, 0), ...steady], QUOTA), undefined);
		});

		it('requests that may have been admitted before the window', () => {
			assert.equal(findExcessWindow([...createBatch(5, 0, 1000), ...createBatch(5, 500, 1000)], QUOTA), undefined);
		});
	});

	describe('rejects', () => {
		it('one request more than the burst', () => {
			assert.deepEqual(findExcessWindow(createBatch(6, 0, 0), QUOTA), {
				from: 0, to: 0, count: 6, allowed: 5,
			});
		});

		it('a second burst before the bucket has refilled', () => {
			const excess = findExcessWindow([...createBatch(5, 0, 10), ...createBatch(5, 200, 210)], QUOTA);
			assert.equal(excess?.count, 10);
		});
	});
});
