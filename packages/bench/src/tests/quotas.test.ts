/** A customer that floods every proxy gets its rate and burst, and no more, also while its keeper changes. */

import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import type pg from 'pg';
import {findExcessWindow, wait, type AdmittedRequest} from '@guavapitch/load';
import {chooseSlot, parseSlotRecord, ROLE_PREFIX} from '@guavapitch/roles';
import {readExample, takeFirstDatabase} from '../examples.js';
import {startStack, type Stack, type StackProxy} from '../stack.js';
import {connectCustomer} from '../workload.js';

const SHARE = {rate: 60, burst: 40};
const CUSTOMER = 'klub-brno';
const LOOPS = 4;
const FLOOD_MS = 6000;
const LIMIT_STATE = '53400';
/** Part of rate × t that must be let through at least: a keeper's death may cost some seconds. */
const LEAST_PART = 0.3;

describe('shares', () => {
	let stack: Stack;

	const findKeeper = async (): Promise<StackProxy | undefined> => {
		const slot = chooseSlot('keeper', stack.inventory.fleet.keeperSlots, CUSTOMER);
		const entry = (await stack.store.read(`${ROLE_PREFIX}${slot}`)).unwrap();
		const record = entry ? parseSlotRecord(entry.value).unwrap() : undefined;
		return stack.proxies.get(record?.holder.vm ?? '');
	};

	/** Sends without pause through one proxy until told to stop; notes what was, or may have been, let through. */
	const flood = async (proxy: StackProxy, noted: AdmittedRequest[], isRunning: () => boolean) => {
		let client: pg.Client | undefined;
		while (isRunning()) {
			client ??= await connectCustomer(stack, proxy, CUSTOMER, 'motions').catch(() => undefined);
			if (!client) {
				await wait(100);
				continue;
			}

			const startedAt = Date.now();
			try {
				await client.query('SELECT 1 AS one');
				noted.push({startedAt, endedAt: Date.now()});
			} catch (error) {
				const {code} = error as Readonly<{code?: string}>;
				client = code === LIMIT_STATE ? client : undefined;
				await wait(10);
			}
		}

		await client?.end().catch(() => undefined);
	};

	before(async () => {
		stack = await startStack({
			inventory: takeFirstDatabase(readExample('dvorak'), SHARE), proxiesPerDataCentre: 1, connectMs: 2, statementMs: 0, lagMs: 5,
		});
	});

	after(async () => {
		await stack[Symbol.asyncDispose]();
	});

	describe('of a customer that floods every proxy', () => {
		const runFlood = async (onHalf: () => Promise<void>) => {
			const noted: AdmittedRequest[] = [];
			let running = true;
			const loops = [...stack.proxies.values()].flatMap(proxy => Array.from({length: LOOPS}, async () => flood(proxy, noted, () => running)));
			await wait(FLOOD_MS / 2);
			await onHalf();
			await wait(FLOOD_MS / 2);
			running = false;
			await Promise.all(loops);
			assert.equal(findExcessWindow(noted, SHARE), undefined);
			assert.ok(noted.length > SHARE.rate * LEAST_PART * FLOOD_MS / 1000, `only ${noted.length} were let through`);
		};

		it('are kept exactly', async () => {
			await runFlood(async () => undefined);
		});

		it('are kept exactly while the keeper is killed', async () => {
			await runFlood(async () => {
				const keeper = await findKeeper();
				assert.ok(keeper);
				keeper.process.kill('SIGKILL');
				await keeper.exited;
			});
		});

		it('are kept exactly while the keeper is paused and wakes up', async () => {
			await runFlood(async () => {
				const keeper = await findKeeper();
				assert.ok(keeper);
				keeper.process.kill('SIGSTOP');
				await wait(FLOOD_MS / 2);
				keeper.process.kill('SIGCONT');
			});
		});
	});
});
