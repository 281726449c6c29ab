/** Guards against two owners of one database that take each other's connections to its targets, and against connections opened anew for each request. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createDeadline, createVirtualRuntime, Err, Ok, brandId, type CustomerId, type Result,
} from '@guavapitch/core';
import {createTargetConnections, type ConnectionHandle} from '../connections.js';
import type {DialFailure, TargetConnection} from '../targets.js';
import {createFakeTarget} from './fake-targets.js';

const LIMIT = 20;

/** Creates the pools of several owners on one target, which refuses connections beyond its limit. */
const createSetup = (ownerCount: number) => {
	const {runtime, advance} = createVirtualRuntime(3);
	const {description} = createFakeTarget('primary', 'primary');
	let openCount = 0;
	const dial = async (): Promise<Result<TargetConnection, DialFailure>> => {
		await runtime.sleep(5);
		if (openCount >= LIMIT) {
			return Err({code: 'tooMany', message: 'too many'});
		}

		openCount++;
		let isEnded = false;
		return Ok({
			execute: async () => ({replies: [], ended: 'no' as const}),
			isEnded: () => isEnded,
			close() {
				openCount -= isEnded ? 0 : 1;
				isEnded = true;
			},
		});
	};

	const owners = Array.from({length: ownerCount}, () => createTargetConnections(description, dial, () => LIMIT, runtime));
	/** Runs a request of each of some customers, and returns how many got a connection. */
	const request = async (owner: ReturnType<typeof createTargetConnections>, customerCount: number): Promise<number> => {
		let servedCount = 0;
		for (let index = 0; index < customerCount; index++) {
			let acquired: Result<ConnectionHandle, DialFailure> | undefined;
			void owner.acquire(brandId<CustomerId>(`customer-${index}`), [], createDeadline(runtime.now(), 500)).then(result => {
				acquired = result;
			});
			await advance(10);
			if (acquired?.ok) {
				servedCount++;
				acquired.val.release(true);
			}
		}

		return servedCount;
	};

	return {owners, request};
};

describe('connections to a target', () => {
	it('are kept for as many customers as one owner may have connections', async () => {
		const {owners: [owner], request} = createSetup(1);
		assert.ok(owner);
		assert.equal(await request(owner, 14), 14);
		assert.equal(owner.getOpenCount(), 14);
		assert.equal(owner.estimateConnectMs(brandId<CustomerId>('customer-3')), 0);
		assert.ok(owner.estimateConnectMs(brandId<CustomerId>('customer-18')) > 0);
	});

	it('let another owner serve every customer, although the target has few left for it', async () => {
		const {owners: [first, second], request} = createSetup(2);
		assert.ok(first && second);
		assert.equal(await request(first, 16), 16);
		assert.equal(await request(second, 16), 16);
		assert.equal(await request(first, 16), 16);
		assert.equal(await request(second, 16), 16);
		assert.ok(first.getOpenCount() + second.getOpenCount() <= LIMIT);
		assert.ok(second.getOpenCount() >= LIMIT / 4);
	});
});
