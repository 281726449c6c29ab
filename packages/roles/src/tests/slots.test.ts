/** Two processes never hold the same slot, whatever is paused, cut off or lost. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createScope, createVirtualWorld, Err, Ok, parseId, type VmId, type World,
} from '@guavapitch/core';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {createProcessLease} from '../lease.js';
import {createTakeoverPromises} from '../takeover-promises.js';
import type {Candidate} from '../records.js';
import {runSlot, type Authority, type SlotContext} from '../slots.js';

const VMS = ['a', 'b', 'c', 'd'].map(name => parseId<VmId>(name));
const SLOT = 'steward/0';

type Weather = {storeDown: boolean; readonly cut: Set<VmId>; order: readonly VmId[]};

/** A store that does not answer while the weather says so; a change may take effect all the same. */
const createFlakyStore = (inner: Store, world: World, weather: Weather, vm: VmId): Store => {
	const pass = async <Value>(call: () => Promise<Value>): Promise<Value | undefined> => {
		await world.sleep(1 + (world.random() * 3));
		if (weather.storeDown || weather.cut.has(vm)) {
			await world.sleep(600);
			return undefined;
		}

		return call();
	};

	const lost = Err({code: 'storeUnknown', message: 'no answer'} as const);
	return {
		read: async key => await pass(async () => inner.read(key)) ?? lost,
		readAll: async prefix => await pass(async () => inner.readAll(prefix)) ?? lost,
		async compareAndSwap(...args) {
			const outcome = await pass(async () => inner.compareAndSwap(...args));
			return outcome && world.random() > 0.05 ? outcome : lost;
		},
		remove: async (...args) => await pass(async () => inner.remove(...args)) ?? lost,
		grantLease: async seconds => await pass(async () => inner.grantLease(seconds)) ?? lost,
		renewLease: async id => await pass(async () => inner.renewLease(id)) ?? lost,
		revokeLease: async id => await pass(async () => inner.revokeLease(id)) ?? lost,
		watch: inner.watch,
	};
};

type Step = Readonly<{kind: 'storeDown' | 'storeUp' | 'cut' | 'heal' | 'reorder'; vm: number; ms: number}>;

/** Runs four contenders through a list of steps; gives the holders seen at each moment and the time held. */
const runContenders = async (steps: readonly Step[], seed: number) => {
	const {world, advance} = createVirtualWorld(seed);
	const inner = createMemoryStore(world);
	const weather: Weather = {storeDown: false, cut: new Set(), order: VMS};
	const candidates: readonly Candidate[] = VMS.map(vm => ({vm, incarnation: `${vm}1`}));
	const books = new Map(candidates.map(candidate => [candidate.vm, createTakeoverPromises(candidate.incarnation, world)]));
	const held = new Map<VmId, Authority>();
	const scope = createScope(error => {
		throw error;
	});
	for (const self of candidates) {
		const store = createFlakyStore(inner, world, weather, self.vm);
		const context: SlotContext = {
			world,
			store,
			lease: createProcessLease(store, world),
			promises: books.get(self.vm) ?? createTakeoverPromises('', world),
			self,
			slot: SLOT,
			rankCandidates: () => weather.order.flatMap(vm => candidates.filter(candidate => candidate.vm === vm)),
			async requestPromise(candidate, request) {
				await world.sleep(1 + world.random());
				const isCut = weather.cut.has(self.vm) || weather.cut.has(candidate.vm);
				return isCut ? Err({code: 'peerTimeout', message: 'cut off'}) : Ok(books.get(candidate.vm)?.give(request, 0) ?? false);
			},
			isConfirmedGone: () => false,
			async runAsHolder(authority, signal) {
				held.set(self.vm, authority);
				await new Promise<void>(resolve => {
					signal.addEventListener('abort', () => {
						resolve();
					}, {once: true});
				});
				held.delete(self.vm);
			},
			onGained: () => undefined,
			onLost: () => undefined,
			onExtended: () => undefined,
		};
		scope.run(async signal => runSlot(context, signal));
	}

	let mostHolders = 0;
	let heldMs = 0;
	let totalMs = 0;
	const look = async (ms: number) => {
		for (let passed = 0; passed < ms; passed += 20) {
			await advance(20);
			const holders = [...held.values()].filter(authority => authority.getDeadline() > world.now()).length;
			mostHolders = Math.max(mostHolders, holders);
			heldMs += holders > 0 ? 20 : 0;
			totalMs += 20;
		}
	};

	await look(1500);
	for (const step of steps) {
		const vm = VMS[step.vm] ?? parseId<VmId>('a');
		weather.storeDown = step.kind === 'storeDown' || (step.kind !== 'storeUp' && weather.storeDown);
		if (step.kind === 'reorder') {
			// The ranking changes so that the holder stays in it and two others than before come next.
			const holder = [...held.keys()][0] ?? vm;
			weather.order = [holder, ...VMS.filter(one => one !== holder).toReversed()];
		}

		if (step.kind === 'cut') {
			weather.cut.add(vm);
		} else if (step.kind === 'heal') {
			weather.cut.clear();
		}

		await look(step.ms);
	}

	const closing = scope[Symbol.asyncDispose]();
	await advance(5000);
	await closing;
	return {mostHolders, heldMs, totalMs};
};

describe('slots', () => {
	describe('exclusion', () => {
		it('holds under any order of outages and cuts', async () => {
			const step = fc.record({kind: fc.constantFrom('storeDown', 'storeUp', 'cut', 'heal'), vm: fc.integer({min: 0, max: 3}), ms: fc.integer({min: 200, max: 4000})});
			await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 6}), fc.nat(), async (steps, seed) => {
				const {mostHolders} = await runContenders(steps, seed);
				assert.ok(mostHolders <= 1, `${mostHolders} holders at a time`);
			}), {seed: 41, numRuns: 20});
		});
	});

	describe('take-over', () => {
		it('goes to those who contend now, though the ranking has changed since the claim', async () => {
			const {heldMs, totalMs} = await runContenders([{kind: 'reorder', vm: 0, ms: 3000}, {kind: 'cut', vm: 0, ms: 10}, {kind: 'cut', vm: 1, ms: 12_000}], 9);
			assert.ok(heldMs > 0.7 * totalMs, `held ${heldMs} of ${totalMs} ms`);
		});
	});

	describe('outage of the store', () => {
		it('costs no authority while all candidates promise', async () => {
			const {heldMs, totalMs} = await runContenders([{kind: 'storeDown', vm: 0, ms: 20_000}], 3);
			assert.ok(heldMs > 0.9 * totalMs, `held ${heldMs} of ${totalMs} ms`);
		});

		it('ends the authority of a holder that is cut off from its candidates too', async () => {
			const {heldMs, totalMs} = await runContenders([{kind: 'storeDown', vm: 0, ms: 100}, ...[0, 1, 2, 3].map(vm => ({kind: 'cut', vm, ms: 3000}) as const)], 4);
			assert.ok(heldMs < 0.6 * totalMs, `held ${heldMs} of ${totalMs} ms`);
		});
	});
});
