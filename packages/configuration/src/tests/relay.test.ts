/** Propagation of the configuration through relays: a process in touch with the store is not kept behind by the relay that it syncs with. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createVirtualRuntime, Err, Ok, type Failure, type Result, type Runtime, type VmId,
} from '@guavapitch/core';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {
	APPLY_MS, CONFIGURATION_KEY, createRelayService, runCacheSync, type SyncRequest, type SyncResponse,
} from '../relay.js';
import {createStoreCache} from '../store-cache.js';

type SyncOutcome = Result<SyncResponse, Failure>;

/** Writes the next version of the configuration. */
const writeVersion = async (store: Store, version: number): Promise<void> => {
	const current = await store.read(CONFIGURATION_KEY);
	await store.compareAndSwap(CONFIGURATION_KEY, current.unwrap()?.revision ?? 0, String(version));
};

/** Starts the sync of a process that is not a relay, and returns the version that it knows. */
const startFollower = (runtime: Runtime, store: Store, signal: AbortSignal, relays: Readonly<Record<string, (request: SyncRequest) => Promise<SyncOutcome>>>) => {
	const cache = createStoreCache(runtime);
	void runCacheSync({
		runtime,
		cache,
		store,
		vm: brandId<VmId>('follower'),
		isRelay: () => false,
		getRelays: () => Object.keys(relays).map(name => brandId<VmId>(name)),
		sendSync: async (vm, request) => relays[vm]?.(request) ?? Err({code: 'gone', message: vm}),
		isStoreDownForAll: async () => false,
		getActiveRevision: () => 0,
		onStoreContact: () => undefined,
	}, signal).catch(() => undefined);
	return () => Number(cache.get(CONFIGURATION_KEY)?.value ?? 0);
};

const createSetup = async () => {
	const {runtime, advance} = createVirtualRuntime(3);
	const store = createMemoryStore(runtime);
	const stop = new AbortController();
	await writeVersion(store, 1);
	return {
		runtime, advance, store, stop,
	};
};

describe('sync with relays', () => {
	describe('gives a process a change in time', () => {
		it('although the relay that responds first is cut off from the store', async () => {
			const {runtime, advance, store, stop} = await createSetup();
			const staleCache = createStoreCache(runtime);
			const entry = (await store.read(CONFIGURATION_KEY)).unwrap();
			staleCache.merge(entry ? [entry] : []);
			staleCache.markConfirmed(runtime.now());
			const staleRelay = createRelayService(staleCache, 'stale', runtime);
			const getVersion = startFollower(runtime, store, stop.signal, {stale: async request => Ok(await staleRelay.sync(request))});
			await advance(1000);
			assert.equal(getVersion(), 1);
			await writeVersion(store, 2);
			await advance(APPLY_MS);
			assert.equal(getVersion(), 2);
			stop.abort();
		});

		it('although several relays, one after the other, do not respond', async () => {
			const {runtime, advance, store, stop} = await createSetup();
			const silence = async (): Promise<SyncOutcome> => {
				await runtime.sleep(1500);
				return Err({code: 'peerTimeout', message: 'silent'});
			};

			const getVersion = startFollower(runtime, store, stop.signal, {
				a: silence, b: silence, c: silence, d: silence,
			});
			await advance(1000);
			await writeVersion(store, 2);
			await advance(APPLY_MS);
			assert.equal(getVersion(), 2);
			stop.abort();
		});
	});
});
