/** Stewards of a process that loses a slot and gets it again. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createWorld, Err, NEVER, parseId, type DatabaseId, type VmId,
} from '@guavapitch/core';
import {createGroupRecord, formatGroupKey, formatGroupRecord} from '@guavapitch/failover';
import type {Inventory} from '@guavapitch/inventory';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {chooseSlot, type Authority} from '@guavapitch/roles';
import type {ClusterView} from '../cluster-view.js';
import {createFailoverCoordinators} from '../failover-coordinators.js';

const DATABASE = parseId<DatabaseId>('orders');
const WITHIN_MS = 10_000;
const POLL_MS = 10;
const SLOTS = 1;

const createInventory = (): Pick<Inventory, 'databases' | 'fleet'> => ({
	fleet: {stewardSlots: SLOTS, keeperSlots: 1, keyGraceMs: 1000},
	databases: {
		[DATABASE]: {
			acknowledge: 'replicated', minimumSynced: 1, targets: [], user: 'guavapitch', databaseName: 'orders',
		},
	},
});

describe('stewards', () => {
	describe('of a slot that is lost in the middle of a wait and gained again', () => {
		it('work for its databases again', async () => {
			const world = createWorld();
			const memory = createMemoryStore(world);
			const record = createGroupRecord(DATABASE, parseId('orders-1'), 0, {replicated: true, minimumSynced: 1});
			memory.put(formatGroupKey(DATABASE), formatGroupRecord(record));
			let isDown = true;
			const store: Store = {
				...memory,
				read: async key => isDown ? Err({code: 'storeUnreachable', message: 'down'}) : memory.read(key),
			};
			const inventory = createInventory() as Inventory;
			const fleet = {inForce: {getInventory: () => inventory}, findTarget: () => undefined} as unknown as ClusterView;
			await using stewards = createFailoverCoordinators({
				world, vm: 'v', clusterView: fleet, store, callVm: async () => Err({code: 'peerUnreachable', message: 'none'}), emit: () => undefined, onGroupView: () => undefined,
			});
			const authority: Authority = {slot: chooseSlot('steward', SLOTS, DATABASE), epoch: 1, getDeadline: () => NEVER};

			const first = new AbortController();
			const acting = stewards.runAsHolder(authority, first.signal);
			await world.sleep(100);
			first.abort();
			await acting;

			isDown = false;
			const second = new AbortController();
			const again = stewards.runAsHolder({...authority, epoch: 2}, second.signal);
			const giveUpAt = createDeadline(world.now(), WITHIN_MS);
			const holder = {vm: parseId<VmId>('v'), incarnation: 'i'};
			while (!stewards.grant(DATABASE, holder) && world.now() < giveUpAt) {
				await world.sleep(POLL_MS);
			}

			assert.ok(stewards.grant(DATABASE, holder), 'nobody is steward of the database');
			second.abort();
			await again;
		});
	});
});
