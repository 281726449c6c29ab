/** Role claims: no role has two holders, after lost responses and suspensions too, and fencing tokens only grow. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualWorld, Err, Ok, type Instant, type World,
} from '@guavapitch/core';
import {createVmRegistration, type RoleStore} from '../vm-registration.js';
import {createRoleClaims} from '../role-claims.js';

type Entry = Readonly<{value: string; revision: number; leaseId: string | undefined}>;

/** A store with leases, atomic transactions and switchable faults. */
const createFakeStore = (world: World) => {
	const entries = new Map<string, Entry>();
	const leases = new Map<string, number>();
	const state = {isDown: false, losesResponses: false};
	let revision = 0;
	let lastLease = 0;

	const expire = () => {
		for (const [id, until] of leases) {
			if (world.now() >= until) {
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

	const unreachable = Err({code: 'storeUnreachable', message: 'down'} as const);
	const store: RoleStore = {
		async grantLease(ttlMs) {
			expire();
			if (state.isDown) {
				return unreachable;
			}

			const id = String(++lastLease);
			leases.set(id, world.now() + ttlMs);
			return Ok({id, ttlMs});
		},
		async renewLease(id) {
			expire();
			if (state.isDown) {
				return unreachable;
			}

			if (!leases.has(id)) {
				return Err({code: 'leaseLost', message: 'lost'});
			}

			leases.set(id, world.now() + 4000);
			return Ok(4000);
		},
		async revokeLease(id) {
			leases.set(id, 0);
			expire();
			return Ok(undefined);
		},
		async transact({conditions, puts}) {
			expire();
			if (state.isDown) {
				return unreachable;
			}

			if (conditions.some(({key, revision: expected}) => (entries.get(key)?.revision ?? 0) !== expected)) {
				return Ok({revision: undefined});
			}

			revision++;
			for (const {key, value, leaseId} of puts) {
				entries.set(key, {value, revision, leaseId});
			}

			return state.losesResponses ? Err({code: 'storeUnknown', message: 'lost'}) : Ok({revision});
		},
	};
	return {
		store, entries, state, expire,
	};
};

const createSetup = () => {
	const {world, advance} = createVirtualWorld(17);
	const fake = createFakeStore(world);
	const stop = new AbortController();
	const start = (vm: string, rank: number) => {
		const suspension = {suspendedMs: 0};
		const stopVm = new AbortController();
		stop.signal.addEventListener('abort', () => {
			stopVm.abort();
		});
		const registration = createVmRegistration({
			world, readClock: () => (world.now() + suspension.suspendedMs) as Instant, store: fake.store, key: `vms/${vm}`, value: vm, onContact: () => undefined, onFailure: () => undefined,
		});
		const roles = createRoleClaims({
			world,
			store: fake.store,
			registration,
			vm,
			run: `${vm}-1`,
			holderPrefix: 'holders/',
			fencingTokenPrefix: 'epochs/',
			getEntry(key) {
				fake.expire();
				return fake.entries.get(key);
			},
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
		};
	};

	return {
		fake, start, advance, stop,
	};
};

describe('role', () => {
	it('is held by the best-ranked vm, and by the next one after the first has stopped', async () => {
		const {start, advance, stop} = createSetup();
		const first = start('one', 0);
		const second = start('two', 1);
		await advance(1500);
		assert.ok(first.roles.isHeld('ledger'));
		assert.ok(!second.roles.isHeld('ledger'));
		first.kill();
		await advance(6000);
		assert.ok(second.roles.isHeld('ledger'));
		stop.abort();
	});

	it('never has two holders at the same time, even if a holder cannot renew its lease', async () => {
		const {fake, start, advance, stop} = createSetup();
		const vms = [start('one', 0), start('two', 1), start('three', 2)];
		for (let step = 0; step < 400; step++) {
			fake.state.isDown = step % 130 > 80;
			await advance(50);
			assert.ok(vms.filter(({roles}) => roles.isHeld('ledger')).length <= 1);
		}

		stop.abort();
	});

	it('is not held after a suspension that lasted longer than the lease', async () => {
		const {start, advance, stop} = createSetup();
		const first = start('one', 0);
		await advance(1000);
		assert.ok(first.roles.isHeld('ledger'));
		first.suspension.suspendedMs = 5000;
		assert.ok(!first.roles.isHeld('ledger'));
		stop.abort();
	});

	it('is known to its holder although the response to the claim was lost', async () => {
		const {fake, start, advance, stop} = createSetup();
		const first = start('one', 0);
		await advance(100);
		fake.state.losesResponses = true;
		await advance(300);
		fake.state.losesResponses = false;
		await advance(1500);
		assert.ok(first.roles.isHeld('ledger'));
		stop.abort();
	});

	it('draws fencing tokens that only grow, across all holders', async () => {
		const {start, advance, stop} = createSetup();
		const first = start('one', 0);
		const second = start('two', 1);
		await advance(1500);
		const tokens = [await first.roles.drawFencingToken('ledger'), await first.roles.drawFencingToken('ledger')];
		assert.equal(await second.roles.drawFencingToken('ledger'), undefined);
		first.kill();
		await advance(6000);
		tokens.push(await second.roles.drawFencingToken('ledger'));
		assert.deepEqual(tokens, tokens.toSorted((a, b) => (a ?? 0) - (b ?? 0)));
		assert.equal(new Set(tokens).size, 3);
		stop.abort();
	});
});
