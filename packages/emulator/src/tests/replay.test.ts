/** Replayed loads: the worth of the operations under overload and faults, and the tables of the results. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLoad, LOADS} from '../loads.js';
import {formatPlot} from '../plot.js';
import {runReplay, type ReplayResult} from '../replay.js';
import {
	compareTables, computeWorstWindowsWorth, createTable, formatTable, type TableRow,
} from '../table.js';

const replay = async (name: string, seed = 1): Promise<readonly TableRow[]> => {
	const load = findLoad(name);
	assert.ok(load, name);
	return createTable(await runReplay(load, seed));
};

const findWorth = (rows: readonly TableRow[], group: string, name: string): number => rows.find(row => row.group === group && row.name === name)?.worth ?? 0;

describe('replayed loads', () => {
	describe('the same seed', () => {
		it('gives the same operations', async () => {
			assert.deepEqual(await replay('failover', 7), await replay('failover', 7));
		});
	});

	describe('a load without faults', () => {
		it('loses at most 1% of the worth with each seed', async () => {
			for (const seed of [1, 2, 3]) {
				assert.ok(findWorth(await replay('quiet', seed), 'all', '') >= 0.99);
			}
		});
	});

	describe('one customer beyond its quota', () => {
		it('costs the other customers at most 5% of their worth', async () => {
			const rows = await replay('hot-customer');
			assert.ok(findWorth(rows, 'customer', 'large') >= 0.95, 'large');
			assert.ok(findWorth(rows, 'customer', 'middle') >= 0.95, 'middle');
		});
	});

	describe('a slow or unresponsive target', () => {
		it('costs at most 10% of the worth in the worst windows', async () => {
			assert.ok(computeWorstWindowsWorth(await replay('slow-target')) >= 0.9);
			assert.ok(computeWorstWindowsWorth(await replay('dark-target')) >= 0.9);
		});
	});

	describe('a failover', () => {
		it('costs reads that need no leader at most 5% of their worth, and recovers after the promotion', async () => {
			const rows = await replay('failover');
			assert.ok(findWorth(rows, 'class', 'swaps') >= 0.95);
			assert.ok(findWorth(rows, 'from ms', '12000') >= 0.98, 'all operations are served two seconds after the promotion');
		});
	});

	describe('more customers than an owner has connections to a target', () => {
		it('open a new connection for at most one operation in five', async () => {
			const load = findLoad('many-customers');
			assert.ok(load);
			for (const seed of [1, 2]) {
				const result = await runReplay(load, seed);
				const dialsPerOperation = result.dialCount / result.operations.length;
				assert.ok(dialsPerOperation <= 0.2, `${dialsPerOperation} connections opened for each operation`);
				assert.ok(findWorth(createTable(result), 'all', '') >= 0.99);
			}
		});
	});

	describe('a restart of all vms', () => {
		it('recovers within two windows', async () => {
			assert.ok(findWorth(await replay('restart'), 'from ms', '12000') >= 0.98);
		});
	});
});

describe('tables of results', () => {
	const operation = {
		className: 'orders', requestIds: [], customer: 'large', dataCentre: 'east', maxWorth: 2,
	};
	const result: ReplayResult = {
		load: 'made',
		seed: 1,
		dialCount: 0,
		sentStatements: [],
		operations: [
			{
				...operation, startedAtMs: 100, outcome: 'prompt', latencyMs: 10, earnedWorth: 2,
			},
			{
				...operation, startedAtMs: 2100, outcome: 'late', latencyMs: 900, earnedWorth: 0.5,
			},
			{
				...operation, startedAtMs: 4100, outcome: 'refused', latencyMs: 5, earnedWorth: 0,
			},
		],
	};

	it('are grouped by class, data centre, customer and time window', () => {
		const rows = createTable(result);
		assert.deepEqual(rows.map(({group, name}) => `${group} ${name}`), ['all ', 'class orders', 'data centre east', 'customer large', 'from ms 0', 'from ms 2000', 'from ms 4000']);
		assert.equal(rows[0]?.worth, 2.5 / 6);
		assert.equal(computeWorstWindowsWorth(rows), 0.125);
		assert.equal(formatTable(rows).split('\n').length, rows.length + 1);
	});

	it('are compared as ratios', () => {
		assert.match(compareTables(createTable(result), createTable(result)), /^all +worth 0\.417 -> 0\.417, ratio 1\.000/v);
	});

	it('are plotted with one line for each class', () => {
		assert.equal(formatPlot(result).match(/<polyline/gv)?.length, 1);
	});
});

describe('loads', () => {
	it('have unique names and a description', () => {
		assert.equal(new Set(LOADS.map(({name}) => name)).size, LOADS.length);
		assert.ok(LOADS.every(({description}) => description.length > 0));
	});
});
