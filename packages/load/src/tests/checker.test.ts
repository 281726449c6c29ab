/** The checker must reject histories that break a promise. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkHistory, computeWriteGapMs, type FinalState} from '../checker.js';
import {classifyFailure, type Operation} from '../history.js';

const FINAL: FinalState = {storedIds: ['s0.1'], sum: 10, expectedSum: 10};

const createOperation = (change: Partial<Operation>): Operation => ({
	number: 1, session: 's0', customer: 'c', kind: 'lodge', id: 's0.1', startedAt: 0, endedAt: 1, outcome: 'done', vm: 'v', ...change,
});

const listPromises = (history: readonly Operation[], final: FinalState) => checkHistory(history, final).map(violation => violation.promise);

describe('checkHistory', () => {
	describe('accepts', () => {
		it('a write that is there once, and a read that sees it', () => {
			const read = createOperation({
				number: 2, kind: 'read', id: 's0', startedAt: 2, endedAt: 3, found: ['s0.1'],
			});
			assert.deepEqual(listPromises([createOperation({}), read], FINAL), []);
		});

		it('an unknown write, whether it is there or not', () => {
			const unknown = createOperation({outcome: 'unknown'});
			assert.deepEqual(listPromises([unknown], FINAL), []);
			assert.deepEqual(listPromises([unknown], {...FINAL, storedIds: []}), []);
		});
	});

	describe('rejects', () => {
		it('a lost acknowledged write', () => {
			assert.deepEqual(listPromises([createOperation({})], {...FINAL, storedIds: []}), ['lostWrite']);
		});

		it('a doubled write', () => {
			assert.deepEqual(listPromises([createOperation({})], {...FINAL, storedIds: ['s0.1', 's0.1']}), ['doubledWrite']);
		});

		it('a refusal that ran', () => {
			assert.deepEqual(listPromises([createOperation({outcome: 'notRun'})], FINAL), ['ranThoughNotRun']);
			assert.deepEqual(listPromises([createOperation({outcome: 'rolledBack'})], FINAL), ['ranThoughNotRun']);
		});

		it('a read that misses the session\'s own write', () => {
			const read = createOperation({
				number: 2, kind: 'read', id: 's0', startedAt: 2, endedAt: 3, found: [],
			});
			assert.deepEqual(listPromises([createOperation({}), read], FINAL), ['staleRead']);
		});

		it('an answer to somebody else\'s request', () => {
			const read = createOperation({
				number: 2, kind: 'read', id: 's0', startedAt: 0, endedAt: 0, found: ['s1.9'],
			});
			assert.deepEqual(listPromises([read], FINAL), ['foreignAnswer']);
		});

		it('mixed transactions', () => {
			const torn = createOperation({kind: 'stale', id: 'sum', found: ['9']});
			assert.deepEqual(listPromises([torn], FINAL), ['mixedTransaction']);
			assert.deepEqual(listPromises([], {...FINAL, sum: 11}), ['mixedTransaction']);
		});
	});
});

describe('classifyFailure', () => {
	it('takes a connection lost without a word as unknown', () => {
		assert.equal(classifyFailure(undefined, 'Connection terminated unexpectedly'), 'unknown');
		assert.equal(classifyFailure('08007', 'outcome unknown: x'), 'unknown');
		assert.equal(classifyFailure('53400', 'not run: x'), 'notRun');
	});
});

describe('computeWriteGapMs', () => {
	it('finds the longest time without an acknowledged write', () => {
		const history = [10, 20, 90].map(endedAt => createOperation({endedAt}));
		assert.equal(computeWriteGapMs(history, 0, 100), 70);
	});
});
