/** Platform stand-in: rate limits, call counts and injected faults. */

import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {createRuntime} from '@guavapitch/core';
import {openEtcdStore, type EtcdStore} from '@guavapitch/store';
import {startPlatform, type PlatformServer} from '../platform.js';

const CALL_TIMEOUT_MS = 3000;
const FAULTS_KEY = '/standin/faults';

describe('platform', () => {
	const runtime = createRuntime();
	const startedAt = runtime.now();
	let server: PlatformServer;
	let clients: EtcdStore[] = [];

	const connect = (clientName: string): EtcdStore => {
		const store = openEtcdStore({address: `127.0.0.1:${server.port}`, clientName, callTimeoutMs: CALL_TIMEOUT_MS}, runtime);
		clients.push(store);
		return store;
	};

	const setFaults = async (store: EtcdStore, faults: Readonly<Record<string, unknown>>) => {
		const current = (await store.read(FAULTS_KEY)).unwrap();
		(await store.compareAndSwap(FAULTS_KEY, current?.revision ?? 0, JSON.stringify(faults))).unwrap();
	};

	const readCallCounts = async (store: EtcdStore) => JSON.parse((await store.read('/standin/calls')).unwrap()?.value ?? '{}') as Readonly<Record<string, number>>;

	beforeEach(async () => {
		// The clock stands still, so that all calls fall into the same second and the rate limits are exact.
		server = await startPlatform({...runtime, now: () => startedAt}, 0, {writes: 3, reads: 50});
	});

	afterEach(async () => {
		await Promise.all(clients.map(async client => client[Symbol.asyncDispose]()));
		clients = [];
		await server[Symbol.asyncDispose]();
	});

	describe('rate limits', () => {
		it('refuse calls beyond the limit without applying them', async () => {
			const store = connect('a');
			const swaps = await Promise.all(Array.from({length: 10}, async (_, index) => store.compareAndSwap(`/k/${index}`, 0, 'v')));
			const refused = swaps.filter(swap => swap.err);
			assert.equal(refused.length, 7);
			assert.ok(refused.every(swap => swap.err && swap.val.code === 'storeUnreachable'));
			const stored = (await store.readAll('/k/')).unwrap();
			assert.equal(stored.length, 3);
		});
	});

	describe('call counts', () => {
		it('include every call, and an open watch as one call', async () => {
			const store = connect('a');
			const watchController = new AbortController();
			let notificationCount = 0;
			const watchTask = store.watch('/k/', () => {
				notificationCount++;
			}, watchController.signal);
			(await store.compareAndSwap('/k/1', 0, 'v')).unwrap();
			(await store.compareAndSwap('/k/2', 0, 'v')).unwrap();
			while (notificationCount < 2) {
				await runtime.sleep(5);
			}

			const calls = await readCallCounts(store);
			assert.equal(calls.Watch, 1);
			assert.equal(calls.Txn, 2);
			watchController.abort();
			await watchTask;
		});
	});

	describe('faults', () => {
		it('partition only the named clients', async () => {
			const connectedClient = connect('near');
			const partitionedClient = connect('far');
			await setFaults(connectedClient, {cut: ['far']});
			assert.ok((await connectedClient.read('/k/1')).ok);
			const partitionedRead = await partitionedClient.read('/k/1');
			assert.ok(partitionedRead.err && partitionedRead.val.code === 'storeUnknown');
			await setFaults(connectedClient, {});
			assert.ok((await partitionedClient.read('/k/1')).ok);
		});

		it('drop the response after the change was applied', async () => {
			const store = connect('a');
			await setFaults(store, {loseAnswers: 1});
			const swap = await store.compareAndSwap('/k/1', 0, 'v');
			assert.ok(swap.err && swap.val.code === 'storeUnknown');
			assert.equal((await store.read('/k/1')).unwrap()?.value, 'v');
		});

		it('expire the leases and remove their keys', async () => {
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
