/** Role claims: a role never has two holders, not even after lost responses or suspensions, and fencing tokens only grow. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, Err, Ok, PAST, type Instant, type Runtime,
} from '@guavapitch/core';
import {createVmRegistration, type RoleStore} from '../vm-registration.js';
import {createRoleClaims} from '../role-claims.js';

type Entry = Readonly<{value: string; era: number; revision: number; leaseId: string | undefined}>;

const createRecord = (token: number) => ({key: 'records/ledger', value: `for ${token}`});

/** A store with leases, atomic transactions and switchable faults. */
const createFakeStore = (runtime: Runtime) => {
	const entries = new Map<string, Entry>();
	const leases = new Map<string, number>();
	const faults = {isDown: false, losesResponses: false};
	const state = {era: 1};
	let revision = 0;
	let lastLeaseId = 0;

	const expireLeases = () => {
		for (const [id, expiresAt] of leases) {
			if (runtime.now() >= expiresAt) {
				leases.delete(id);
				for (const [key, entry] of entries) {
					if (entry.leaseId === id) {
						entries.delete(key);
						revision++;
					}
				}
			}
		}
	};

	const storeUnreachable = Err({code: 'storeUnreachable', message: 'down'} as const);
	const store: RoleStore = {
		async grantLease(ttlMs) {
			expireLeases();
			if (faults.isDown) {
				return storeUnreachable;
			}

			const id = String(++lastLeaseId);
			leases.set(id, runtime.now() + ttlMs);
			return Ok({id, ttlMs, era: state.era});
		},
		async renewLease(id) {
			expireLeases();
			if (faults.isDown) {
				return storeUnreachable;
			}

			if (!leases.has(id)) {
				return Err({code: 'leaseLost', message: 'lost'});
			}

			leases.set(id, runtime.now() + 4000);
			return Ok({ttlMs: 4000, era: state.era});
		},
		async revokeLease(id) {
			leases.set(id, 0);
			expireLeases();
			return Ok(undefined);
		},
		async read(key) {
			expireLeases();
			return faults.isDown ? storeUnreachable : Ok({value: entries.get(key)?.value, revision: entries.get(key)?.revision ?? 0, era: state.era});
		},
		async transact({conditions, puts}) {
			expireLeases();
			if (faults.isDown) {
				return storeUnreachable;
			}

			if (conditions.some(({key, revision: expected}) => (entries.get(key)?.revision ?? 0) !== expected)) {
				return Ok({revision: undefined, foundRevisions: new Map([...entries].map(([key, entry]) => [key, entry.revision])), era: state.era});
			}

			revision++;
			for (const {key, value, leaseId} of puts) {
				entries.set(key, {
					value, era: state.era, revision, leaseId,
				});
			}

			return faults.losesResponses ? Err({code: 'storeUnknown', message: 'lost'}) : Ok({revision, era: state.era});
		},
	};
	/** Copies the entries and the leases. */
	const takeCopy = () => ({entries: new Map(entries), leases: new Map(leases), revision});

	/** Restores the store from a copy; leases last their whole lifetime again. */
	const restore = (copy: ReturnType<typeof takeCopy>) => {
		state.era++;
		revision = copy.revision;
		entries.clear();
		leases.clear();
		for (const [key, entry] of copy.entries) {
			entries.set(key, {...entry, era: state.era});
		}

		for (const id of copy.leases.keys()) {
			leases.set(id, runtime.now() + 4000);
		}
	};

	return {
		store, entries, faults, state, expireLeases, takeCopy, restore,
	};
};

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(17);
	const fakeStore = createFakeStore(runtime);
	const stop = new AbortController();
	const startVm = (vm: string, rank: number) => {
		const suspension = {suspendedMs: 0};
		/** What the vm knows of the store while its change feed is frozen. */
		let frozen: Readonly<{era: number; entries: ReadonlyMap<string, Entry>}> | undefined;
		const stopVm = new AbortController();
		stop.signal.addEventListener('abort', () => {
			stopVm.abort();
		});
		const registration = createVmRegistration({
			runtime,
			readSuspensionClock: () => (runtime.now() + suspension.suspendedMs) as Instant,
			store: fakeStore.store,
			key: `vms/${vm}`,
			value: vm,
			getKnownEntry: () => ({entry: (frozen ?? fakeStore).entries.get(`vms/${vm}`), completeAt: PAST as number as Instant}),
			onStateChange: () => undefined,
			onContact: () => undefined,
			onFailure: () => undefined,
		});
		const roles = createRoleClaims({
			runtime,
			store: fakeStore.store,
			registration,
			vm,
			run: `${vm}-1`,
			holderPrefix: 'holders/',
			fencingTokenPrefix: 'epochs/',
			getEntry(key) {
				fakeStore.expireLeases();
				return (frozen ?? fakeStore).entries.get(key);
			},
			getEra: () => (frozen ?? fakeStore.state).era,
			listRoles: () => ['ledger'],
			getRank: () => rank,
			hasRunEnded: () => false,
			onWritten: () => undefined,
			onClaimed: () => undefined,
		});
		void registration.run(stopVm.signal);
		void roles.run(stopVm.signal);
		return {
			roles,
			registration,
			suspension,
			kill() {
				stopVm.abort();
			},
			freezeFeed() {
				frozen = {era: fakeStore.state.era, entries: new Map(fakeStore.entries)};
			},
			learnRestore() {
				roles.handleRestore();
				frozen = undefined;
			},
		};
	};

	return {
		fakeStore, startVm, advance, stop,
	};
};

type Setup = ReturnType<typeof createSetup>;
type TestVm = ReturnType<Setup['startVm']>;
type StoreCopy = ReturnType<Setup['fakeStore']['takeCopy']>;

describe('registration of a vm', () => {
	it('writes its entry again if a restored store holds its lease but not the entry', async () => {
		const {fakeStore, startVm, advance, stop} = createSetup();
		startVm('one', 0);
		await advance(500);
		const copy = fakeStore.takeCopy();
		copy.entries.delete('vms/one');
		fakeStore.restore(copy);
		await advance(3000);
		assert.equal(fakeStore.entries.get('vms/one')?.value, 'one');
		stop.abort();
	});
});

describe('role', () => {
	it('is held by the best-ranked vm, and by the next one after the first has stopped', async () => {
		const {startVm, advance, stop} = createSetup();
		const firstVm = startVm('one', 0);
		const secondVm = startVm('two', 1);
		await advance(1500);
		assert.ok(firstVm.roles.isHeld('ledger'));
		assert.ok(!secondVm.roles.isHeld('ledger'));
		firstVm.kill();
		await advance(6000);
		assert.ok(secondVm.roles.isHeld('ledger'));
		stop.abort();
	});

	it('never has two holders at the same time, even if a holder cannot renew its lease', async () => {
		const {fakeStore, startVm, advance, stop} = createSetup();
		const vms = [startVm('one', 0), startVm('two', 1), startVm('three', 2)];
		for (let step = 0; step < 400; step++) {
			fakeStore.faults.isDown = step % 130 > 80;
			await advance(50);
			assert.ok(vms.filter(({roles}) => roles.isHeld('ledger')).length <= 1);
		}

		stop.abort();
	});

	it('is not held after a suspension that lasted longer than the lease', async () => {
		const {startVm, advance, stop} = createSetup();
		const firstVm = startVm('one', 0);
		await advance(1000);
		assert.ok(firstVm.roles.isHeld('ledger'));
		firstVm.suspension.suspendedMs = 5000;
		assert.ok(!firstVm.roles.isHeld('ledger'));
		stop.abort();
	});

	it('is known to its holder even if the response to the claim was lost', async () => {
		const {fakeStore, startVm, advance, stop} = createSetup();
		const firstVm = startVm('one', 0);
		await advance(100);
		fakeStore.faults.losesResponses = true;
		await advance(300);
		fakeStore.faults.losesResponses = false;
		await advance(1500);
		assert.ok(firstVm.roles.isHeld('ledger'));
		stop.abort();
	});

	it('records what each fencing token is for, beyond the lease of the holder', async () => {
		const {startVm, advance, stop, fakeStore} = createSetup();
		const firstVm = startVm('one', 0);
		await advance(1500);
		const token = await firstVm.roles.drawFencingToken('ledger', createRecord);
		firstVm.kill();
		await advance(6000);
		const read = await fakeStore.store.read('records/ledger');
		assert.equal(read.ok && read.val.value, `for ${token}`);
		stop.abort();
	});

	it('draws fencing tokens that only grow, across all holders', async () => {
		const {startVm, advance, stop} = createSetup();
		const firstVm = startVm('one', 0);
		const secondVm = startVm('two', 1);
		await advance(1500);
		const tokens = [await firstVm.roles.drawFencingToken('ledger', createRecord), await firstVm.roles.drawFencingToken('ledger', createRecord)];
		assert.equal(await secondVm.roles.drawFencingToken('ledger', createRecord), undefined);
		firstVm.kill();
		await advance(6000);
		tokens.push(await secondVm.roles.drawFencingToken('ledger', createRecord));
		assert.deepEqual(tokens, tokens.toSorted((a, b) => (a ?? 0) - (b ?? 0)));
		assert.equal(new Set(tokens).size, 3);
		stop.abort();
	});

	describe('after the store was restored from an older copy', () => {
		/** Restores the store, of which each vm learns at its own time, and asserts for ten seconds that the role never has two holders. */
		const restoreAndCheck = async (setup: Setup, copy: StoreCopy, vms: readonly TestVm[], learnsAfterMs: readonly number[]) => {
			for (const vm of vms) {
				vm.freezeFeed();
			}

			setup.fakeStore.restore(copy);
			for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 50) {
				for (const [index, vm] of vms.entries()) {
					if (learnsAfterMs[index] === elapsedMs) {
						vm.learnRestore();
					}
				}

				await setup.advance(50);
				const holders = vms.filter(({roles}) => roles.isHeld('ledger'));
				assert.ok(holders.length <= 1, `${holders.length} holders after ${elapsedMs} ms`);
			}
		};

		it('never has two holders, although the restored store has forgotten the holder, which learns of it last', async () => {
			const setup = createSetup();
			const copy = setup.fakeStore.takeCopy();
			const vms = [setup.startVm('one', 0), setup.startVm('two', 1)];
			await setup.advance(1500);
			assert.ok(vms[0]?.roles.isHeld('ledger'));
			await restoreAndCheck(setup, copy, vms, [1500, 0]);
			assert.equal(vms.filter(({roles}) => roles.isHeld('ledger')).length, 1);
			setup.stop.abort();
		});

		it('never has two holders, although the restored store names one that had lost the role', async () => {
			const setup = createSetup();
			const vms = [setup.startVm('one', 0), setup.startVm('two', 1)] as const;
			await setup.advance(1500);
			const copy = setup.fakeStore.takeCopy();
			await vms[0].registration.deregister();
			await setup.advance(2000);
			assert.ok(vms[1].roles.isHeld('ledger'));
			const returned = setup.startVm('one', 0);
			await setup.advance(500);
			await restoreAndCheck(setup, copy, [returned, vms[1]], [0, 1500]);
			setup.stop.abort();
		});

		it('is claimed again at once by its holder', async () => {
			const setup = createSetup();
			const copy = setup.fakeStore.takeCopy();
			const firstVm = setup.startVm('one', 0);
			await setup.advance(1500);
			firstVm.freezeFeed();
			setup.fakeStore.restore(copy);
			firstVm.learnRestore();
			await setup.advance(2200);
			assert.ok(firstVm.roles.isHeld('ledger'));
			setup.stop.abort();
		});

		it('draws fencing tokens above all that were drawn before', async () => {
			const setup = createSetup();
			const firstVm = setup.startVm('one', 0);
			await setup.advance(1500);
			const copy = setup.fakeStore.takeCopy();
			const tokensBefore = [await firstVm.roles.drawFencingToken('ledger', createRecord), await firstVm.roles.drawFencingToken('ledger', createRecord)];
			firstVm.freezeFeed();
			setup.fakeStore.restore(copy);
			assert.equal(await firstVm.roles.drawFencingToken('ledger', createRecord), undefined);
			firstVm.learnRestore();
			await setup.advance(2200);
			const tokenAfter = await firstVm.roles.drawFencingToken('ledger', createRecord);
			assert.ok(tokenAfter !== undefined && tokenAfter > Math.max(...tokensBefore.map(Number)), `${tokenAfter} after ${tokensBefore.join(', ')}`);
			setup.stop.abort();
		});
	});
});
