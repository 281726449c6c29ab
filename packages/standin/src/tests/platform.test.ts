/** The platform's stand-in: rates, counts of calls, and faults on command. */

import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {createWorld} from '@guavapitch/core';
import {openEtcdStore, type EtcdStore} from '@guavapitch/store';
import {startPlatform, type PlatformServer} from '../platform.js';

const CALL_TIMEOUT_MS = 3000;
const FAULTS = '/standin/faults';

describe('platform', () => {
	const world = createWorld();
	const startedAt = world.now();
	let server: PlatformServer;
	let clients: EtcdStore[] = [];

	const connect = (clientName: string): EtcdStore => {
		const store = openEtcdStore({address: `127.0.0.1:${server.port}`, clientName, callTimeoutMs: CALL_TIMEOUT_MS}, world);
		clients.push(store);
		return store;
	};

	const setFaults = async (store: EtcdStore, faults: Readonly<Record<string, unknown>>) => {
		const current = (await store.read(FAULTS)).unwrap();
		(await store.compareAndSwap(FAULTS, current?.revision ?? 0, JSON.stringify(faults))).unwrap();
	};

	const readCalls = async (store: EtcdStore) => JSON.parse((await store.read('/standin/calls')).unwrap()?.value ?? '{}') as Readonly<Record<string, number>>;

	beforeEach(async () => {
		// One clock second never ends, so the rates are exact.
		server = await startPlatform({...world, now: () => startedAt}, 0, {writes: 3, reads: 50});
	});

	afterEach(async () => {
		await Promise.all(clients.map(async client => client[Symbol.asyncDispose]()));
		clients = [];
		await server[Symbol.asyncDispose]();
	});

	describe('rates', () => {
		it('refuse what is over them, and carry none of it out', async () => {
			const store = connect('a');
			const swaps = await Promise.all(Array.from({length: 10}, async (_, index) => store.compareAndSwap(`/k/${index}`, 0, 'v')));
			const refused = swaps.filter(swap => swap.err);
			assert.equal(refused.length, 7);
			assert.ok(refused.every(swap => swap.err && swap.val.code === 'storeUnreachable'));
			const kept = (await store.readAll('/k/')).unwrap();
			assert.equal(kept.length, 3);
		});
	});

	describe('counts', () => {
		it('name every call, a waiting watch as one', async () => {
			const store = connect('a');
			const watching = new AbortController();
			let heard = 0;
			const watched = store.watch('/k/', () => {
				heard++;
			}, watching.signal);
			(await store.compareAndSwap('/k/1', 0, 'v')).unwrap();
			(await store.compareAndSwap('/k/2', 0, 'v')).unwrap();
			while (heard < 2) {
				await world.sleep(5);
			}

			const calls = await readCalls(store);
			assert.equal(calls.Watch, 1);
			assert.equal(calls.Txn, 2);
			watching.abort();
			await watched;
		});
	});

	describe('faults', () => {
		it('cut off only the clients that are named', async () => {
			const near = connect('near');
			const far = connect('far');
			await setFaults(near, {cut: ['far']});
			assert.ok((await near.read('/k/1')).ok);
			const cut = await far.read('/k/1');
			assert.ok(cut.err && cut.val.code === 'storeUnknown');
			await setFaults(near, {});
			assert.ok((await far.read('/k/1')).ok);
		});

		it('lose the answer after the change took effect', async () => {
			const store = connect('a');
			await setFaults(store, {loseAnswers: 1});
			const swap = await store.compareAndSwap('/k/1', 0, 'v');
			assert.ok(swap.err && swap.val.code === 'storeUnknown');
			assert.equal((await store.read('/k/1')).unwrap()?.value, 'v');
		});

		it('end the leases, with what hangs on them', async () => {
			const store = connect('a');
			const lease = (await store.grantLease(60)).unwrap();
			(await store.compareAndSwap('/k/1', 0, 'v', lease.id)).unwrap();
			await setFaults(store, {lapseLeases: true});
			assert.equal((await store.read('/k/1')).unwrap(), undefined);
			const renewed = await store.renewLease(lease.id);
			assert.ok(renewed.err && renewed.val.code === 'leaseLost');
		});
	});
});
