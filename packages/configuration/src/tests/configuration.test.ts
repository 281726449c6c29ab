/** Changes of the configuration under races and lost responses, the store cache, and checks of keys against the active configuration. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createVirtualRuntime, Err, brandId, type CustomerId, type Instant,
} from '@guavapitch/core';
import {formatConfigurationDocument, inventorySchema, type Inventory} from '@guavapitch/inventory';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {changeConfiguration, readConfiguration} from '../change.js';
import {createStoreCache} from '../store-cache.js';
import {createActiveConfiguration} from '../active-configuration.js';
import {CONFIGURATION_KEY} from '../relay.js';

const createInventory = (rate: number): Inventory => inventorySchema.parse({
	dataCentres: ['d'],
	databases: {
		db: {
			targets: [{
				name: 'db-1', dataCentre: 'd', address: 'h:1', slots: 1, connections: 10,
			}],
		},
	},
	services: {svc: {database: 'db'}},
	customers: {klub: {rate, burst: 2, services: ['svc']}},
	keys: {k: {customer: 'klub', verifier: 'SCRAM-SHA-256$4096:AAAA$AAAA:AAAA'}},
});

describe('changes', () => {
	it('report the winning configuration to the loser of a race', async () => {
		const {runtime} = createVirtualRuntime();
		const store = createMemoryStore(runtime);
		const winner = await changeConfiguration(store, runtime, {expectedRevision: 0, author: 'ana', inventory: createInventory(1)});
		const loser = await changeConfiguration(store, runtime, {expectedRevision: 0, author: 'bo', inventory: createInventory(2)});
		assert.ok(winner.ok);
		assert.ok(loser.err && loser.val.code === 'configurationRaced' && loser.val.current?.author === 'ana');
		assert.equal((await readConfiguration(store)).unwrap().document?.inventory.customers.klub?.rate, 1);
	});

	it('are recognized as done when the response of the store is lost', async () => {
		const {runtime, advance} = createVirtualRuntime();
		const sharedStore = createMemoryStore(runtime);
		let responsesToLose = 1;
		const store: Store = {
			...sharedStore,
			async compareAndSwap(...args) {
				const outcome = await sharedStore.compareAndSwap(...args);
				return responsesToLose-- > 0 ? Err({code: 'storeUnknown', message: 'lost'}) : outcome;
			},
		};
		const pendingChange = changeConfiguration(store, runtime, {expectedRevision: 0, author: 'ana', inventory: createInventory(1)});
		await advance(2000);
		const outcome = await pendingChange;
		assert.equal(outcome.unwrap(), (await readConfiguration(sharedStore)).unwrap().revision);
	});
});

describe('store cache', () => {
	it('only replaces entries by higher revisions, in any order of arrival', () => {
		fc.assert(fc.property(fc.array(fc.record({key: fc.constantFrom('a', 'b'), revision: fc.integer({min: 1, max: 20})}), {maxLength: 40}), entries => {
			const {runtime} = createVirtualRuntime();
			const cache = createStoreCache(runtime);
			const highestRevisions = new Map<string, number>();
			for (const {key, revision} of entries) {
				cache.merge([{key, revision, value: String(revision)}]);
				highestRevisions.set(key, Math.max(revision, highestRevisions.get(key) ?? 0));
				assert.equal(cache.get(key)?.revision, highestRevisions.get(key));
			}
		}), {seed: 61});
	});

	it('returns every change after a sequence number', () => {
		const {runtime} = createVirtualRuntime();
		const cache = createStoreCache(runtime);
		cache.merge([{key: 'a', revision: 1, value: '1'}]);
		const sequence = cache.getSequence();
		cache.merge([{key: 'b', revision: 2, value: '2'}]);
		assert.deepEqual(cache.getChangedAfter(sequence).map(entry => entry.key), ['b']);
	});
});

describe('keys', () => {
	const klub = brandId<CustomerId>('klub');

	it('are accepted while the configuration is confirmed within the grace period, and never after their withdrawal', async () => {
		const {runtime, advance} = createVirtualRuntime();
		const cache = createStoreCache(runtime);
		const activeConfiguration = createActiveConfiguration(cache, runtime, {onApplied: () => undefined, onRejected: () => undefined});
		const put = (revision: number, inventory: Inventory) => {
			cache.merge([{key: CONFIGURATION_KEY, revision, value: formatConfigurationDocument({changeId: String(revision), author: 'a', inventory}).unwrap()}]);
		};

		put(1, createInventory(1));
		cache.markConfirmed(runtime.now());
		assert.ok(activeConfiguration.checkKey('k', klub).ok);
		await advance(6000);
		const stale = activeConfiguration.checkKey('k', klub);
		assert.ok(stale.err && stale.val === 'keyUnconfirmed');
		cache.markConfirmed(runtime.now());
		assert.ok(activeConfiguration.checkKey('k', klub).ok);
		put(2, {...createInventory(1), keys: {}});
		const withdrawn = activeConfiguration.checkKey('k', klub);
		assert.ok(withdrawn.err && withdrawn.val === 'keyWithdrawn');
		put(1, createInventory(1));
		assert.ok(activeConfiguration.checkKey('k', klub).err, 'an older revision must not become active again');
	});

	// On the other front, a transaction went on under the customer that no longer held the key of its caller.
	it('that pass to another customer count as withdrawn for logins of the former one', () => {
		const {runtime} = createVirtualRuntime();
		const cache = createStoreCache(runtime);
		const activeConfiguration = createActiveConfiguration(cache, runtime, {onApplied: () => undefined, onRejected: () => undefined});
		const inventory = createInventory(1);
		const [formerCustomer] = Object.values(inventory.customers);
		const [formerKey] = Object.values(inventory.keys);
		assert.ok(formerCustomer && formerKey);
		const moved: Inventory = {...inventory, customers: {...inventory.customers, dum: formerCustomer}, keys: {...inventory.keys, k: {...formerKey, customer: 'dum'}}};
		cache.merge([{key: CONFIGURATION_KEY, revision: 1, value: formatConfigurationDocument({changeId: '1', author: 'a', inventory: moved}).unwrap()}]);
		cache.markConfirmed(runtime.now());
		const checked = activeConfiguration.checkKey('k', klub);
		assert.equal(checked.err && checked.val, 'keyWithdrawn');
		assert.ok(activeConfiguration.checkKey('k', brandId<CustomerId>('dum')).ok);
	});

	it('keep the latest confirmation when an older one arrives', () => {
		const {runtime} = createVirtualRuntime();
		const cache = createStoreCache(runtime);
		cache.markConfirmed(100 as Instant);
		cache.markConfirmed(50 as Instant);
		assert.equal(cache.getConfirmedAt(), 100);
	});
});
