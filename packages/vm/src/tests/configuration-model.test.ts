/** Propagation of operators' changes through a fleet whose relays fail: every vm in touch has them within the promised time, and none goes back. */

import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it} from 'node:test';
import {createVirtualRuntime} from '@guavapitch/core';
import {
	APPLY_MS, createModelFleet, type ModelFleet, type ModelVm, type VmState,
} from './model-fleet.js';

/** Time that a vm is given after a disturbance before the promise holds for it, in milliseconds. */
const STABILITY_MS = 4000;
const STEP_MS = 50;
/** Number of failures that one run reports. */
const MAX_REPORTED = 5;
const DATA_CENTRES = 3;
const VMS_PER_DATA_CENTRE = 7;

/** Share of the fleet that must be in touch with the store for a vm that it turns away to count as in touch: such a vm can only learn changes from others. */
const MIN_SOURCE_SHARE = 1 / 3;

const isStable = ({getDisturbedAt}: ModelVm, nowMs: number) => getDisturbedAt() <= nowMs - STABILITY_MS;

/** Lists the vms for which the promise holds. */
const listInTouch = ({vms}: ModelFleet, nowMs: number): readonly ModelVm[] => {
	const sources = vms.filter(vm => vm.getState() === 'working' && isStable(vm, nowMs));
	const turnedAway = vms.filter(vm => vm.getState() === 'turnedAway' && isStable(vm, nowMs));
	return sources.length >= vms.length * MIN_SOURCE_SHARE ? [...sources, ...turnedAway] : sources;
};

/** Runs a fleet and checks the promise at every step; `disturb` is called before each of them. */
const runChecked = async (seed: number, durationMs: number, disturb: (fleet: ModelFleet, nowMs: number, random: () => number) => void) => {
	const {runtime, advance} = createVirtualRuntime(seed);
	const stop = new AbortController();
	const fleet = createModelFleet(runtime, DATA_CENTRES, VMS_PER_DATA_CENTRE, stop.signal);
	const writes: Array<Readonly<{version: number; at: number}>> = [];
	const newest = new Map<ModelVm, number>();
	const failures: string[] = [];
	await advance(STABILITY_MS);
	while (runtime.now() < durationMs) {
		const now = runtime.now();
		if (runtime.random() < 0.1) {
			const version = writes.length + 2;
			fleet.writeConfiguration(version);
			writes.push({version, at: now});
		}

		disturb(fleet, now, runtime.random);
		await advance(STEP_MS);
		const required = writes.findLast(({at}) => at <= runtime.now() - APPLY_MS)?.version ?? 1;
		const inTouch = new Set(listInTouch(fleet, runtime.now()));
		for (const vm of fleet.vms) {
			const version = fleet.getVersion(vm);
			if (version < (newest.get(vm) ?? 0)) {
				failures.push(`${vm.vm} went back to ${version} at ${runtime.now()}`);
			}

			newest.set(vm, version);
			if (inTouch.has(vm) && version < required) {
				failures.push(`${vm.vm} knows ${version} instead of ${required} at ${runtime.now()}`);
			}
		}
	}

	stop.abort();
	await advance(10_000);
	return failures.slice(0, MAX_REPORTED);
};

/** Puts a share of the vms, the oldest first, into a state from `from` to `until`. */
const createOutage = (state: VmState, share: number, from: number, until: number) => (fleet: ModelFleet, nowMs: number) => {
	for (const vm of fleet.vms.slice(0, Math.round(fleet.vms.length * share))) {
		const wanted = nowMs >= from && nowMs < until ? state : 'working';
		if (vm.getState() !== wanted) {
			fleet.setState(vm, wanted);
		}
	}
};

/** Draws outages of random vms, one after the other and overlapping. */
const createDrawnOutages = (states: readonly VmState[]) => {
	const endsAt = new Map<ModelVm, number>();
	return (fleet: ModelFleet, nowMs: number, random: () => number) => {
		for (const [vm, until] of endsAt) {
			if (nowMs >= until) {
				fleet.setState(vm, 'working');
				endsAt.delete(vm);
			}
		}

		if (random() < 0.015) {
			const state = states[Math.floor(random() * states.length)] ?? 'working';
			const share = 0.1 + (0.5 * random());
			const until = nowMs + 1500 + (8000 * random());
			for (const vm of fleet.vms) {
				if (random() < share && !endsAt.has(vm)) {
					fleet.setState(vm, state);
					endsAt.set(vm, until);
				}
			}
		}
	};
};

describe('propagation of the configuration', () => {
	it('costs the store no more reads the more vms there are, as long as nothing fails', async () => {
		const {runtime, advance} = createVirtualRuntime(4);
		const stop = new AbortController();
		const fleet = createModelFleet(runtime, DATA_CENTRES, VMS_PER_DATA_CENTRE, stop.signal);
		await advance(STABILITY_MS);
		const countBefore = fleet.getReadCount();
		await advance(20_000);
		assert.equal(fleet.getReadCount() - countBefore, 0, 'whole reads; one vm watches for all');
		stop.abort();
	});

	describe('is not late at vms in touch', () => {
		for (const state of ['frozen', 'dark'] as const) {
			it(`when the vms that they would follow are ${state}, one after the other`, async () => {
				assert.deepEqual(await runChecked(1, 16_000, createOutage(state, 0.6, 6000, 13_000)), []);
			});
		}

		it('when the reader\'s watch of the operators\' entries stays silent while its other calls succeed', async () => {
			assert.deepEqual(await runChecked(2, 16_000, (fleet, nowMs) => {
				const [reader] = fleet.vms;
				if (reader && nowMs >= 6000) {
					fleet.silenceOperatorWatch(reader);
				}
			}), []);
		});

		it('when the store turns away a vm and every older one that it may follow, while younger ones read it', async () => {
			assert.deepEqual(await runChecked(3, 20_000, createOutage('turnedAway', 0.5, 6000, 16_000)), []);
		});

		for (let seed = 1; seed <= Number(process.env.MODEL_SEEDS ?? 5); seed++) {
			it(`under outages drawn from seed ${seed}`, async () => {
				assert.deepEqual(await runChecked(seed, 40_000, createDrawnOutages(['frozen', 'dark', 'turnedAway'])), []);
			});
		}
	});
});
