/** Which failures the listed ones excuse. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findFailures, evaluateTestRun} from '../known-red.js';

const OUTPUT = `TAP version 13
# Subtest: fleet
    # Subtest: replaces every proxy
    not ok 1 - replaces every proxy
      ---
      failureType: 'testCodeFailure'
      ...
    # Subtest: starts
    ok 2 - starts
      ---
      duration_ms: 1
      ...
    1..2
not ok 1 - fleet
  ---
  type: 'suite'
  failureType: 'subtestsFailed'
  ...
`;
const LISTED = '# comment with "starts"\nfleet "replaces every proxy" (npm test): seen once. Issue 9.\n';

describe('known red', () => {
	describe('findFailures', () => {
		it('names innermost tests, not their suites', () => {
			assert.deepEqual(findFailures(OUTPUT), [['fleet', 'replaces every proxy']]);
		});
	});

	describe('judgeTests', () => {
		it('passes over just what is listed', () => {
			assert.deepEqual(evaluateTestRun(1, OUTPUT, LISTED), {passes: true, known: ['fleet > replaces every proxy'], unknown: []});
			assert.equal(evaluateTestRun(1, OUTPUT, '# comment with "replaces every proxy"').passes, false);
			assert.equal(evaluateTestRun(1, OUTPUT.replace('ok 2 - starts', 'not ok 2 - starts'), LISTED).passes, false);
		});

		it('fails when the tests were not reached', () => {
			assert.equal(evaluateTestRun(1, 'error TS2304: Cannot find name', LISTED).passes, false);
			assert.equal(evaluateTestRun(0, '', LISTED).passes, true);
		});
	});
});
