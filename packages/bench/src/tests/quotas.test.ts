/** A customer that floods every proxy is admitted its rate and burst and no more, also while its quota allocator changes. */

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

const QUOTA = {rate: 60, burst: 40};
const CUSTOMER = 'klub-brno';
const LOOP_COUNT = 4;
const FLOOD_MS = 6000;
const LIMIT_EXCEEDED_SQLSTATE = '53400';
/** Minimum fraction of rate × t that must be admitted: replacing a failed quota allocator may take some seconds. */
const MIN_ADMITTED_FRACTION = 0.3;

describe('quotas', () => {
	let stack: Stack;

	const findQuotaAllocator = async (): Promise<StackProxy | undefined> => {
		const slot = chooseSlot('keeper', stack.inventory.fleet.keeperSlots, CUSTOMER);
		const storeEntry = (await stack.store.read(`${ROLE_PREFIX}${slot}`)).unwrap();
		const record = storeEntry ? parseSlotRecord(storeEntry.value).unwrap() : undefined;
		return stack.proxies.get(record?.holder.vm ?? '');
	};

	/** Sends requests through one proxy without pause while `isRunning` returns true, and records those that were, or may have been, admitted. */
	const flood = async (proxy: StackProxy, admitted: AdmittedRequest[], isRunning: () => boolean) => {
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
				admitted.push({startedAt, endedAt: Date.now()});
			} catch (error) {
				const {code} = error as Readonly<{code?: string}>;
				client = code === LIMIT_EXCEEDED_SQLSTATE ? client : undefined;
				await wait(10);
			}
		}

		await client?.end().catch(() => undefined);
	};

	before(async () => {
		stack = await startStack({
			inventory: takeFirstDatabase(readExample('dvorak'), QUOTA), proxiesPerDataCentre: 1, connectMs: 2, statementMs: 0, lagMs: 5,
		});
	});

	after(async () => {
		await stack[Symbol.asyncDispose]();
	});

	describe('of a customer that floods every proxy', () => {
		const runFlood = async (onMidpoint: () => Promise<void>) => {
			const admitted: AdmittedRequest[] = [];
			let isRunning = true;
			const loops = [...stack.proxies.values()].flatMap(proxy => Array.from({length: LOOP_COUNT}, async () => flood(proxy, admitted, () => isRunning)));
			await wait(FLOOD_MS / 2);
			await onMidpoint();
			await wait(FLOOD_MS / 2);
			isRunning = false;
			await Promise.all(loops);
			assert.equal(findExcessWindow(admitted, QUOTA), undefined);
			assert.ok(admitted.length > QUOTA.rate * MIN_ADMITTED_FRACTION * FLOOD_MS / 1000, `only ${admitted.length} requests were admitted`);
		};

		it('are enforced exactly', async () => {
			await runFlood(async () => undefined);
		});

		it('are enforced exactly while the quota allocator is killed', async () => {
			await runFlood(async () => {
				const allocator = await findQuotaAllocator();
				assert.ok(allocator);
				allocator.process.kill('SIGKILL');
				await allocator.exited;
			});
		});

		it('are enforced exactly while the quota allocator is paused and resumed', async () => {
			await runFlood(async () => {
				const allocator = await findQuotaAllocator();
				assert.ok(allocator);
				allocator.process.kill('SIGSTOP');
				await wait(FLOOD_MS / 2);
				allocator.process.kill('SIGCONT');
			});
		});
	});
});
