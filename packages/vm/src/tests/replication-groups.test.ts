/** Records of synchronously replicated groups in the store. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, brandId, Err, Ok, type DatabaseId, type DataCentreId, type TargetId,
} from '@guavapitch/core';
import type {RegisteredTarget} from '@guavapitch/database-owners';
import type {StoreEntry} from '@guavapitch/feed';
import {createGroupStore, parseGroupRecord} from '../replication-groups.js';
import {createModelStore} from './model-store.js';

const DATABASE = brandId<DatabaseId>('ledger');
const GROUP_KEY = 'guavapitch/groups/ledger';

const createTarget = (id: string, database = 'ledger'): RegisteredTarget => ({
	id: brandId<TargetId>(id), database: brandId<DatabaseId>(database), host: id, port: 1, dataCentre: brandId<DataCentreId>('here'), slots: 2, isDraining: false, role: 'replica', startedAtMs: 1,
});

const createSetup = (registered: readonly RegisteredTarget[]) => {
	const {runtime, advance} = createVirtualRuntime(1);
	const store = createModelStore(runtime).connect({mode: 'open'});
	const values = [...registered.map(target => JSON.stringify(target)), 'odd'];
	const entries: readonly StoreEntry[] = values.map((value, index) => ({
		key: `servers/${index}`, value, era: 1, revision: 1, createdRevision: 1,
	}));
	const groupStore = createGroupStore({
		store,
		source: {
			readAll: async () => Ok({entries, version: {era: 1, revision: 1}}),
			watch: async () => Err({code: 'storeUnreachable', message: 'not used'}),
		},
		targetPrefix: 'servers/',
		parseTarget: entry => entry.value === 'odd' ? Err({code: 'documentMalformed', message: 'odd'}) : Ok(JSON.parse(entry.value) as RegisteredTarget),
	}, DATABASE);
	const run = async <Value>(call: Promise<Value>): Promise<Value> => {
		await advance(100);
		return call;
	};

	return {store, groupStore, run};
};

describe('records of replication groups', () => {
	it('hold what was written, beside the registered targets of the database and of others', async () => {
		const {groupStore, run} = createSetup([createTarget('a'), createTarget('x', 'other')]);
		const record = {members: [createTarget('a'), createTarget('b')], former: [createTarget('c')], primary: brandId<TargetId>('a')};
		assert.equal(await run(groupStore.write(record, 0)), true);
		const stored = (await run(groupStore.read())).unwrap();
		assert.deepEqual(stored.record, record);
		assert.deepEqual(stored.registered.map(({id}) => id), ['a']);
		assert.deepEqual(stored.unrelated.map(({id}) => id), ['x']);
		assert.equal(stored.appointed, undefined);
	});

	it('are written only over the version that was read', async () => {
		const {groupStore, run} = createSetup([createTarget('a')]);
		const record = {members: [createTarget('a')], former: [], primary: undefined};
		const {revision} = (await run(groupStore.read())).unwrap();
		assert.equal(await run(groupStore.write(record, revision)), true);
		assert.equal(await run(groupStore.write({...record, members: []}, revision)), false);
		assert.deepEqual((await run(groupStore.read())).unwrap().record, record);
	});

	// Without its members a group would be promoted as if nobody else could hold a commit.
	it('fail to be read if they are malformed', async () => {
		const {store, groupStore, run} = createSetup([createTarget('a')]);
		await run(store.transact({conditions: [], puts: [{key: GROUP_KEY, value: '{"members":[{}],"former":[]}', leaseId: undefined}], removes: []}));
		const read = await run(groupStore.read());
		assert.equal(read.err && read.val.code, 'recordMalformed');
		for (const text of ['', 'null', '[]', '{}', '{"members":[]}', '{"members":[],"former":[],"primary":1}']) {
			assert.equal(parseGroupRecord(text), undefined, text);
		}

		assert.deepEqual(parseGroupRecord('{"members":[],"former":[]}'), {members: [], former: [], primary: undefined});
	});
});
