/** Replayed recoveries of a target: how much is sent to it too early, and how soon it has its share again. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findLoad} from '../loads.js';
import {runReplay, type ReplayResult} from '../replay.js';
import {createTable} from '../table.js';

const SEEDS = [1, 2, 3];
/** The target that recovers, and the time before its fault from which its usual share is taken. */
const RECOVERING_TARGET = 'target-2';
const USUAL_FROM_MS = 3000;
const FAULT_AT_MS = 5000;

const replaySeeds = async (name: string): Promise<readonly ReplayResult[]> => {
	const load = findLoad(name);
	assert.ok(load, name);
	return Promise.all(SEEDS.map(async seed => runReplay(load, seed)));
};

const listStatements = (results: readonly ReplayResult[], fromMs: number, untilMs: number) => results
	.flatMap(({sentStatements}) => sentStatements.filter(({target, atMs}) => target === RECOVERING_TARGET && atMs >= fromMs && atMs < untilMs));

/** Computes the rate of statements that the recovering target gets in a period, relative to its rate before the fault. */
const computeShare = (results: readonly ReplayResult[], fromMs: number, untilMs: number): number => (listStatements(results, fromMs, untilMs).length / (untilMs - fromMs))
	/ (listStatements(results, USUAL_FROM_MS, FAULT_AT_MS).length / (FAULT_AT_MS - USUAL_FROM_MS));

const computeMeanWorth = (results: readonly ReplayResult[], group: string, name: string): number => results
	.map(result => createTable(result).find(row => row.group === group && row.name === name)?.worth ?? 0)
	.reduce((sum, worth) => sum + worth, 0) / results.length;

describe('a target that recovers', () => {
	describe('at a quarter of its speed', () => {
		it('gets few operations that miss their objective there, and its share within three seconds of being fast', async () => {
			const results = await replaySeeds('slow-return');
			const operations = results.flatMap(result => {
				const requestIds = new Set(listStatements([result], 7000, 12_000).map(({requestId}) => requestId));
				return result.operations.filter(operation => operation.requestIds.some(id => requestIds.has(id)));
			});
			const missedCount = operations.filter(({outcome}) => outcome !== 'prompt').length;
			assert.ok(operations.length >= 20, `${operations.length} operations: without any, its recovery would go unnoticed`);
			assert.ok(missedCount <= operations.length / 20, `${missedCount} of ${operations.length} operations missed their objective`);
			const share = computeShare(results, 16_000, 18_000);
			assert.ok(share >= 0.75, `share ${share}`);
		});
	});

	describe('at its full speed', () => {
		it('has its share within half a second', async () => {
			const share = computeShare(await replaySeeds('fast-return'), 7500, 9000);
			assert.ok(share >= 0.6, `share ${share}`);
		});
	});

	describe('again and again', () => {
		it('is not left idle after its last recovery', async () => {
			for (const result of await replaySeeds('flapping-target')) {
				const share = computeShare([result], 14_250, 16_250);
				assert.ok(share >= 0.3, `share ${share} with seed ${result.seed}`);
			}
		});
	});

	describe('for health probes only, while half of its statements fail', () => {
		it('costs at most 0.5% of the worth', async () => {
			const worth = computeMeanWorth(await replaySeeds('failing-target'), 'all', '');
			assert.ok(worth >= 0.995, `worth ${worth}`);
		});
	});
});

describe('a restart of all vms with many customers', () => {
	it('serves nearly everything from the second after it', async () => {
		const worth = computeMeanWorth(await replaySeeds('restart-many-customers'), 'from ms', '10000');
		assert.ok(worth >= 0.99, `worth ${worth}`);
	});
});
