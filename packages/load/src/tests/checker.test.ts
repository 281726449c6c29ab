/** The checker must reject histories that violate a guarantee. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {checkHistory, computeWriteGapMs, type FinalState} from '../checker.js';
import {classifyFailure, type Operation} from '../history.js';

const FINAL: FinalState = {storedIds: ['s0.1'], sum: 10, expectedSum: 10};

const createOperation = (overrides: Partial<Operation>): Operation => ({
	number: 1, session: 's0', customer: 'c', kind: 'lodge', id: 's0.1', startedAt: 0, endedAt: 1, outcome: 'done', vm: 'v', ...overrides,
});

const listViolatedGuarantees = (history: readonly Operation[], final: FinalState) => checkHistory(history, final).map(violation => violation.promise);

describe('checkHistory', () => {
	describe('accepts', () => {
		it('a write that is stored once and a read that sees it', () => {
			const read = createOperation({
				number: 2, kind: 'read', id: 's0', startedAt: 2, endedAt: 3, found: ['s0.1'],
			});
			assert.deepEqual(listViolatedGuarantees([createOperation({}), read], FINAL), []);
		});

		it('a write with an unknown outcome, whether it is stored or not', () => {
			const unknownWrite = createOperation({outcome: 'unknown'});
			assert.deepEqual(listViolatedGuarantees([unknownWrite], FINAL), []);
			assert.deepEqual(listViolatedGuarantees([unknownWrite], {...FINAL, storedIds: []}), []);
		});
	});

	describe('rejects', () => {
		it('a lost acknowledged write', () => {
			assert.deepEqual(listViolatedGuarantees([createOperation({})], {...FINAL, storedIds: []}), ['lostWrite']);
		});

		it('a write that is stored twice', () => {
			assert.deepEqual(listViolatedGuarantees([createOperation({})], {...FINAL, storedIds: ['s0.1', 's0.1']}), ['doubledWrite']);
		});

		it('a refused or rolled-back write that is stored', () => {
			assert.deepEqual(listViolatedGuarantees([createOperation({outcome: 'notRun'})], FINAL), ['ranThoughNotRun']);
			assert.deepEqual(listViolatedGuarantees([createOperation({outcome: 'rolledBack'})], FINAL), ['ranThoughNotRun']);
		});

		it('a read that does not see an earlier write of its session', () => {
			const read = createOperation({
				number: 2, kind: 'read', id: 's0', startedAt: 2, endedAt: 3, found: [],
			});
			assert.deepEqual(listViolatedGuarantees([createOperation({}), read], FINAL), ['staleRead']);
		});

		it('a read that returns rows of another session', () => {
			const read = createOperation({
				number: 2, kind: 'read', id: 's0', startedAt: 0, endedAt: 0, found: ['s1.9'],
			});
			assert.deepEqual(listViolatedGuarantees([read], FINAL), ['foreignAnswer']);
		});

		it('sums that show part of a transaction', () => {
			const mixedRead = createOperation({kind: 'stale', id: 'sum', found: ['9']});
			assert.deepEqual(listViolatedGuarantees([mixedRead], FINAL), ['mixedTransaction']);
			assert.deepEqual(listViolatedGuarantees([], {...FINAL, sum: 11}), ['mixedTransaction']);
		});
	});
});

describe('classifyFailure', () => {
	it('distinguishes unknown outcomes, including lost connections, from statements that did not run', () => {
		assert.equal(classifyFailure(undefined, 'Connection terminated unexpectedly'), 'unknown');
		assert.equal(classifyFailure('08007', 'outcome unknown: x'), 'unknown');
		assert.equal(classifyFailure('53400', 'not run: x'), 'notRun');
	});
});

describe('computeWriteGapMs', () => {
	it('returns the longest time without an acknowledged write', () => {
		const history = [10, 20, 90].map(endedAt => createOperation({endedAt}));
		assert.equal(computeWriteGapMs(history, 0, 100), 70);
	});
});
