/**
 * Failover coordinators of a process that loses a slot and gains it again. A coordinator whose wait is aborted
 * with the slot must not stay registered as running: its database would have no coordinator after the slot is gained again.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createRuntime, Err, NEVER, brandId, type DatabaseId, type VmId,
} from '@guavapitch/core';
import {createGroupRecord, formatGroupKey, formatGroupRecord} from '@guavapitch/failover';
import type {Inventory} from '@guavapitch/inventory';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {chooseSlot, type Authority} from '@guavapitch/roles';
import type {ClusterView} from '../cluster-view.js';
import {createFailoverCoordinators} from '../failover-coordinators.js';

const DATABASE = brandId<DatabaseId>('orders');
const MAX_WAIT_MS = 10_000;
const POLL_MS = 10;
const SLOT_COUNT = 1;

const createInventory = (): Pick<Inventory, 'databases' | 'fleet'> => ({
	fleet: {stewardSlots: SLOT_COUNT, keeperSlots: 1, keyGraceMs: 1000},
	databases: {
		[DATABASE]: {
			acknowledge: 'replicated', minimumSynced: 1, targets: [], user: 'guavapitch', databaseName: 'orders',
		},
	},
});

describe('failover coordinators', () => {
	describe('of a slot that is lost during a wait and gained again', () => {
		it('run for the databases of the slot again', async () => {
			const runtime = createRuntime();
			const memoryStore = createMemoryStore(runtime);
			const record = createGroupRecord(DATABASE, brandId('orders-1'), 0, {replicated: true, minimumSynced: 1});
			memoryStore.put(formatGroupKey(DATABASE), formatGroupRecord(record));
			let isStoreDown = true;
			const store: Store = {
				...memoryStore,
				read: async key => isStoreDown ? Err({code: 'storeUnreachable', message: 'down'}) : memoryStore.read(key),
			};
			const inventory = createInventory() as Inventory;
			const clusterView = {activeConfiguration: {getInventory: () => inventory}, findTarget: () => undefined} as unknown as ClusterView;
			await using coordinators = createFailoverCoordinators({
				runtime, vm: 'v', clusterView, store, callVm: async () => Err({code: 'peerUnreachable', message: 'none'}), emit: () => undefined, onGroupView: () => undefined,
			});
			const authority: Authority = {slot: chooseSlot('steward', SLOT_COUNT, DATABASE), epoch: 1, getDeadline: () => NEVER};

			const firstSlotLoss = new AbortController();
			const firstRun = coordinators.runAsHolder(authority, firstSlotLoss.signal);
			await runtime.sleep(100);
			firstSlotLoss.abort();
			await firstRun;

			isStoreDown = false;
			const secondSlotLoss = new AbortController();
			const secondRun = coordinators.runAsHolder({...authority, epoch: 2}, secondSlotLoss.signal);
			const deadline = createDeadline(runtime.now(), MAX_WAIT_MS);
			const holder = {vm: brandId<VmId>('v'), incarnation: 'i'};
			while (!coordinators.grant(DATABASE, holder) && runtime.now() < deadline) {
				await runtime.sleep(POLL_MS);
			}

			assert.ok(coordinators.grant(DATABASE, holder), 'no coordinator issues grants for the database');
			secondSlotLoss.abort();
			await secondRun;
		});
	});
});
