/** Placement of requests that may run only at targets of some regions. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	brandId, createVirtualRuntime, type CustomerId, type RegionId,
} from '@guavapitch/core';
import type {Consistency, StatementResponse, TargetStatement} from '@guavapitch/sessions';
import {createFakeOwner} from './fake-owner.js';
import {createFakeTarget, DATABASE} from './fake-targets.js';

const READ: TargetStatement = {kind: 'text', access: 'read', text: 'READ a'};
const WRITE: TargetStatement = {kind: 'text', access: 'write', text: 'WRITE a b'};
const BOUNDED: Consistency = {kind: 'bounded', maxStalenessMs: 1500};

/** Creates an owner of a primary in `east` and of replicas in `west` and in no known region. */
const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(7);
	const targets = [createFakeTarget('primary', 'primary'), createFakeTarget('replica-1', 'replica'), createFakeTarget('replica-2', 'replica')] as const;
	const owner = createFakeOwner(targets, runtime);
	const regions = ['east', 'west'];
	owner.setTargets(targets.map(({description}, index) => ({...description, region: regions[index] === undefined ? undefined : brandId<RegionId>(regions[index])})));

	/** Runs a statement restricted to regions; returns its response and how long it took. */
	const run = async (statement: TargetStatement, consistency: Consistency, allowedRegions: readonly string[]): Promise<readonly [response: StatementResponse, ms: number]> => {
		const startedAt = runtime.now();
		let response: StatementResponse | undefined;
		void owner.serve({
			id: 'q',
			database: DATABASE,
			customer: brandId<CustomerId>('club'),
			statement,
			consistency,
			floor: undefined,
			values: [],
			transaction: undefined,
			remainingMs: 1000,
			promptMs: 300,
			priority: 1,
			allowedRegions: allowedRegions.map(name => brandId<RegionId>(name)),
		}).then(value => {
			response = value;
		});
		while (!response) {
			await advance(1);
		}

		return [response, runtime.now() - startedAt];
	};

	return {targets, run};
};

describe('requests with allowed regions', () => {
	it('run only at targets of these regions, also if another one would be preferred', async () => {
		const {targets: [primary, , replica2], run} = createSetup();
		for (let count = 0; count < 5; count++) {
			assert.equal((await run(READ, BOUNDED, ['west']))[0].target, 'replica-1');
			assert.equal((await run(READ, BOUNDED, ['east']))[0].target, 'primary');
		}

		assert.equal((await run(WRITE, BOUNDED, ['east', 'west']))[0].target, 'primary');
		assert.equal(primary.executed.length, 6);
		assert.deepEqual(replica2.executed, []);
	});

	it('are refused at once with a retry time if no target of these regions can run them', async () => {
		const {targets, run} = createSetup();
		for (const [statement, consistency, regions] of [[WRITE, BOUNDED, ['west']], [READ, {kind: 'latest'}, ['west']], [READ, BOUNDED, ['north']]] as const) {
			const [{outcome}, ms] = await run(statement, consistency, regions);
			assert.ok(outcome.kind === 'refused' && outcome.code === 'busy' && outcome.retryAfterMs > 0);
			assert.ok(ms <= 5, `refused after ${ms} ms`);
		}

		assert.deepEqual(targets.flatMap(({executed}) => executed), []);
	});
});
