/** Guards against a promotion that other vms learn of only through the registry, and against a malformed announcement that ends a task. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, type DatabaseId, type DataCentreId, type TargetId, type VmId,
} from '@guavapitch/core';
import {createLeaderAnnouncements} from '../leader-announcements.js';
import type {Member} from '../members.js';

const DATABASE = brandId<DatabaseId>('ledger');
const TARGET = brandId<TargetId>('t2');

const createMember = (name: string): Member => ({
	vm: brandId<VmId>(name), run: name, dataCentre: brandId<DataCentreId>('a'), host: name, port: 1, capacity: 1, createdRevision: 1,
});

const createSetup = () => {
	const sent: string[] = [];
	const applied: string[] = [];
	const announcements = createLeaderAnnouncements({
		listMembers: () => ['one', 'two'].map(name => createMember(name)),
		async send({vm}, {database, target}) {
			sent.push(`${vm} ${database} ${target}`);
		},
		onLeader(database, target) {
			applied.push(`${database} ${target}`);
		},
	});
	return {announcements, sent, applied};
};

describe('leader announcements', () => {
	it('reach this vm and every other one', () => {
		const {announcements, sent, applied} = createSetup();
		announcements.announce(DATABASE, TARGET);
		assert.deepEqual([sent, applied], [['one ledger t2', 'two ledger t2'], ['ledger t2']]);
	});

	it('of another vm are applied', () => {
		const {announcements, applied} = createSetup();
		announcements.receive({database: DATABASE, target: TARGET});
		assert.deepEqual(applied, ['ledger t2']);
	});

	describe('that are malformed', () => {
		for (const message of [undefined, null, 7, {}, {database: 'ledger'}, {database: 1, target: 't2'}]) {
			it(`are ignored: ${JSON.stringify(message) ?? 'undefined'}`, () => {
				const {announcements, applied} = createSetup();
				announcements.receive(message);
				assert.deepEqual(applied, []);
			});
		}
	});
});
