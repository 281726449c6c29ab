/** A data centre that is cut off notices it; one lost vm is no cut. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualWorld, parseId, type DataCentreId, type VmId,
} from '@guavapitch/core';
import {createIsolationDetector} from '../isolation-detector.js';
import type {Member} from '../members.js';

const createMember = (name: string, dataCentre: string): Member => ({
	vm: parseId<VmId>(name), run: name, dataCentre: parseId<DataCentreId>(dataCentre), host: name, port: 1, capacity: 1, since: 1,
});
const MEMBERS = [createMember('a1', 'a'), createMember('a2', 'a'), createMember('b1', 'b'), createMember('b2', 'b'), createMember('c1', 'c')];

const createSetup = (isReached: (member: Member) => boolean) => {
	const {world, advance} = createVirtualWorld(4);
	const isolation = createIsolationDetector({
		world,
		vm: parseId<VmId>('a1'),
		dataCentre: parseId<DataCentreId>('a'),
		listMembers: () => MEMBERS,
		async ping(member) {
			await world.sleep(isReached(member) ? 2 : 300);
			return isReached(member);
		},
		onChange: () => undefined,
	});
	return {isolation, advance};
};

describe('isolation', () => {
	it('is noticed within a second when no other data centre answers, and so is its end', async () => {
		let isCut = true;
		const {isolation, advance} = createSetup(() => !isCut);
		isolation.handleUnreachable(MEMBERS[2]!);
		await advance(1000);
		assert.ok(isolation.isIsolated());
		isCut = false;
		await advance(1000);
		assert.ok(!isolation.isIsolated());
	});

	it('is not believed when one vm or one data centre is lost', async () => {
		const {isolation, advance} = createSetup(({dataCentre}) => dataCentre === 'c');
		isolation.handleUnreachable(MEMBERS[2]!);
		await advance(2000);
		assert.ok(!isolation.isIsolated());
	});

	it('is not looked for when a vm of the own data centre is lost', async () => {
		const {isolation, advance} = createSetup(() => false);
		isolation.handleUnreachable(MEMBERS[1]!);
		await advance(2000);
		assert.ok(!isolation.isIsolated());
	});
});
