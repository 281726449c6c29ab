/** What an allocator may grant of the shares of vms that come into contact with it and leave. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createVirtualRuntime, NEVER, type CustomerId, type VmId,
} from '@guavapitch/core';
import {createQuotaAllocator} from '../quota-allocator.js';
import {computeShare, createShareLedger} from '../quota-shares.js';

const CUSTOMER = brandId<CustomerId>('klub');
const QUOTA = {rate: 10, burst: 100};
const VMS = ['a', 'b', 'c', 'd'].map(name => ({vm: brandId<VmId>(name), run: `run-${name}`}));
const REPORT_INTERVAL_MS = 100;

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(1);
	const ledger = createShareLedger(() => VMS, {now: runtime.now, readSuspensionClock: runtime.now});
	const allocator = createQuotaAllocator({
		runtime, epoch: 1, getAuthorityDeadline: () => NEVER, getQuota: () => QUOTA, computeFractions: ledger.computeFractions,
	});
	let sequence = 0;
	/** Lets some vms report, each naming the report before as answered. */
	const report = async (vms: typeof VMS, ms: number) => {
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += REPORT_INTERVAL_MS) {
			sequence++;
			for (const {vm, run} of vms) {
				ledger.record({
					vm, run, sequence, answered: sequence - 1, vmCount: VMS.length,
				});
			}

			await advance(REPORT_INTERVAL_MS);
		}
	};

	const grant = (wanted: number) => allocator.grantTokens({
		customer: CUSTOMER, wanted, returned: 0, epoch: 1,
	})?.tokens ?? 0;
	return {report, grant};
};

describe('allocator', () => {
	// The vms that were out of contact had used their shares meanwhile, and the allocator granted the tokens that it had kept for them.
	it('loses the tokens of vms that were out of contact, although no token was requested meanwhile', async () => {
		const {report, grant} = createSetup();
		await report(VMS, 20_000);
		assert.equal(grant(1), 1);
		await report(VMS.slice(0, 1), 2000);
		await report(VMS, 500);
		const granted = grant(200);
		assert.ok(granted <= (QUOTA.burst / 4) + (QUOTA.rate * 2.5), `${granted} tokens`);
	});

	it('grants nothing before any vm is in contact, and the shares of those that are afterwards', async () => {
		const {report, grant} = createSetup();
		await report([], 5000);
		assert.equal(grant(100), 0);
		await report(VMS.slice(0, 2), 2000);
		const granted = grant(100);
		assert.ok(granted >= 8 && granted <= 10, `${granted} tokens`);
	});
});

describe('share', () => {
	it('is an equal part, for as many vms as there are tokens in the burst', () => {
		const vms = VMS.map(({vm}) => vm);
		const getShares = (burst: number) => vms.flatMap(vm => computeShare(CUSTOMER, {rate: 8, burst}, vm, {vms, vmCount: vms.length}) ?? []);
		assert.deepEqual(getShares(8), VMS.map(() => ({rate: 2, burst: 2})));
		assert.deepEqual(getShares(2), [{rate: 4, burst: 1}, {rate: 4, burst: 1}]);
		assert.equal(getShares(0.5).length, 1);
	});
});
