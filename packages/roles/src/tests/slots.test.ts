/** Guards against two processes holding the same slot after pauses, network partitions or lost responses. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createScope, createVirtualRuntime, Err, Ok, brandId, type VmId, type Runtime,
} from '@guavapitch/core';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {createProcessLease} from '../lease.js';
import {createTakeoverPromises} from '../takeover-promises.js';
import type {Candidate} from '../records.js';
import {runSlot, type Authority, type SlotContext} from '../slots.js';

const VMS = ['a', 'b', 'c', 'd'].map(name => brandId<VmId>(name));
const SLOT = 'steward/0';

type Faults = {isStoreDown: boolean; readonly partitioned: Set<VmId>; readonly ended: Set<VmId>; ranking: readonly VmId[]};

/** Wraps a store with outages, partitions and lost responses; a change whose response is lost may still take effect. */
const createFaultyStore = (sharedStore: Store, runtime: Runtime, faults: Faults, vm: VmId): Store => {
	const callStore = async <Value>(call: () => Promise<Value>): Promise<Value | undefined> => {
		await runtime.sleep(1 + (runtime.random() * 3));
		if (faults.isStoreDown || faults.partitioned.has(vm)) {
			await runtime.sleep(600);
			return undefined;
		}

		return call();
	};

	const noResponse = Err({code: 'storeUnknown', message: 'no response'} as const);
	return {
		read: async key => await callStore(async () => sharedStore.read(key)) ?? noResponse,
		readAll: async prefix => await callStore(async () => sharedStore.readAll(prefix)) ?? noResponse,
		async compareAndSwap(...args) {
			const outcome = await callStore(async () => sharedStore.compareAndSwap(...args));
			return outcome && runtime.random() > 0.05 ? outcome : noResponse;
		},
		remove: async (...args) => await callStore(async () => sharedStore.remove(...args)) ?? noResponse,
		grantLease: async seconds => await callStore(async () => sharedStore.grantLease(seconds)) ?? noResponse,
		renewLease: async id => await callStore(async () => sharedStore.renewLease(id)) ?? noResponse,
		revokeLease: async id => await callStore(async () => sharedStore.revokeLease(id)) ?? noResponse,
		watch: sharedStore.watch,
	};
};

type Step = Readonly<{kind: 'storeDown' | 'storeUp' | 'cut' | 'heal' | 'end' | 'reorder'; vm: number; ms: number}>;

/** Runs four vms that claim a slot through a list of steps; returns the maximum number of holders at a time and for how long the slot was held. */
const runSteps = async (steps: readonly Step[], seed: number) => {
	const {runtime, advance} = createVirtualRuntime(seed);
	const sharedStore = createMemoryStore(runtime);
	const faults: Faults = {
		isStoreDown: false, partitioned: new Set(), ended: new Set(), ranking: VMS,
	};
	const candidates: readonly Candidate[] = VMS.map(vm => ({vm, incarnation: `${vm}1`}));
	const promisesByVm = new Map(candidates.map(candidate => [candidate.vm, createTakeoverPromises(candidate.incarnation, runtime)]));
	const authorities = new Map<VmId, Authority>();
	const scope = createScope(error => {
		throw error;
	});
	for (const self of candidates) {
		const store = createFaultyStore(sharedStore, runtime, faults, self.vm);
		const context: SlotContext = {
			runtime,
			store,
			lease: createProcessLease(store, runtime),
			takeoverPromises: promisesByVm.get(self.vm) ?? createTakeoverPromises('', runtime),
			self,
			slot: SLOT,
			rankCandidates: () => faults.ranking.flatMap(vm => candidates.filter(candidate => candidate.vm === vm)),
			async requestPromise(candidate, request) {
				await runtime.sleep(1 + runtime.random());
				const isPartitioned = faults.partitioned.has(self.vm) || faults.partitioned.has(candidate.vm);
				return isPartitioned ? Err({code: 'peerTimeout', message: 'no response'}) : Ok(promisesByVm.get(candidate.vm)?.give(request, 0) ?? false);
			},
			hasRunEnded: ({vm}) => faults.ended.has(vm),
			async runAsHolder(authority, signal) {
				authorities.set(self.vm, authority);
				await new Promise<void>(resolve => {
					signal.addEventListener('abort', () => {
						resolve();
					}, {once: true});
				});
				authorities.delete(self.vm);
			},
			onGained: () => undefined,
			onLost: () => undefined,
			onExtended: () => undefined,
		};
		scope.run(async signal => runSlot(context, signal));
	}

	let maxHolders = 0;
	let heldMs = 0;
	let totalMs = 0;
	const advanceAndObserve = async (ms: number) => {
		for (let passedMs = 0; passedMs < ms; passedMs += 20) {
			await advance(20);
			const holders = [...authorities.values()].filter(authority => authority.getDeadline() > runtime.now()).length;
			maxHolders = Math.max(maxHolders, holders);
			heldMs += holders > 0 ? 20 : 0;
			totalMs += 20;
		}
	};

	await advanceAndObserve(1500);
	for (const step of steps) {
		const vm = VMS[step.vm] ?? brandId<VmId>('a');
		faults.isStoreDown = step.kind === 'storeDown' || (step.kind !== 'storeUp' && faults.isStoreDown);
		if (step.kind === 'reorder') {
			// The ranking changes: the holder stays first, and two other vms than before come next.
			const holder = [...authorities.keys()][0] ?? vm;
			faults.ranking = [holder, ...VMS.filter(name => name !== holder).toReversed()];
		}

		if (step.kind === 'cut' || step.kind === 'end') {
			faults.partitioned.add(vm);
		} else if (step.kind === 'heal') {
			faults.partitioned.clear();
		}

		if (step.kind === 'end') {
			// The run of the vm has ended: it reaches nobody, and its promises are gone.
			faults.ended.add(vm);
			faults.ranking = faults.ranking.filter(name => name !== vm);
		}

		await advanceAndObserve(step.ms);
	}

	const disposal = scope[Symbol.asyncDispose]();
	await advance(5000);
	await disposal;
	return {maxHolders, heldMs, totalMs};
};

describe('slots', () => {
	describe('mutual exclusion', () => {
		it('is kept through any sequence of outages and partitions', async () => {
			const step = fc.record({kind: fc.constantFrom('storeDown', 'storeUp', 'cut', 'heal'), vm: fc.integer({min: 0, max: 3}), ms: fc.integer({min: 200, max: 4000})});
			await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 6}), fc.nat(), async (steps, seed) => {
				const {maxHolders} = await runSteps(steps, seed);
				assert.ok(maxHolders <= 1, `${maxHolders} holders at the same time`);
			}), {seed: 41, numRuns: 20});
		});
	});

	describe('the end of a candidate', () => {
		it('lets no other vm take over while the last promise of the candidate extends the authority of the holder', async () => {
			for (let seed = 1; seed <= 60; seed++) {
				const {maxHolders} = await runSteps([{kind: 'storeDown', vm: 0, ms: 6000 + (seed * 13)}, {kind: 'end', vm: 1, ms: 1}, {kind: 'storeUp', vm: 0, ms: 3000}], seed);
				assert.ok(maxHolders <= 1, `${maxHolders} holders at the same time, seed ${seed}`);
			}
		});

		it('lets another vm take over soon after, if the holder is gone as well', async () => {
			const {heldMs, totalMs} = await runSteps([{kind: 'end', vm: 1, ms: 1}, {kind: 'cut', vm: 0, ms: 1}, {kind: 'cut', vm: 2, ms: 12_000}], 5);
			assert.ok(heldMs > 0.5 * totalMs, `held ${heldMs} of ${totalMs} ms`);
		});
	});

	describe('takeover', () => {
		it('is done by the vms that are eligible now, even if the ranking has changed since the claim', async () => {
			const {heldMs, totalMs} = await runSteps([{kind: 'reorder', vm: 0, ms: 3000}, {kind: 'cut', vm: 0, ms: 10}, {kind: 'cut', vm: 1, ms: 12_000}], 9);
			assert.ok(heldMs > 0.7 * totalMs, `held ${heldMs} of ${totalMs} ms`);
		});
	});

	describe('store outage', () => {
		it('does not end the authority of the holder while all candidates promise', async () => {
			const {heldMs, totalMs} = await runSteps([{kind: 'storeDown', vm: 0, ms: 20_000}], 3);
			assert.ok(heldMs > 0.9 * totalMs, `held ${heldMs} of ${totalMs} ms`);
		});

		it('ends the authority of a holder that is partitioned from its candidates as well', async () => {
			const {heldMs, totalMs} = await runSteps([{kind: 'storeDown', vm: 0, ms: 100}, ...[0, 1, 2, 3].map(vm => ({kind: 'cut', vm, ms: 3000}) as const)], 4);
			assert.ok(heldMs < 0.6 * totalMs, `held ${heldMs} of ${totalMs} ms`);
		});
	});
});
