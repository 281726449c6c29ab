/** Configurations: accepted once, never reverting, and raced without loss. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createVirtualWorld, Err, parseId, type CustomerId, type Instant,
} from '@guavapitch/core';
import {formatDocument, inventorySchema, type Inventory} from '@guavapitch/inventory';
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
	it('tells the loser of a race who won and what', async () => {
		const {world} = createVirtualWorld();
		const store = createMemoryStore(world);
		const first = await changeConfiguration(store, world, {expectedRevision: 0, author: 'ana', inventory: createInventory(1)});
		const second = await changeConfiguration(store, world, {expectedRevision: 0, author: 'bo', inventory: createInventory(2)});
		assert.ok(first.ok);
		assert.ok(second.err && second.val.code === 'configurationRaced' && second.val.current?.author === 'ana');
		assert.equal((await readConfiguration(store)).unwrap().document?.inventory.customers.klub?.rate, 1);
	});

	it('finds out that a change whose answer was lost has taken effect', async () => {
		const {world, advance} = createVirtualWorld();
		const inner = createMemoryStore(world);
		let losses = 1;
		const store: Store = {
			...inner,
			async compareAndSwap(...args) {
				const outcome = await inner.compareAndSwap(...args);
				return losses-- > 0 ? Err({code: 'storeUnknown', message: 'lost'}) : outcome;
			},
		};
		const changing = changeConfiguration(store, world, {expectedRevision: 0, author: 'ana', inventory: createInventory(1)});
		await advance(2000);
		const changed = await changing;
		assert.equal(changed.unwrap(), (await readConfiguration(inner)).unwrap().revision);
	});
});

describe('facts', () => {
	it('only ever move to higher revisions, in whatever order they come', () => {
		fc.assert(fc.property(fc.array(fc.record({key: fc.constantFrom('a', 'b'), revision: fc.integer({min: 1, max: 20})}), {maxLength: 40}), entries => {
			const {world} = createVirtualWorld();
			const facts = createStoreCache(world);
			const highest = new Map<string, number>();
			for (const {key, revision} of entries) {
				facts.merge([{key, revision, value: String(revision)}]);
				highest.set(key, Math.max(revision, highest.get(key) ?? 0));
				assert.equal(facts.get(key)?.revision, highest.get(key));
			}
		}), {seed: 61});
	});

	it('hand over every change after a number', () => {
		const {world} = createVirtualWorld();
		const facts = createStoreCache(world);
		facts.merge([{key: 'a', revision: 1, value: '1'}]);
		const seen = facts.getSequence();
		facts.merge([{key: 'b', revision: 2, value: '2'}]);
		assert.deepEqual(facts.getChangedAfter(seen).map(entry => entry.key), ['b']);
	});
});

describe('keys', () => {
	const klub = parseId<CustomerId>('klub');

	it('work while fresh, not past the grace, and never after withdrawal', async () => {
		const {world, advance} = createVirtualWorld();
		const facts = createStoreCache(world);
		const inForce = createActiveConfiguration(facts, world, {onApplied: () => undefined, onRejected: () => undefined});
		const put = (revision: number, inventory: Inventory) => {
			facts.merge([{key: CONFIGURATION_KEY, revision, value: formatDocument({changeId: String(revision), author: 'a', inventory}).unwrap()}]);
		};

		put(1, createInventory(1));
		facts.markConfirmed(world.now());
		assert.ok(inForce.checkKey('k', klub).ok);
		await advance(6000);
		const stale = inForce.checkKey('k', klub);
		assert.ok(stale.err && stale.val === 'keyUnconfirmed');
		facts.markConfirmed(world.now());
		assert.ok(inForce.checkKey('k', klub).ok);
		put(2, {...createInventory(1), keys: {}});
		const withdrawn = inForce.checkKey('k', klub);
		assert.ok(withdrawn.err && withdrawn.val === 'keyWithdrawn');
		put(1, createInventory(1));
		assert.ok(inForce.checkKey('k', klub).err, 'an older revision came back');
	});

	it('are not confirmed by an older confirmation', () => {
		const {world} = createVirtualWorld();
		const facts = createStoreCache(world);
		facts.markConfirmed(100 as Instant);
		facts.markConfirmed(50 as Instant);
		assert.equal(facts.getConfirmedAt(), 100);
	});
});
