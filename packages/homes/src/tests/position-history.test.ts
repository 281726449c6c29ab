/** Verified positions and the floors that follow from them. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {Instant} from '@guavapitch/core';
import {comparePositions, type LogPosition} from '@guavapitch/sessions';
import {createPositionHistory} from '../position-history.js';

const at = (ms: number) => ms as Instant;
const position = (number: number, term = 1): LogPosition => ({term, number});

describe('floors', () => {
	describe('of bounded reads', () => {
		it('are the oldest verified position that is young enough', () => {
			const floors = createPositionHistory();
			floors.record(at(0), position(10));
			floors.record(at(1000), position(20));
			floors.record(at(2000), position(30));
			assert.deepEqual(floors.getMinimumPosition(1500, at(2000)), position(20));
			assert.equal(floors.getMinimumPosition(100, at(2500)), undefined);
		});

		it('hold every commit that was acknowledged longer ago than the age, whatever the order of questions', () => {
			fc.assert(fc.property(
				fc.array(fc.record({gap: fc.integer({min: 0, max: 400}), commits: fc.integer({min: 0, max: 5}), isVerified: fc.boolean()}), {maxLength: 60}),
				fc.integer({min: 50, max: 3000}),
				(steps, ageMs) => {
					const floors = createPositionHistory();
					let now = 0;
					let number = 1;
					const acknowledged: Array<Readonly<{at: number; number: number}>> = [];
					for (const {gap, commits, isVerified} of steps) {
						now += gap;
						number += commits;
						acknowledged.push({at: now, number});
						if (isVerified) {
							floors.record(at(now), position(number));
						}

						const floor = floors.getMinimumPosition(ageMs, at(now));
						const oldest = now - ageMs;
						const owed = acknowledged.findLast(commit => commit.at < oldest)?.number ?? 0;
						assert.ok(!floor || floor.number >= owed);
					}
				},
			), {seed: 20_261_204});
		});

		it('do not survive a suspension that the clock counts', () => {
			const floors = createPositionHistory();
			floors.record(at(100), position(10));
			assert.equal(floors.getMinimumPosition(1500, at(100 + 4000)), undefined);
		});
	});

	describe('of sessions', () => {
		it('of an older term become the first verified position of the newer one', () => {
			const floors = createPositionHistory();
			floors.record(at(0), position(50, 3));
			floors.record(at(500), position(40, 4));
			assert.deepEqual(floors.translateToLatestTerm(position(50, 3)), position(40, 4));
			assert.deepEqual(floors.translateToLatestTerm(position(45, 4)), position(45, 4));
		});
	});

	describe('of a replaced primary', () => {
		it('are not noted', () => {
			const floors = createPositionHistory();
			floors.record(at(0), position(40, 4));
			floors.record(at(500), position(60, 3));
			assert.ok(comparePositions(floors.getLatest() ?? position(0), position(40, 4)) === 0);
		});
	});
});
