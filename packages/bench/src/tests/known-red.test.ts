/** Guards CI: a run may fail only in tests that are listed as known failures. */

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

describe('known failures', () => {
	describe('findFailures', () => {
		it('returns the failed tests without their suites', () => {
			assert.deepEqual(findFailures(OUTPUT), [['fleet', 'replaces every proxy']]);
		});
	});

	describe('evaluateTestRun', () => {
		it('accepts only failures that are listed', () => {
			assert.deepEqual(evaluateTestRun(1, OUTPUT, LISTED), {passes: true, listedFailures: ['fleet > replaces every proxy'], unlistedFailures: []});
			assert.equal(evaluateTestRun(1, OUTPUT, '# comment with "replaces every proxy"').passes, false);
			assert.equal(evaluateTestRun(1, OUTPUT.replace('ok 2 - starts', 'not ok 2 - starts'), LISTED).passes, false);
		});

		it('rejects a failed run that did not reach the tests', () => {
			assert.equal(evaluateTestRun(1, 'error TS2304: Cannot find name', LISTED).passes, false);
			assert.equal(evaluateTestRun(0, '', LISTED).passes, true);
		});
	});
});
