/** Allowed regions: where requests may run, and which vms may see their bodies. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, type CustomerId, type DatabaseId, type DataCentreId, type RegionId, type VmId,
} from '@guavapitch/core';
import type {Configuration} from '../configuration.js';
import type {Member} from '../members.js';
import {computeAllowedRegions, filterPermitted} from '../regions.js';

const CUSTOMER = brandId<CustomerId>('club');
const SETTINGS = {
	vm: brandId<VmId>('self'),
	dataCentre: brandId<DataCentreId>('east-1'),
	region: undefined,
	regions: new Map([['east-1', 'east'], ['east-2', 'east'], ['west-1', 'west'], ['north-1', 'north']].map(([name = '', region = '']) => [brandId<DataCentreId>(name), brandId<RegionId>(region)])),
};

const createRegions = (...names: readonly string[]): ReadonlySet<RegionId> | undefined => names.length > 0 ? new Set(names.map(name => brandId<RegionId>(name))) : undefined;

const compute = (routeRegions: readonly string[], customerRegions: readonly string[]) => {
	const ofCustomer = createRegions(...customerRegions);
	const configuration: Configuration = {
		version: 1,
		routes: new Map(),
		databases: new Map(),
		customersByKey: new Map(),
		quotas: new Map(),
		allowedRegions: new Map(ofCustomer ? [[CUSTOMER, ofCustomer]] : []),
		regionFields: [],
		idleTransactionMs: 1000,
	};
	return computeAllowedRegions(configuration, SETTINGS, {
		service: 's',
		database: brandId<DatabaseId>('d'),
		consistency: {kind: 'latest'},
		timeoutMs: 1000,
		latencyObjectiveMs: 300,
		priority: 1,
		isPublic: false,
		allowedRegions: createRegions(...routeRegions),
	}, CUSTOMER);
};

const createMember = (vm: string, dataCentre: string): Member => ({
	vm: brandId<VmId>(vm), run: vm, dataCentre: brandId<DataCentreId>(dataCentre), host: vm, port: 1, capacity: 1, createdRevision: 1,
});

describe('allowed regions', () => {
	describe('of a request', () => {
		it('are not restricted if neither the route nor the customer names any', () => {
			assert.equal(compute([], []), undefined);
		});

		it('are those that the route and the customer have in common', () => {
			assert.deepEqual(compute(['east', 'west'], []), ['east', 'west']);
			assert.deepEqual(compute([], ['west']), ['west']);
			assert.deepEqual(compute(['east', 'west'], ['west', 'north']), ['west']);
			assert.deepEqual(compute(['east'], ['west']), []);
		});

		it('are none if one of them names a region of no data centre, so that nothing runs where the operators may not want it', () => {
			assert.deepEqual(compute(['east', 'esat'], []), []);
			assert.deepEqual(compute(['east'], ['east', 'esat']), []);
		});
	});

	describe('of the vms that may see the body', () => {
		const members = [createMember('other', 'west-1'), createMember('far', 'north-1'), createMember('unknown', 'nowhere'), createMember('neighbour', 'east-2'), createMember('self', 'east-1')];

		it('are those named, and that of the vm which the caller is connected to', () => {
			assert.deepEqual(filterPermitted(members, [brandId<RegionId>('west')], SETTINGS).map(({vm}) => vm), ['other', 'neighbour', 'self']);
			assert.deepEqual(filterPermitted(members, undefined, SETTINGS), members);
		});

		it('always include the vm itself, even if it is in an unknown region', () => {
			const settings = {...SETTINGS, dataCentre: brandId<DataCentreId>('nowhere')};
			assert.deepEqual(filterPermitted(members, [brandId<RegionId>('west')], settings).map(({vm}) => vm), ['other', 'self']);
		});
	});
});
