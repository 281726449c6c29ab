/** What the operator's commands learn of the fleet, and what they must not take for an answer. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createVirtualRuntime, Err, Ok, type VmId,
} from '@guavapitch/core';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {readStatuses, waitForRevision, type FleetClient} from '../fleet.js';

const REVISION = 5;

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(3);
	const memoryStore = createMemoryStore(runtime);
	const state = {isStoreDown: false, activeRevision: REVISION};
	const store: Store = {
		...memoryStore,
		readAll: async prefix => state.isStoreDown ? Err({code: 'storeUnreachable', message: 'down'}) : memoryStore.readAll(prefix),
	};
	const client: FleetClient = {
		call: async <ResponseBody>() => Ok({revision: state.activeRevision} as ResponseBody),
		async [Symbol.asyncDispose]() {
			// Nothing is open.
		},
	};
	const listVm = (name: string, vmState = 'live') => {
		memoryStore.put(`/platform/vms/${name}`, JSON.stringify({
			vm: brandId<VmId>(name), dataCentre: 'here', host: name, port: 1, state: vmState,
		}));
	};

	/** Waits for the revision and returns the names of the vms where it is not active, or the code of the failure. */
	const wait = async () => {
		let outcome: readonly string[] | string | undefined;
		void waitForRevision(store, client, runtime, {revision: REVISION, timeoutMs: 1000}).then(waited => {
			outcome = waited.ok ? waited.val.map(({vm}) => vm.vm) : waited.val.code;
		});
		await advance(1200);
		return outcome;
	};

	return {
		store, client, state, listVm, wait,
	};
};

describe('waiting for a revision', () => {
	it('ends once it is active at every listed vm', async () => {
		const {listVm, wait} = createSetup();
		listVm('a');
		assert.deepEqual(await wait(), []);
	});

	it('names the vms where it is not active', async () => {
		const {listVm, state, wait} = createSetup();
		listVm('a');
		state.activeRevision = REVISION - 1;
		assert.deepEqual(await wait(), ['a']);
	});

	it('fails, instead of counting as active everywhere, if the vms cannot be listed', async () => {
		const {listVm, state, wait} = createSetup();
		listVm('a');
		state.isStoreDown = true;
		assert.equal(await wait(), 'storeUnreachable');
	});

	it('fails if no vm is listed, or only vms that are gone', async () => {
		const {listVm, wait} = createSetup();
		assert.equal(await wait(), 'noVms');
		listVm('a', 'gone');
		assert.equal(await wait(), 'noVms');
	});
});

describe('the status of the fleet', () => {
	it('fails if the vms cannot be listed', async () => {
		const {store, client, state} = createSetup();
		state.isStoreDown = true;
		assert.ok((await readStatuses(store, client)).err);
	});
});
