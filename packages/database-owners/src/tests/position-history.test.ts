/** Verified log positions and the minimum positions of reads that they imply. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {Instant} from '@guavapitch/core';
import {comparePositions, type LogPosition} from '@guavapitch/sessions';
import {createPositionHistory} from '../position-history.js';

const at = (ms: number) => ms as Instant;
const position = (number: number, term = 1): LogPosition => ({term, number});

describe('position history', () => {
	describe('minimum position for a staleness bound', () => {
		it('is the oldest verified position within the bound', () => {
			const history = createPositionHistory();
			history.record(at(0), position(10), at(0));
			history.record(at(1000), position(20), at(1000));
			history.record(at(2000), position(30), at(2000));
			assert.deepEqual(history.getMinimumPosition(1500, at(2000)), position(20));
			assert.equal(history.getMinimumPosition(100, at(2500)), undefined);
		});

		it('includes every commit acknowledged before the bound, for any sequence of verifications', () => {
			fc.assert(fc.property(
				fc.array(fc.record({gap: fc.integer({min: 0, max: 400}), commits: fc.integer({min: 0, max: 5}), isVerified: fc.boolean()}), {maxLength: 60}),
				fc.integer({min: 50, max: 3000}),
				(steps, ageMs) => {
					const history = createPositionHistory();
					let now = 0;
					let number = 1;
					const acknowledged: Array<Readonly<{at: number; number: number}>> = [];
					for (const {gap, commits, isVerified} of steps) {
						now += gap;
						number += commits;
						acknowledged.push({at: now, number});
						if (isVerified) {
							history.record(at(now), position(number), at(now));
						}

						const minimumPosition = history.getMinimumPosition(ageMs, at(now));
						const oldest = now - ageMs;
						const requiredNumber = acknowledged.findLast(commit => commit.at < oldest)?.number ?? 0;
						assert.ok(!minimumPosition || minimumPosition.number >= requiredNumber);
					}
				},
			), {seed: 20_261_204});
		});

		it('expires during a suspension of the process', () => {
			const history = createPositionHistory();
			history.record(at(100), position(10), at(100));
			assert.equal(history.getMinimumPosition(1500, at(100 + 4000)), undefined);
		});
	});

	describe('minimum position of a session', () => {
		it('is the first verified position of the latest term if it is of an older term', () => {
			const history = createPositionHistory();
			history.record(at(0), position(50, 3), at(0));
			history.record(at(500), position(40, 4), at(500));
			assert.deepEqual(history.translateToLatestTerm(position(50, 3)), position(40, 4));
			assert.deepEqual(history.translateToLatestTerm(position(45, 4)), position(45, 4));
		});
	});

	describe('positions of a replaced primary', () => {
		it('are ignored', () => {
			const history = createPositionHistory();
			history.record(at(0), position(40, 4), at(0));
			history.record(at(500), position(60, 3), at(500));
			assert.ok(comparePositions(history.getLatest() ?? position(0), position(40, 4)) === 0);
		});

		it('are refused and name what they contradict', () => {
			const history = createPositionHistory();
			history.record(at(0), position(40, 4), at(10));
			assert.deepEqual(history.record(at(500), position(60, 3), at(510)), position(40, 4));
		});

		it('are refused if they are behind what was verified before the command was sent (bounded reads were too stale after an empty commit at a replaced primary)', () => {
			const history = createPositionHistory();
			history.record(at(0), position(40, 4), at(10));
			history.record(at(500), position(60, 4), at(520));
			assert.deepEqual(history.record(at(1000), position(41, 4), at(1010)), position(60, 4));
			assert.deepEqual(history.getMinimumPosition(100, at(550)), position(60, 4));
			assert.equal(history.getMinimumPosition(100, at(1050)), undefined);
		});
	});

	describe('positions of a leader', () => {
		it('are recorded when replies overtake each other', () => {
			const history = createPositionHistory();
			history.record(at(100), position(60, 4), at(120));
			assert.equal(history.record(at(110), position(50, 4), at(300)), undefined);
			assert.deepEqual(history.getMinimumPosition(200, at(305)), position(50, 4));
		});
	});
});
