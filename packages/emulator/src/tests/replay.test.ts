/** Replayed loads: the worth of the operations under overload and faults, and the tables of the results. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLoad, LOADS} from '../loads.js';
import {formatPlot} from '../plot.js';
import type {OperationAttempt} from '../callers.js';
import {runReplay, type ReplayResult} from '../replay.js';
import {
	compareTables, computeWorstWindowsWorth, createTable, formatTable, type TableRow,
} from '../table.js';

/** Network delay of the loads, one way. */
const NETWORK_DELAY_MS = 1;
/** Worth of the load `overload` with seed 1 without admission control and with a queue of a million requests. */
const UNLIMITED_QUEUE_WORTH = 0.537;

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

	describe('twice the capacity for ten seconds', () => {
		const replayLoad = async (name: string): Promise<ReplayResult> => {
			const load = findLoad(name);
			assert.ok(load, name);
			return runReplay(load, 1);
		};

		let overloadResult: Promise<ReplayResult> | undefined;
		const overload = async (): Promise<ReplayResult> => {
			overloadResult ??= replayLoad('overload');
			return overloadResult;
		};

		const isRefusedEarly = ({isRefused, durationMs}: OperationAttempt, className: string): boolean => {
			const objectiveMs = findLoad('overload')?.classes.find(({name}) => name === className)?.latencyObjectiveMs ?? 0;
			return isRefused && durationMs <= (objectiveMs * 0.05) + (2 * NETWORK_DELAY_MS);
		};

		it('refuses 95% of what is not served within 5% of its objective', async () => {
			const {operations} = await overload();
			const unserved = operations.flatMap(({className, attempts}) => attempts.filter(({isDone}) => !isDone).map(attempt => ({className, attempt})));
			const early = unserved.filter(({className, attempt}) => isRefusedEarly(attempt, className));
			assert.ok(early.length >= unserved.length * 0.95, `${early.length} of ${unserved.length} refused early`);
		});

		it('refuses at most one in ten again that return when told', async () => {
			const {operations} = await overload();
			const returns = operations.flatMap(({attempts}) => attempts).filter(({isReturn}) => isReturn);
			const refusedAgain = returns.filter(({isDone}) => !isDone);
			assert.ok(refusedAgain.length <= returns.length * 0.1, `${refusedAgain.length} of ${returns.length} returns refused again`);
		});

		it('serves no less than a queue that refuses nothing', async () => {
			const rows = createTable(await overload());
			assert.ok(findWorth(rows, 'all', '') >= UNLIMITED_QUEUE_WORTH, `worth ${findWorth(rows, 'all', '')}`);
		});

		it('leaves the 99th percentile of customers inside their share within 1.2 times that without the load of the others', async () => {
			const quietRows = await replay('quiet');
			const rows = createTable(await replayLoad('customer-overload'));
			for (const customer of ['large', 'middle']) {
				const [quiet, overloaded] = [quietRows, rows].map(table => table.find(({group, name}) => group === 'customer' && name === customer)?.p99 ?? 0);
				assert.ok((overloaded ?? 0) <= (quiet ?? 0) * 1.2, `${customer}: ${quiet} ms without, ${overloaded} ms with the other customer's load`);
				assert.ok(findWorth(rows, 'customer', customer) >= 0.99, customer);
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
		className: 'orders', requestIds: [], customer: 'large', dataCentre: 'east', maxWorth: 2, attempts: [],
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
