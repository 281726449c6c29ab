/** Change feed: reads the store directly, follows a relay, and recovers when the store has lost its history. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createSuspensionClock, createVirtualRuntime, Err, Ok, type Result, type Runtime,
} from '@guavapitch/core';
import {createEntryTable, type FeedSource, type StoreChange} from '../entries.js';
import {createFeed, type Feed} from '../feed.js';

const PREFIXES = [{prefix: 'a/', waitMs: 1000, pauseMs: 0}];

/** A store of a few entries with switchable faults. */
const createStore = (runtime: Runtime) => {
	const changes: StoreChange[] = [];
	const state = {isDown: false, historyFrom: 0, readCount: 0};
	const getRevision = () => changes.length;
	const put = (key: string, value: string) => {
		const revision = getRevision() + 1;
		changes.push({
			key, revision, entry: {
				key, value, revision, createdRevision: revision,
			},
		});
	};

	const source: FeedSource = {
		async readAll(prefix) {
			state.readCount++;
			const latest = new Map(changes.map(change => [change.key, change.entry]));
			return state.isDown
				? Err({code: 'storeUnreachable', message: 'down'})
				: Ok({entries: [...latest.values()].flatMap(entry => entry?.key.startsWith(prefix) ? [entry] : []), revision: getRevision()});
		},
		async watch(prefix, after, waitMs) {
			for (let waitedMs = 0; waitedMs < waitMs && !state.isDown && after >= state.historyFrom; waitedMs += 20) {
				const newChanges = changes.filter(change => change.revision > after && change.key.startsWith(prefix));
				if (newChanges.length > 0) {
					return Ok({changes: newChanges, revision: getRevision()});
				}

				await runtime.sleep(20);
			}

			if (state.isDown) {
				return Err({code: 'storeUnreachable', message: 'down'});
			}

			return after < state.historyFrom ? Err({code: 'historyLost', message: 'gone'}) : Ok({changes: [], revision: getRevision()});
		},
	};
	return {
		source, put, state, getRevision,
	};
};

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(9);
	const store = createStore(runtime);
	const stop = new AbortController();
	const startFeed = (name: string, source: FeedSource, relay?: Feed, onChange: (changes: readonly StoreChange[]) => void = () => undefined): Feed => {
		const feed = createFeed({
			runtime,
			readSuspensionClock: createSuspensionClock(runtime),
			run: name,
			source,
			prefixes: PREFIXES,
			isRelevantChange: () => true,
			listRelays: () => relay ? ['relay'] : [],
			callRelay: async (_relay, request): Promise<Result<Awaited<ReturnType<Feed['serve']>>, {code: string; message: string}>> => relay
				? Ok(await relay.serve(request))
				: Err({code: 'gone', message: 'gone'}),
			onChange,
			onSourceChange: () => undefined,
			onStoreStatus: () => undefined,
		});
		void feed.run(stop.signal);
		return feed;
	};

	return {
		runtime, advance, store, startFeed, stop,
	};
};

describe('change feed', () => {
	it('reads the store and receives changes', async () => {
		const {advance, store, startFeed, stop} = createSetup();
		store.put('a/x', '1');
		const feed = startFeed('one', store.source);
		await advance(50);
		store.put('a/x', '2');
		await advance(100);
		assert.equal(feed.get('a/x')?.value, '2');
		stop.abort();
	});

	it('follows a relay without reading the store', async () => {
		const {advance, store, startFeed, stop} = createSetup();
		const relay = startFeed('one', store.source);
		await advance(100);
		const previousReadCount = store.state.readCount;
		const follower = startFeed('two', {...store.source, readAll: async () => Err({code: 'storeUnreachable', message: 'unreachable'})}, relay);
		store.put('a/y', '7');
		await advance(1200);
		assert.equal(follower.get('a/y')?.value, '7');
		assert.ok(follower.getAgeMs() < 2100);
		assert.equal(store.state.readCount, previousReadCount);
		stop.abort();
	});

	it('reports the age of data from a relay that cannot reach the store', async () => {
		const {advance, store, startFeed, stop} = createSetup();
		const relay = startFeed('one', store.source);
		await advance(100);
		const follower = startFeed('two', store.source, relay);
		await advance(200);
		store.state.isDown = true;
		await advance(6000);
		assert.ok(follower.getAgeMs() > 3000);
		stop.abort();
	});

	describe('the moment at which its entries were complete', () => {
		/** Records for each change when the store received it, and the moment that a feed gives during `onChange`. */
		const follow = (hasRelay: boolean) => {
			const setup = createSetup();
			const observed: Array<Readonly<{writtenAt: number; completeAt: number}>> = [];
			const relay = hasRelay ? setup.startFeed('one', setup.store.source) : undefined;
			const feed = setup.startFeed('two', setup.store.source, relay, changes => {
				for (const {entry} of changes) {
					observed.push({writtenAt: Number(entry?.value), completeAt: feed.getCompleteAt('a/')});
				}
			});
			return {...setup, observed};
		};

		for (const hasRelay of [false, true]) {
			it(`is before the store received a change, but not long before, when it ${hasRelay ? 'follows a relay' : 'reads the store'}`, async () => {
				const {advance, store, stop, observed, runtime} = follow(hasRelay);
				await advance(3000);
				for (let count = 0; count < 10; count++) {
					await advance(370);
					store.put('a/x', String(runtime.now()));
				}

				await advance(2000);
				assert.equal(observed.length, 10);
				for (const {writtenAt, completeAt} of observed) {
					assert.ok(completeAt <= writtenAt && completeAt > writtenAt - 2000, `written at ${writtenAt}, complete at ${completeAt}`);
				}

				stop.abort();
			});
		}

		it('does not move while the store cannot be reached', async () => {
			const {advance, store, startFeed, stop, runtime} = createSetup();
			const feed = startFeed('one', store.source);
			await advance(1500);
			store.state.isDown = true;
			const downAt = runtime.now();
			await advance(5000);
			assert.ok(feed.getCompleteAt('a/') <= downAt);
			stop.abort();
		});
	});

	it('reads all entries again when the store has lost its history', async () => {
		const {advance, store, startFeed, stop} = createSetup();
		store.put('a/x', '1');
		const feed = startFeed('one', store.source);
		await advance(50);
		store.put('a/x', '2');
		store.state.historyFrom = store.getRevision();
		await advance(1500);
		assert.equal(feed.get('a/x')?.value, '2');
		stop.abort();
	});
});

describe('entry table', () => {
	const entry = (revision: number) => ({
		key: 'a/x', value: String(revision), revision, createdRevision: 1,
	});

	it('never replaces an entry with an older one', () => {
		const table = createEntryTable();
		assert.ok(table.apply({key: 'a/x', revision: 5, entry: entry(5)}));
		assert.ok(!table.apply({key: 'a/x', revision: 4, entry: entry(4)}));
		assert.equal(table.get('a/x')?.value, '5');
	});

	it('does not restore a removed entry by an older change', () => {
		const table = createEntryTable();
		table.apply({key: 'a/x', revision: 5, entry: entry(5)});
		table.apply({key: 'a/x', revision: 7, entry: undefined});
		table.apply({key: 'a/x', revision: 6, entry: entry(6)});
		assert.equal(table.get('a/x'), undefined);
	});
});
