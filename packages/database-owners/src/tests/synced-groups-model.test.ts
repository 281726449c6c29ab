/** Drawn faults in a group with synchronous replication: guards against acknowledged commits that a promotion removes. */

import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it} from 'node:test';
import {runModel} from './model-setup.js';

const FIRST_SEED = Number(process.env.MODEL_FIRST_SEED ?? 1);
const SEEDS = Number(process.env.MODEL_SEEDS ?? 6);

describe('model of a group with synchronous replication', () => {
	describe('with recorded members', () => {
		for (const seed of Array.from({length: SEEDS}, (_, index) => FIRST_SEED + index)) {
			it(`loses no acknowledged commit, and acknowledges again in the end (seed ${seed})`, async () => {
				const {lost, calmCount} = await runModel({seed});
				assert.deepEqual(lost, []);
				assert.ok(calmCount > 0, 'no commit was acknowledged in the end');
			});
		}
	});

	describe('without recorded members', () => {
		it('loses commits that only an unregistered replica has', async () => {
			let lostCount = 0;
			for (let seed = 1; seed <= 12 && lostCount === 0; seed++) {
				const {lost} = await runModel({seed, isRecorded: false});
				lostCount += lost.length;
			}

			assert.ok(lostCount > 0);
		});
	});
});
