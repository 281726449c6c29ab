/** Duties of one vm at a time: claims, lost answers, fencing numbers, suspensions. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualWorld, Err, Ok, type Instant, type World,
} from '@guavapitch/core';
import {createVmRegistration, type RoleStore} from '../vm-registration.js';
import {createRoleClaims} from '../role-claims.js';

type Item = Readonly<{value: string; revision: number; leaseId: string | undefined}>;

/** A store with leases, all-or-nothing changes and switches for its faults. */
const createFakeStore = (world: World) => {
	const items = new Map<string, Item>();
	const leases = new Map<string, number>();
	const state = {isDown: false, losesAnswers: false};
	let revision = 0;
	let lastLease = 0;

	const expire = () => {
		for (const [id, until] of leases) {
			if (world.now() >= until) {
				leases.delete(id);
				for (const [key, item] of items) {
					if (item.leaseId === id) {
						items.delete(key);
						revision++;
					}
				}
			}
		}
	};

	const down = Err({code: 'storeUnreachable', message: 'down'} as const);
	const store: RoleStore = {
		async grantLease(ttlMs) {
			expire();
			if (state.isDown) {
				return down;
			}

			const id = String(++lastLease);
			leases.set(id, world.now() + ttlMs);
			return Ok({id, ttlMs});
		},
		async renewLease(id) {
			expire();
			if (state.isDown) {
				return down;
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
				return down;
			}

			if (conditions.some(({key, revision: wanted}) => (items.get(key)?.revision ?? 0) !== wanted)) {
				return Ok({revision: undefined});
			}

			revision++;
			for (const {key, value, leaseId} of puts) {
				items.set(key, {value, revision, leaseId});
			}

			return state.losesAnswers ? Err({code: 'storeUnknown', message: 'lost'}) : Ok({revision});
		},
	};
	return {
		store, items, state, expire,
	};
};

const createSetup = () => {
	const {world, advance} = createVirtualWorld(17);
	const fake = createFakeStore(world);
	const stop = new AbortController();
	const start = (vm: string, rank: number) => {
		const skew = {suspendedMs: 0};
		const own = new AbortController();
		stop.signal.addEventListener('abort', () => {
			own.abort();
		});
		const presence = createVmRegistration({
			world, readClock: () => (world.now() + skew.suspendedMs) as Instant, store: fake.store, key: `vms/${vm}`, value: vm, onContact: () => undefined, onFailure: () => undefined,
		});
		const duties = createRoleClaims({
			world,
			store: fake.store,
			registration: presence,
			vm,
			run: `${vm}-1`,
			holderPrefix: 'holders/',
			epochPrefix: 'epochs/',
			getEntry(key) {
				fake.expire();
				return fake.items.get(key);
			},
			listRoles: () => ['ledger'],
			getRank: () => rank,
			hasRunEnded: () => false,
			onWritten: () => undefined,
			onClaimed: () => undefined,
		});
		void presence.run(own.signal);
		void duties.run(own.signal);
		return {
			duties,
			presence,
			skew,
			kill() {
				own.abort();
			},
		};
	};

	return {
		fake, start, advance, stop,
	};
};

describe('stewardship', () => {
	it('is held by the first ranked, and by the next after it is gone', async () => {
		const {start, advance, stop} = createSetup();
		const first = start('one', 0);
		const second = start('two', 1);
		await advance(1500);
		assert.ok(first.duties.isHeld('ledger'));
		assert.ok(!second.duties.isHeld('ledger'));
		first.kill();
		await advance(6000);
		assert.ok(second.duties.isHeld('ledger'));
		stop.abort();
	});

	it('is never held twice at one moment, also when a holder cannot renew', async () => {
		const {fake, start, advance, stop} = createSetup();
		const vms = [start('one', 0), start('two', 1), start('three', 2)];
		for (let step = 0; step < 400; step++) {
			fake.state.isDown = step % 130 > 80;
			await advance(50);
			assert.ok(vms.filter(({duties}) => duties.isHeld('ledger')).length <= 1);
		}

		stop.abort();
	});

	it('is not held after a suspension that outlasted the lease', async () => {
		const {start, advance, stop} = createSetup();
		const first = start('one', 0);
		await advance(1000);
		assert.ok(first.duties.isHeld('ledger'));
		first.skew.suspendedMs = 5000;
		assert.ok(!first.duties.isHeld('ledger'));
		stop.abort();
	});

	it('is known to its holder although the answer to the claim was lost', async () => {
		const {fake, start, advance, stop} = createSetup();
		const first = start('one', 0);
		await advance(100);
		fake.state.losesAnswers = true;
		await advance(300);
		fake.state.losesAnswers = false;
		await advance(1500);
		assert.ok(first.duties.isHeld('ledger'));
		stop.abort();
	});

	it('draws fencing numbers that only grow, over all holders', async () => {
		const {start, advance, stop} = createSetup();
		const first = start('one', 0);
		const second = start('two', 1);
		await advance(1500);
		const drawn = [await first.duties.drawFencingToken('ledger'), await first.duties.drawFencingToken('ledger')];
		assert.equal(await second.duties.drawFencingToken('ledger'), undefined);
		first.kill();
		await advance(6000);
		drawn.push(await second.duties.drawFencingToken('ledger'));
		assert.deepEqual(drawn, drawn.toSorted((a, b) => (a ?? 0) - (b ?? 0)));
		assert.equal(new Set(drawn).size, 3);
		stop.abort();
	});
});
