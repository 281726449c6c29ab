/** Serves requests at the owner of a target, over a connection whose responses each test supplies. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createStreamPair, createVirtualRuntime, Err, Ok, brandId, type CustomerId, type DatabaseId, type RequestId, type ServiceId, type TargetId,
} from '@guavapitch/core';
import {createFairQueue, createPool} from '@guavapitch/pool';
import type {Reply, RequestChunk, RequestHeader} from '@guavapitch/sessions';
import {
	serveRequest, type DurabilityState, type ChunkResult, type ChunkTask, type OwnerContext, type OwnerStream,
} from '../owner.js';

const TARGET = brandId<TargetId>('motions-1');
const CHUNK: RequestChunk = {
	parts: [], ends: true, mayCommit: true, leavesState: false,
};

const HEADER: RequestHeader = {
	requestId: brandId<RequestId>('r1'),
	service: brandId<ServiceId>('motions'),
	database: brandId<DatabaseId>('motions'),
	target: TARGET,
	customer: brandId<CustomerId>('klub'),
	weight: 1,
	mode: 'write',
	maximumAgeMs: 0,
	remainingMs: 1000,
	idleTransactionMs: 300,
};

type Connection = AsyncDisposable & Readonly<{cancel: () => void; isEnded: () => boolean; reset: () => Promise<boolean>}>;

/** Behaviour of the target and its owner that a test chooses. */
type Behaviour = Readonly<{
	respond?: (task: ChunkTask) => Promise<ChunkResult>;
	durability?: DurabilityState;
	isGranted?: boolean;
	isDraining?: boolean;
}>;

const respondImmediately = async (task: ChunkTask): Promise<ChunkResult> => {
	await task.send(new Uint8Array([1]));
	return await task.mayForwardCompletion('idle') ? {kind: 'ready', status: 'idle'} : {kind: 'lost'};
};

const createFixture = (behaviour: Behaviour) => {
	const {runtime, advance, settle} = createVirtualRuntime();
	let resetCount = 0;
	const pool = createPool<Connection>({
		maxOpen: 2,
		minIdle: 0,
		dial: async () => Ok({
			cancel: () => undefined,
			isEnded: () => false,
			async reset() {
				resetCount++;
				return true;
			},
			[Symbol.asyncDispose]: async () => undefined,
		}),
		onAvailable: () => undefined,
		onReachabilityChange: () => undefined,
	}, runtime);
	const queue = createFairQueue(runtime, 1, () => true);
	const context: OwnerContext<Connection> = {
		runtime,
		getTarget: target => target === TARGET ? {queue, pool, isLeaving: () => false} : undefined,
		runChunk: async (_, task) => (behaviour.respond ?? respondImmediately)(task),
		checkGrant: () => behaviour.isGranted === false ? Err({code: 'noGrant', message: 'no grant'}) : Ok(1),
		waitUntilDurable: async () => behaviour.durability ?? 'durable',
		waitUntilUnanswerable: async (_header, _term, _deadline, signal) => new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			});
		}),
		onServed: () => undefined,
		registerCancel: () => ({[Symbol.dispose]: () => undefined}),
		trackRequest: () => ({[Symbol.dispose]: () => undefined}),
		isDraining: () => behaviour.isDraining ?? false,
	};
	const [entry, owner] = createStreamPair<RequestChunk, Reply>(() => 1);
	return {
		entry, advance, settle, queue, getResets: () => resetCount,
		serve: async (header = HEADER) => serveRequest(context, header, owner as OwnerStream),
	};
};

/** Serves one chunk and returns the kinds of the replies, with the code in place of `refused`. */
const collectKinds = async (behaviour: Behaviour, header = HEADER): Promise<readonly string[]> => {
	const {entry, serve} = createFixture(behaviour);
	await entry.send(CHUNK);
	const served = serve(header);
	const kinds: string[] = [];
	while (kinds.at(-1) === undefined || kinds.at(-1) === 'messages') {
		const reply = await entry.receive();
		kinds.push(reply?.kind === 'refused' ? reply.refusal.code : reply?.kind ?? 'end');
	}

	await entry[Symbol.asyncDispose]();
	await served;
	return kinds;
};

describe('serveRequest', () => {
	describe('a single write', () => {
		it('is answered once it is durable', async () => {
			assert.deepEqual(await collectKinds({}), ['messages', 'ready']);
		});

		it('has an unknown outcome while it is not confirmed durable', async () => {
			assert.deepEqual(await collectKinds({durability: 'unproved'}), ['messages', 'unknown']);
		});

		it('has an unknown outcome when the connection is lost', async () => {
			assert.deepEqual(await collectKinds({respond: async () => ({kind: 'lost'})}), ['unknown']);
		});
	});

	describe('a read', () => {
		it('does not wait for replicas', async () => {
			assert.deepEqual(await collectKinds({durability: 'unproved'}, {...HEADER, mode: 'read'}), ['messages', 'ready']);
		});

		it('is returned to the entry when a replica refuses it because it writes', async () => {
			assert.deepEqual(await collectKinds({respond: async () => ({kind: 'readOnly'})}, {...HEADER, mode: 'read'}), ['readOnly']);
		});
	});

	describe('a refusal', () => {
		it('is sent before the target receives anything', async () => {
			const refuseToRun = async (): Promise<ChunkResult> => assert.fail('the chunk was sent');
			assert.deepEqual(await collectKinds({respond: refuseToRun, isGranted: false}), ['noGrant']);
			assert.deepEqual(await collectKinds({respond: refuseToRun, isDraining: true}), ['notHome']);
			assert.deepEqual(await collectKinds({respond: refuseToRun}, {...HEADER, target: brandId<TargetId>('other')}), ['notHome']);
		});
	});

	describe('a transaction', () => {
		it('occupies no slot between its statements and is rolled back after its idle timeout', async () => {
			const {entry, serve, advance, settle, queue, getResets} = createFixture({respond: async () => ({kind: 'ready', status: 'open'})});
			await entry.send(CHUNK);
			const served = serve();
			await settle();
			assert.deepEqual(await entry.receive(), {kind: 'ready', status: 'open'});
			assert.equal(queue.getBusyCount(), 0);
			await advance(HEADER.idleTransactionMs + 1);
			const reply = await entry.receive();
			assert.equal(reply?.kind, 'rolledBack');
			await served;
			await settle();
			assert.equal(getResets(), 1, 'the connection is reset before it is reused');
		});
	});
});
