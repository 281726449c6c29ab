/** Registration of a vm at a store that answers late, not at all, or executes a write seconds after the calls that came later. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, Err, Ok, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import type {StoreFailure} from '@guavapitch/store';
import {
	createVmRegistration, type CachedEntry, type RegistrationState, type RoleStore, type TransactionOutcome,
} from '../vm-registration.js';

const KEY = 'vms/one';
/** Time after which a call without an answer fails, in milliseconds. */
const TIMEOUT_MS = 1200;
const ERA = 1;

/** How the store handles a call: it answers, refuses it, or executes it after a time, in milliseconds, and never answers. */
type Handling = 'answer' | 'refuse' | Readonly<{lateMs: number}>;

type Entry = CachedEntry & Readonly<{leaseId: string | undefined}>;

/** Creates a store; `handle` decides about each call. */
const createLateStore = (runtime: Runtime, handle: (call: keyof RoleStore) => Handling) => {
	const entries = new Map<string, Entry>();
	const leases = new Map<string, Readonly<{ttlMs: number; expiresAt: number}>>();
	const calls: Array<keyof RoleStore> = [];
	let revision = 0;
	let leaseCount = 0;

	const endLease = (id: string) => {
		leases.delete(id);
		for (const [key, {leaseId}] of entries) {
			if (leaseId === id) {
				entries.delete(key);
				revision++;
			}
		}
	};

	const expireLeases = () => {
		for (const [id, {expiresAt}] of leases) {
			if (runtime.now() >= expiresAt) {
				endLease(id);
			}
		}
	};

	const call = async <Value>(kind: keyof RoleStore, execute: () => Result<Value, StoreFailure>): Promise<Result<Value, StoreFailure>> => {
		calls.push(kind);
		const handling = handle(kind);
		await runtime.sleep(4);
		expireLeases();
		if (handling === 'answer') {
			return execute();
		}

		if (handling === 'refuse') {
			return Err({code: 'storeUnreachable', message: 'refused'});
		}

		runtime.schedule(handling.lateMs, () => {
			expireLeases();
			execute();
		});
		await runtime.sleep(TIMEOUT_MS);
		return Err({code: 'storeUnknown', message: 'no answer'});
	};

	const put = (key: string, value: string, leaseId: string | undefined): number => {
		revision++;
		entries.set(key, {
			value, era: ERA, revision, leaseId,
		});
		return revision;
	};

	const store: RoleStore = {
		grantLease: async ttlMs => call('grantLease', () => {
			const id = String(++leaseCount);
			leases.set(id, {ttlMs, expiresAt: runtime.now() + ttlMs});
			return Ok({id, ttlMs, era: ERA});
		}),
		renewLease: async id => call('renewLease', () => {
			const lease = leases.get(id);
			if (!lease) {
				return Err({code: 'leaseLost', message: 'lost'});
			}

			leases.set(id, {...lease, expiresAt: runtime.now() + lease.ttlMs});
			return Ok({ttlMs: lease.ttlMs, era: ERA});
		}),
		revokeLease: async id => call('revokeLease', () => {
			endLease(id);
			return Ok(undefined);
		}),
		read: async key => call('read', () => Ok({value: entries.get(key)?.value, revision: entries.get(key)?.revision ?? 0, era: ERA})),
		transact: async ({conditions, puts}) => call<TransactionOutcome>('transact', () => {
			if (conditions.some(({key, revision: expected}) => (entries.get(key)?.revision ?? 0) !== expected)) {
				return Ok({revision: undefined, foundRevisions: new Map([...entries].map(([key, entry]) => [key, entry.revision])), era: ERA});
			}

			if (puts.some(({leaseId}) => leaseId !== undefined && !leases.has(leaseId))) {
				return Err({code: 'leaseLost', message: 'no such lease'});
			}

			for (const {key, value, leaseId} of puts) {
				put(key, value, leaseId);
			}

			return Ok({revision, era: ERA});
		}),
	};

	return {
		store, calls, put,
		getEntry(): Entry | undefined {
			expireLeases();
			return entries.get(KEY);
		},
		remove() {
			entries.delete(KEY);
			revision++;
		},
	};
};

/** Creates a store and the means to start runs of one vm that register there. */
const createSetup = (handle: (call: keyof RoleStore, count: number) => Handling, seed = 17) => {
	const {runtime, advance} = createVirtualRuntime(seed);
	const counts = new Map<string, number>();
	const lateStore = createLateStore(runtime, call => {
		const count = (counts.get(call) ?? 0) + 1;
		counts.set(call, count);
		return handle(call, count);
	});
	const stop = new AbortController();
	/** The entry as the change feed delivers it while it is frozen. */
	let frozen: Readonly<{entry: Entry | undefined; completeAt: Instant}> | undefined;
	const startRun = (run: string) => {
		const stopRun = new AbortController();
		const states: RegistrationState[] = [];
		const registration = createVmRegistration({
			runtime,
			readSuspensionClock: runtime.now,
			store: lateStore.store,
			key: KEY,
			value: run,
			getKnownEntry: () => frozen ?? {entry: lateStore.getEntry(), completeAt: runtime.now()},
			onStateChange(state) {
				states.push(state);
			},
			onContact: () => undefined,
			onFailure: () => undefined,
		});
		void registration.run(AbortSignal.any([stop.signal, stopRun.signal]));
		return {
			registration,
			states,
			kill() {
				stopRun.abort();
			},
		};
	};

	return {
		...lateStore,
		runtime,
		advance,
		startRun,
		freezeFeed() {
			frozen = {entry: lateStore.getEntry(), completeAt: runtime.now()};
		},
		thawFeed() {
			frozen = undefined;
		},
		[Symbol.dispose]() {
			stop.abort();
		},
	};
};

describe('registration of a vm', () => {
	describe('whose first write gets no answer', () => {
		it('stays listed when that write is executed after a later one (a fleet never served again after lost answers)', async () => {
			using setup = createSetup((call, count) => call === 'transact' && count === 1 ? {lateMs: 3000} : 'answer');
			const {registration} = setup.startRun('run-1');
			for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 100) {
				await setup.advance(100);
				assert.ok(elapsedMs < 2000 || setup.getEntry() !== undefined, `not listed after ${elapsedMs} ms`);
			}

			assert.notEqual(registration.getLease(), undefined);
		});

		it('draws no second lease', async () => {
			using setup = createSetup((call, count) => call === 'transact' && count === 1 ? {lateMs: 100} : 'answer');
			setup.startRun('run-1');
			await setup.advance(10_000);
			assert.equal(setup.calls.filter(call => call === 'grantLease').length, 1);
		});
	});

	describe('of a vm that starts again', () => {
		it('is not replaced by a write of the run before (other vms took its roles while it acted)', async () => {
			using setup = createSetup((call, count) => call === 'transact' && count === 1 ? {lateMs: 3000} : 'answer');
			const firstRun = setup.startRun('run-1');
			await setup.advance(200);
			firstRun.kill();
			setup.startRun('run-2');
			for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 100) {
				await setup.advance(100);
				assert.equal(setup.getEntry()?.value, 'run-2', `after ${elapsedMs} ms`);
			}
		});

		it('replaces the entry of the run before, whose lease has not ended', async () => {
			using setup = createSetup(() => 'answer');
			const firstRun = setup.startRun('run-1');
			await setup.advance(200);
			firstRun.kill();
			setup.startRun('run-2');
			await setup.advance(200);
			assert.equal(setup.getEntry()?.value, 'run-2');
		});
	});

	describe('of a vm that leaves', () => {
		for (const deregisterAfterMs of [2, 6, 500]) {
			it(`does not come back when a write is executed late (deregistered ${deregisterAfterMs} ms after the start)`, async () => {
				using setup = createSetup((call, count) => call === 'transact' && count === 1 ? {lateMs: 1000} : 'answer');
				const {registration} = setup.startRun('run-1');
				await setup.advance(deregisterAfterMs);
				await setup.advance(0);
				void registration.deregister();
				await setup.advance(100);
				for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 100) {
					assert.equal(setup.getEntry(), undefined, `listed after ${elapsedMs} ms`);
					await setup.advance(100);
				}
			});
		}
	});

	describe('whose entry is lost', () => {
		it('is written again after the entry was removed', async () => {
			using setup = createSetup(() => 'answer');
			const {states} = setup.startRun('run-1');
			await setup.advance(1000);
			setup.remove();
			await setup.advance(2000);
			assert.equal(setup.getEntry()?.value, 'run-1');
			assert.deepEqual(states, ['registered', 'missing', 'registered']);
		});

		it('is written again after another writer replaced the entry, and confirms no lease in between', async () => {
			using setup = createSetup(() => 'answer');
			const {registration, states} = setup.startRun('run-1');
			await setup.advance(1000);
			setup.put(KEY, 'run-0', undefined);
			assert.equal(registration.getLease(), undefined);
			await setup.advance(2000);
			assert.equal(setup.getEntry()?.value, 'run-1');
			assert.notEqual(registration.getLease(), undefined);
			assert.deepEqual(states, ['registered', 'replaced', 'registered']);
		});

		it('is not written again for a feed that has not read the store since the write', async () => {
			using setup = createSetup(() => 'answer');
			setup.freezeFeed();
			setup.startRun('run-1');
			await setup.advance(20_000);
			assert.equal(setup.calls.filter(call => call === 'transact').length, 1);
		});

		it('is written at most once for each renewal while the store refuses this vm and then loses the entry again and again', async () => {
			let isRefusing = false;
			using setup = createSetup(() => isRefusing ? 'refuse' : 'answer');
			setup.startRun('run-1');
			await setup.advance(1000);
			isRefusing = true;
			await setup.advance(2000);
			isRefusing = false;
			for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 50) {
				setup.remove();
				await setup.advance(50);
			}

			const renewals = setup.calls.filter(call => call === 'renewLease').length;
			assert.ok(setup.calls.filter(call => call === 'transact').length <= renewals + 1);
		});
	});

	describe('at a store that executes calls late, in any order, and does not answer them', () => {
		for (let seed = 1; seed <= 20; seed++) {
			it(`is listed for good once all calls are answered (seed ${seed})`, async () => {
				let isLosing = true;
				using setup = createSetup(() => isLosing && setup.runtime.random() < 0.35 ? {lateMs: setup.runtime.random() * 6000} : 'answer', seed);
				let {kill} = setup.startRun('run-1');
				for (let run = 2; run <= 4; run++) {
					await setup.advance(1500);
					kill();
					({kill} = setup.startRun(`run-${run}`));
				}

				await setup.advance(1500);
				isLosing = false;
				// A call that is under way may still be lost, and the next one tried after a pause.
				await setup.advance(3000);
				for (let elapsedMs = 0; elapsedMs < 15_000; elapsedMs += 100) {
					await setup.advance(100);
					assert.equal(setup.getEntry()?.value, 'run-4', `after ${elapsedMs} ms`);
				}
			});
		}
	});
});
