/** Change feed: reads the store directly, follows a relay, and recovers when the store has lost its history. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createSuspensionClock, createVirtualRuntime, Err, Ok, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import {
	createChange, createEntryTable, type FeedSource, type StoreChange, type StoreEntry,
} from '../entries.js';
import type {FeedContext} from '../context.js';
import {createFeed, type Feed} from '../feed.js';

const PREFIXES = [{prefix: 'a/', waitMs: 1000, pauseMs: 0}];
/** Prefixes of a fleet in which vms follow each other: data count from when a watch was sent, so two watches must end before data become stale. */
const FLEET_PREFIXES = [{prefix: 'a/', waitMs: 800, pauseMs: 0}];

/** A store of a few entries with switchable faults. */
const createStore = (runtime: Runtime) => {
	let changes: StoreChange[] = [];
	const state = {
		isDown: false, historyFrom: 0, readCount: 0, watchCount: 0, era: 1,
	};
	const getRevision = () => changes.length;
	const getVersion = () => ({era: state.era, revision: getRevision()});
	/** Restores the store from a copy that was taken at a revision. */
	const restore = (revision: number) => {
		changes = changes.slice(0, revision);
		state.era++;
	};

	const put = (key: string, value: string) => {
		const revision = getRevision() + 1;
		changes.push(createChange({
			key, value, era: state.era, revision, createdRevision: revision,
		}));
	};

	const source: FeedSource = {
		async readAll(prefix) {
			state.readCount++;
			const latest = new Map(changes.map(change => [change.key, change.entry]));
			return state.isDown
				? Err({code: 'storeUnreachable', message: 'down'})
				: Ok({entries: [...latest.values()].flatMap(entry => entry?.key.startsWith(prefix) ? [entry] : []), version: getVersion()});
		},
		async watch(prefix, after, waitMs) {
			state.watchCount++;
			for (let waitedMs = 0; waitedMs < waitMs && !state.isDown && after >= state.historyFrom; waitedMs += 20) {
				const newChanges = changes.filter(change => change.revision > after && change.key.startsWith(prefix));
				if (newChanges.length > 0) {
					return Ok({changes: newChanges, version: getVersion()});
				}

				await runtime.sleep(20);
			}

			if (state.isDown) {
				return Err({code: 'storeUnreachable', message: 'down'});
			}

			return after < state.historyFrom ? Err({code: 'historyLost', message: 'gone'}) : Ok({changes: [], version: getVersion()});
		},
	};
	return {
		source, put, state, getRevision, restore,
	};
};

const createSetup = () => {
	const {runtime, advance} = createVirtualRuntime(9);
	const store = createStore(runtime);
	const stop = new AbortController();
	const startFeed = (
		name: string,
		source: FeedSource,
		relay?: Feed,
		overrides: Partial<FeedContext> = {},
	): Feed => {
		const feed = createFeed({
			runtime,
			readSuspensionClock: createSuspensionClock(runtime),
			run: name,
			source,
			prefixes: PREFIXES,
			isRelevantChange: () => true,
			followerWaitMs: 800,
			listVms: () => [],
			relayPrefix: 'a/',
			waitUntilListed: async () => undefined,
			listRelays: () => relay ? ['relay'] : [],
			callRelay: async (_relay, request): Promise<Result<Awaited<ReturnType<Feed['serve']>>, {code: string; message: string}>> => relay
				? Ok(await relay.serve(request))
				: Err({code: 'gone', message: 'gone'}),
			onChange: () => undefined,
			onSourceChange: () => undefined,
			onRelayRejected: () => undefined,
			onEraChange: () => undefined,
			onStoreStatus: () => undefined,
			...overrides,
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

	it('reads the store once when the relay is too busy to send its entries, as after a restart of the whole fleet', async () => {
		const {runtime, advance, store, startFeed, stop} = createSetup();
		const relay = startFeed('one', store.source);
		store.put('a/y', '7');
		await advance(100);
		const previousReadCount = store.state.readCount;
		const busyRelay: Feed = {
			...relay,
			async serve(request) {
				await runtime.sleep(3000);
				return relay.serve(request);
			},
		};
		const follower = startFeed('two', store.source, busyRelay);
		await advance(400);
		assert.equal(follower.get('a/y')?.value, '7');
		await advance(4000);
		assert.equal(store.state.readCount - previousReadCount, 2, 'the list of relays, and the entries');
		stop.abort();
	});

	describe('when the clock of the relay is set while it holds a request', () => {
		for (let stepAtMs = 0; stepAtMs < 1000; stepAtMs += 100) {
			it(`does not take entries for complete later than they were, after ${stepAtMs} ms`, async () => {
				const {runtime, advance, store, startFeed, stop} = createSetup();
				let relayOffsetMs = 0;
				const relay = startFeed('one', store.source, undefined, {
					prefixes: [{prefix: 'a/', waitMs: 100, pauseMs: 0}],
					readSuspensionClock: () => (runtime.now() + relayOffsetMs) as Instant,
				});
				await advance(100);
				const follower = startFeed('two', store.source, relay);
				await advance(2000 + stepAtMs);
				// A step of the wall clock back counts as a suspension of ten seconds.
				relayOffsetMs = 10_000;
				for (let elapsedMs = 0; elapsedMs < 2000; elapsedMs += 50) {
					await advance(50);
					assert.ok(follower.getCompleteAt('a/') <= runtime.now(), `${follower.getCompleteAt('a/')} at ${runtime.now()}`);
				}

				stop.abort();
			});
		}
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

	describe('of a vm that has read only some of its prefixes', () => {
		it('is not taken for whole by a follower, which would drop what is missing for good', async () => {
			const {runtime, advance, store, stop} = createSetup();
			const prefixes = [...PREFIXES, {prefix: 'b/', waitMs: 800, pauseMs: 0}];
			const startPart = (name: string, readDelayMs: number, relay?: Feed): Feed => {
				const feed = createFeed({
					runtime,
					readSuspensionClock: createSuspensionClock(runtime),
					run: name,
					source: {
						...store.source,
						async readAll(prefix) {
							await runtime.sleep(prefix === 'a/' ? readDelayMs : 1);
							return store.source.readAll(prefix);
						},
					},
					prefixes,
					isRelevantChange: () => true,
					followerWaitMs: 800,
					listVms: () => [],
					relayPrefix: 'a/vms/',
					waitUntilListed: async () => undefined,
					listRelays: () => relay && runtime.now() > 2000 ? ['relay'] : [],
					callRelay: async (_relay, request) => relay ? Ok(await relay.serve(request)) : Err({code: 'gone', message: 'gone'}),
					onChange: () => undefined,
					onSourceChange: () => undefined,
					onRelayRejected: () => undefined,
					onEraChange: () => undefined,
					onStoreStatus: () => undefined,
				});
				void feed.run(stop.signal);
				return feed;
			};

			store.put('a/x', 'kept');
			store.put('a/vms/relay', 'later than the entry that the relay lacks');
			const relay = startPart('relay', 4000);
			const follower = startPart('follower', 1, relay);
			await advance(1900);
			assert.equal(follower.get('a/x')?.value, 'kept');
			for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 100) {
				await advance(100);
				assert.equal(follower.get('a/x')?.value, 'kept', `${elapsedMs} ms`);
			}

			const response = await relay.serve({run: '', after: 0, waitMs: 0});
			assert.ok(response.isWhole && response.ageMs < 2000);
			stop.abort();
		});
	});

	describe('in a fleet', () => {
		/** Starts feeds that are listed in the store in the order of their start, each following the one of `getRelay`; a relay can be stopped from responding. */
		const startFleet = async (size: number, getRelay: (index: number) => number | undefined) => {
			const setup = createSetup();
			const {runtime, store} = setup;
			const feeds: Feed[] = [];
			const silent = new Set<number>();
			for (let index = 0; index < size; index++) {
				const listFollowed = () => [getRelay(index), ...index > 0 ? [0] : []].filter((relay, position, all): relay is number => relay !== undefined && all.indexOf(relay) === position);
				const feed = createFeed({
					runtime,
					readSuspensionClock: createSuspensionClock(runtime),
					run: `run-${index}`,
					source: store.source,
					prefixes: FLEET_PREFIXES,
					isRelevantChange: () => true,
					followerWaitMs: 800,
					listVms: () => [],
					relayPrefix: 'a/vms/',
					async waitUntilListed() {
						store.put(`a/vms/${index}`, '');
						await runtime.sleep(10);
					},
					listRelays: () => listFollowed().filter(relay => feeds[index]?.get(`a/vms/${relay}`) !== undefined).map(String),
					async callRelay(relay, request) {
						if (silent.has(Number(relay))) {
							await runtime.sleep(1500);
							return Err({code: 'peerTimeout', message: 'silent'});
						}

						await runtime.sleep(1);
						const response = await feeds[Number(relay)]?.serve(request);
						return response ? Ok(response) : Err({code: 'gone', message: 'gone'});
					},
					onChange: () => undefined,
					onSourceChange: () => undefined,
					onRelayRejected: () => undefined,
					onEraChange: () => undefined,
					onStoreStatus: () => undefined,
				});
				feeds.push(feed);
			}

			for (const feed of feeds) {
				void feed.run(setup.stop.signal);
			}

			await setup.advance(3000);
			return {...setup, feeds, silent};
		};

		/** Two levels: vm 0 reads the store, 1 and 2 follow it, all others follow one of these. */
		const getTreeRelay = (index: number): number | undefined => {
			if (index === 0) {
				return undefined;
			}

			return index <= 2 ? 0 : 1 + (index % 2);
		};

		it('puts a load on the store that does not depend on the number of vms, also when all of them start at once', async () => {
			const counts: number[] = [];
			for (const size of [5, 40]) {
				const {store, advance, stop, feeds} = await startFleet(size, getTreeRelay);
				const startReads = store.state.readCount - size;
				assert.ok(startReads <= 2, `${startReads} reads of all entries by ${size} vms`);
				const before = store.state.watchCount;
				await advance(10_000);
				counts.push(store.state.watchCount - before);
				store.put('a/x', 'new');
				await advance(100);
				assert.ok(feeds.every(feed => feed.get('a/x')?.value === 'new'));
				stop.abort();
			}

			assert.equal(counts[0], counts[1]);
		});

		for (const [name, relay] of [['the vm that reads the store', 0], ['a relay between', 1]] as const) {
			it(`delivers a change within three seconds although ${name} stops responding`, async () => {
				const {store, advance, stop, feeds, silent} = await startFleet(9, getTreeRelay);
				for (let round = 0; round < 5; round++) {
					silent.add(relay);
					store.put('a/x', `value ${round}`);
					await advance(3000);
					assert.deepEqual(feeds.map(feed => feed.get('a/x')?.value), feeds.map(() => `value ${round}`));
					silent.delete(relay);
					await advance(2300 + (round * 170));
				}

				stop.abort();
			});
		}

		it('takes data that has only gone round between vms for stale', async () => {
			const {store, advance, stop, feeds} = await startFleet(3, index => (index + 1) % 3);
			await advance(6000);
			store.put('a/x', 'new');
			await advance(5000);
			assert.ok(feeds.every(feed => feed.get('a/x')?.value === 'new'));
			stop.abort();
		});
	});

	describe('the moment at which its entries were complete', () => {
		/** Records for each change when the store received it, and the moment that a feed gives during `onChange`. */
		const follow = (hasRelay: boolean) => {
			const setup = createSetup();
			const observed: Array<Readonly<{writtenAt: number; completeAt: number}>> = [];
			const relay = hasRelay ? setup.startFeed('one', setup.store.source) : undefined;
			const feed = setup.startFeed('two', setup.store.source, relay, {
				onChange(changes) {
					for (const {entry} of changes) {
						observed.push({writtenAt: Number(entry?.value), completeAt: feed.getCompleteAt('a/')});
					}
				},
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

	describe('after the store was restored from an older copy', () => {
		for (const hasRelay of [false, true]) {
			describe(hasRelay ? 'when it follows a relay' : 'when it reads the store', () => {
				const start = async () => {
					const setup = createSetup();
					const relay = hasRelay ? setup.startFeed('one', setup.store.source) : undefined;
					const feed = setup.startFeed('two', setup.store.source, relay);
					for (const value of ['1', '2', '3', '4']) {
						setup.store.put('a/x', value);
					}

					await setup.advance(1500);
					assert.equal(feed.get('a/x')?.value, '4');
					return {...setup, feed};
				};

				it('takes a change at a revision that another one had before', async () => {
					const {advance, store, feed, stop} = await start();
					store.restore(1);
					await advance(1500);
					store.put('a/x', 'new');
					await advance(1500);
					assert.equal(feed.get('a/x')?.value, 'new');
					assert.equal(feed.getEra(), 2);
					stop.abort();
				});

				it('takes a change that its watch misses, because revisions beyond the last one were given out again', async () => {
					const {advance, store, feed, stop} = await start();
					store.restore(1);
					store.put('a/x', 'new');
					for (let count = 0; count < 9; count++) {
						store.put('b/x', 'other');
					}

					await advance(2500);
					assert.equal(feed.get('a/x')?.value, 'new');
					stop.abort();
				});

				it('keeps an entry that is missing for two seconds, and then removes it', async () => {
					const {advance, store, feed, stop} = await start();
					store.put('a/y', 'lost');
					store.put('a/z', 'written again');
					await advance(1500);
					store.restore(4);
					await advance(1200);
					assert.equal(feed.get('a/y')?.value, 'lost');
					store.put('a/z', 'written again');
					await advance(4000);
					assert.equal(feed.get('a/y'), undefined);
					assert.equal(feed.get('a/z')?.value, 'written again');
					stop.abort();
				});
			});
		}

		it('takes changes from a relay of an earlier version, which does not name eras', async () => {
			const {advance, store, startFeed, stop} = createSetup();
			const relay = startFeed('one', store.source);
			const relayWithoutEras: Feed = {
				...relay,
				serve: async request => JSON.parse(JSON.stringify(await relay.serve(request), (key, value: unknown) => key === 'era' ? undefined : value)) as Awaited<ReturnType<Feed['serve']>>,
			};
			store.state.era = 3;
			store.put('a/x', '1');
			const reader = startFeed('two', store.source);
			await advance(500);
			const follower = startFeed('three', store.source, relayWithoutEras);
			store.put('a/x', '2');
			await advance(2500);
			assert.equal(follower.get('a/x')?.value, '2');
			assert.equal(reader.get('a/x')?.value, '2');
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
	const createEntry = (revision: number, era = 1): StoreEntry => ({
		key: 'a/x', value: `${era}.${revision}`, era, revision, createdRevision: 1,
	});
	const createRemoval = (revision: number, era = 1): StoreChange => ({
		key: 'a/x', era, revision, entry: undefined,
	});

	it('never replaces an entry with an older one', () => {
		const table = createEntryTable();
		assert.ok(table.apply(createChange(createEntry(5))));
		assert.ok(!table.apply(createChange(createEntry(4))));
		assert.equal(table.get('a/x')?.value, '1.5');
	});

	it('does not restore a removed entry by an older change', () => {
		const table = createEntryTable();
		table.apply(createChange(createEntry(5)));
		table.apply(createRemoval(7));
		table.apply(createChange(createEntry(6)));
		assert.equal(table.get('a/x'), undefined);
	});

	it('prefers a change of a later era at whatever revision, also to a removal', () => {
		const table = createEntryTable();
		table.apply(createRemoval(9));
		assert.ok(table.apply(createChange(createEntry(3, 2))));
		assert.ok(!table.apply(createChange(createEntry(10))));
		assert.ok(!table.apply(createRemoval(11)));
		assert.equal(table.get('a/x')?.value, '2.3');
	});

	it('keeps a missing entry of an earlier era until it is told to remove them', () => {
		const table = createEntryTable();
		table.apply(createChange(createEntry(5)));
		table.replace('a/', [], {era: 2, revision: 3});
		assert.equal(table.get('a/x')?.value, '1.5');
		assert.deepEqual(table.removeEarlierEras('a/', {era: 2, revision: 3}), [createRemoval(3, 2)]);
		assert.equal(table.get('a/x'), undefined);
	});
});
