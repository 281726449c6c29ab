/** Guards against an isolated data centre that goes undetected, and against reporting isolation when only one vm is lost. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, brandId, type DataCentreId, type VmId,
} from '@guavapitch/core';
import {createIsolationDetector} from '../isolation-detector.js';
import type {Member} from '../members.js';

const createMember = (name: string, dataCentre: string): Member => ({
	vm: brandId<VmId>(name), run: name, dataCentre: brandId<DataCentreId>(dataCentre), host: name, port: 1, capacity: 1, createdRevision: 1,
});
const MEMBERS = [createMember('a1', 'a'), createMember('a2', 'a'), createMember('b1', 'b'), createMember('b2', 'b'), createMember('c1', 'c')];

const createSetup = (isReachable: (member: Member) => boolean) => {
	const {runtime, advance} = createVirtualRuntime(4);
	const detector = createIsolationDetector({
		runtime,
		vm: brandId<VmId>('a1'),
		dataCentre: brandId<DataCentreId>('a'),
		listMembers: () => MEMBERS,
		async ping(member) {
			await runtime.sleep(isReachable(member) ? 2 : 300);
			return isReachable(member);
		},
		onChange: () => undefined,
	});
	return {detector, advance};
};

describe('isolation detector', () => {
	it('detects within a second that no other data centre answers, and that one answers again', async () => {
		let isPartitioned = true;
		const {detector, advance} = createSetup(() => !isPartitioned);
		detector.handleUnreachable(MEMBERS[2]!);
		await advance(1000);
		assert.ok(detector.isIsolated());
		isPartitioned = false;
		await advance(1000);
		assert.ok(!detector.isIsolated());
	});

	it('reports no isolation when one vm or one data centre is lost', async () => {
		const {detector, advance} = createSetup(({dataCentre}) => dataCentre === 'c');
		detector.handleUnreachable(MEMBERS[2]!);
		await advance(2000);
		assert.ok(!detector.isIsolated());
	});

	it('does not check for isolation when a vm of the same data centre is lost', async () => {
		const {detector, advance} = createSetup(() => false);
		detector.handleUnreachable(MEMBERS[1]!);
		await advance(2000);
		assert.ok(!detector.isIsolated());
	});
});
