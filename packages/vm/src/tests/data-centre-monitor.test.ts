/** Guards against a data centre that is cut off and goes on being called, an isolated one that goes undetected, and against reporting either when only one vm is lost. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, brandId, type DataCentreId, type VmId,
} from '@guavapitch/core';
import {createDataCentreMonitor} from '../data-centre-monitor.js';
import type {Member} from '../members.js';

const createMember = (name: string, dataCentre: string): Member => ({
	vm: brandId<VmId>(name), run: name, dataCentre: brandId<DataCentreId>(dataCentre), host: name, port: 1, capacity: 1, createdRevision: 1,
});
const MEMBERS = [createMember('a1', 'a'), createMember('a2', 'a'), createMember('b1', 'b'), createMember('b2', 'b'), createMember('c1', 'c')];
const B = brandId<DataCentreId>('b');
const C = brandId<DataCentreId>('c');

const createSetup = (isReachable: (member: Member) => boolean) => {
	const {runtime, advance} = createVirtualRuntime(4);
	const changes: string[] = [];
	const monitor = createDataCentreMonitor({
		runtime,
		vm: brandId<VmId>('a1'),
		dataCentre: brandId<DataCentreId>('a'),
		listMembers: () => MEMBERS,
		async ping(member, timeoutMs) {
			await runtime.sleep(isReachable(member) ? 2 : timeoutMs);
			return isReachable(member);
		},
		onChange(dataCentre, isReachableNow) {
			changes.push(`${dataCentre} ${isReachableNow}`);
		},
	});
	return {monitor, advance, changes};
};

describe('data centre monitor', () => {
	describe('with every other data centre cut off', () => {
		it('detects within a second that no other data centre answers, and that one answers again', async () => {
			let isPartitioned = true;
			const {monitor, advance} = createSetup(() => !isPartitioned);
			monitor.handleSilence(MEMBERS[2]!);
			await advance(1000);
			assert.ok(monitor.isIsolated());
			isPartitioned = false;
			await advance(1000);
			assert.ok(!monitor.isIsolated());
		});
	});

	describe('with one data centre cut off', () => {
		it('reports it within half a second as unreachable, wakes what waits for it, and reports it again once it answers', async () => {
			let isCut = true;
			const {monitor, advance, changes} = createSetup(({dataCentre}) => dataCentre !== C || !isCut);
			let wokenCount = 0;
			monitor.onUnreachable(C, () => {
				wokenCount++;
			});
			monitor.onUnreachable(C, () => assert.fail('removed'))();
			monitor.handleSilence(MEMBERS[4]!);
			await advance(500);
			assert.deepEqual([monitor.isReachable(C), monitor.isReachable(B), wokenCount], [false, true, 1]);
			isCut = false;
			await advance(1000);
			assert.ok(monitor.isReachable(C));
			assert.deepEqual(changes, ['c false', 'c true']);
		});

		it('reports no isolation', async () => {
			const {monitor, advance} = createSetup(({dataCentre}) => dataCentre !== C);
			monitor.handleSilence(MEMBERS[4]!);
			await advance(2000);
			assert.ok(!monitor.isIsolated());
		});
	});

	it('goes on calling a data centre of which only one vm is lost', async () => {
		const {monitor, advance} = createSetup(({vm}) => vm !== 'b1');
		monitor.handleSilence(MEMBERS[2]!);
		await advance(2000);
		assert.ok(monitor.isReachable(B) && !monitor.isIsolated());
	});

	it('does not check its own data centre when a vm there is lost', async () => {
		const {monitor, advance} = createSetup(() => false);
		monitor.handleSilence(MEMBERS[1]!);
		await advance(2000);
		assert.ok(monitor.isReachable(brandId<DataCentreId>('a')) && !monitor.isIsolated());
	});
});
