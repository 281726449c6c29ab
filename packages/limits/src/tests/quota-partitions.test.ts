/** The sum of all tokens of a customer stays within its quota while vms are cut off from each other, suspended, or know different allocators. */

import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {MIN_BURST, type Quota} from '../bucket.js';
import {computeExcess, runFleet, type Fault} from './model-quota-fleet.js';

const QUOTA: Quota = {rate: 150, burst: 150};
const CUT: Fault = {
	kind: 'cut', at: 1500, forMs: 4000, share: 0.35, isOneWay: false, isScattered: true,
};

const computeTokens = (quota: Quota) => ({rate: quota.rate, burst: quota.rate > 0 ? Math.max(MIN_BURST, quota.burst) : quota.burst});

describe('quota while vms are cut off from each other', () => {
	// Each vm that was cut off gave out the whole quota, while the allocator went on granting it to the others.
	it('is not exceeded by all of them together, and the shares of those cut off are used', async () => {
		const {times, sharedCount} = await runFleet({
			vmCount: 19, quota: QUOTA, seed: 10, lengthMs: 8000, pressing: 1, burstMs: 0, faults: [CUT],
		});
		const excess = computeExcess(times, QUOTA);
		assert.ok(excess <= 1e-6, `exceeded by ${excess}`);
		assert.ok(sharedCount >= QUOTA.rate * 0.35 * 2, `${sharedCount} from shares`);
		assert.ok(times.length >= QUOTA.rate * 8 * 0.7, `${times.length} in 8 s`);
	});

	it('is exceeded by the same check when each vm that gets no answer gives out a part by itself, and the allocator the whole', async () => {
		const {times} = await runFleet({
			vmCount: 19, quota: QUOTA, seed: 10, lengthMs: 8000, pressing: 1, burstMs: 0, faults: [CUT], fallback: {rate: QUOTA.rate, burst: QUOTA.burst * 0.3},
		});
		const excess = computeExcess(times, QUOTA);
		assert.ok(excess > QUOTA.rate, `exceeded by ${excess}`);
	});

	it('is served by shares while no allocator answers', async () => {
		const {times, sharedCount} = await runFleet({
			vmCount: 15, quota: QUOTA, seed: 11, lengthMs: 8000, pressing: 1, burstMs: 0, faults: [{
				kind: 'suspend', at: 1500, forMs: 6500, share: 0, isOneWay: false, isScattered: false,
			}, {
				kind: 'cut', at: 2000, forMs: 6000, share: 1, isOneWay: false, isScattered: true,
			}],
		});
		assert.ok(computeExcess(times, QUOTA) <= 1e-6);
		assert.ok(sharedCount >= QUOTA.rate * 5 * 0.8, `${sharedCount} from shares`);
	});

	// The clock that counts suspensions takes a step of the time of day for one: buckets were filled for time that had not passed, and vms used their shares while an allocator counted them.
	it('is not exceeded when the time of day jumps ahead', async () => {
		const steps = Array.from({length: 12}, (_, count): Fault => ({
			kind: 'step', at: 1500 + (500 * count), forMs: 2000, share: 0.5, isOneWay: false, isScattered: false,
		}));
		const {times} = await runFleet({
			vmCount: 19, quota: QUOTA, seed: 12, lengthMs: 8000, pressing: 1, burstMs: 0, faults: steps,
		});
		const excess = computeExcess(times, QUOTA);
		assert.ok(excess <= 1e-6, `exceeded by ${excess}`);
	});

	describe('drawn', () => {
		it('is never exceeded for any cut, suspension or change of allocator, in fleets and quotas of every size', async () => {
			const runs = Number(process.env.QUOTA_RUNS ?? 25);
			await fc.assert(fc.asyncProperty(fc.record({
				vmCount: fc.constantFrom(3, 5, 19, 60),
				quota: fc.record({rate: fc.constantFrom(0, 0.5, 5, 40, 150, 600), burst: fc.constantFrom(0, 1, 2, 6, 25, 150, 600)}),
				seed: fc.nat(),
				pressing: fc.constantFrom(0.2, 1),
				burstMs: fc.constantFrom(0, 100, 800),
				faults: fc.array(fc.record({
					kind: fc.constantFrom('cut' as const, 'cut' as const, 'suspend' as const, 'appoint' as const, 'return' as const, 'step' as const),
					at: fc.integer({min: 0, max: 5000}),
					forMs: fc.constantFrom(200, 700, 2000, 6000),
					share: fc.constantFrom(0.1, 0.35, 0.6, 1),
					isOneWay: fc.boolean(),
					isScattered: fc.boolean(),
				}), {maxLength: 7}),
			}), async run => {
				const {times} = await runFleet({...run, lengthMs: 7000});
				const excess = computeExcess(times, computeTokens(run.quota));
				assert.ok(excess <= 1e-6, `exceeded by ${excess}`);
			}), {seed: Number(process.env.QUOTA_SEED ?? 10), numRuns: runs});
		});
	});
});
