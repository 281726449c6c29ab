/** A whole failover on a virtual clock: stewards, grants, replicas and homes under drawn faults. */

import assert from 'node:assert/strict';
import {setMaxListeners} from 'node:events';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createVirtualWorld, Err, Ok, parseId, PAST, type DatabaseId, type Deadline, type TargetId, type VmId, type World,
} from '@guavapitch/core';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {createDurabilityWaiter} from '../durability.js';
import {createGrantRegistry, type GrantRegistry, type GrantReply} from '../grant-registry.js';
import {createFailoverCoordinator, type FailoverCoordinator} from '../coordinator.js';
import {
	clearTarget, createFakeGroup, WHOLE, type Cut, type FakeGroup,
} from './fake-group.js';

const DATABASE = parseId<DatabaseId>('orders');
const NAMES = ['orders-1', 'orders-2', 'orders-3'].map(name => parseId<TargetId>(name));
const HOMES = 2;
const RUN_MS = 14_000;
const FAULTS_MS = 8000;
const STEP_MS = 50;
const REQUEST_MS = 2000;

/** One fault of a run. */
type Fault
	= | Readonly<{kind: 'cut'; target: number; cut: Cut; atMs: number; forMs: number}>
		| Readonly<{kind: 'lag'; target: number; lagMs: number; atMs: number; forMs: number}>
		| Readonly<{kind: 'destroy'; target: number; atMs: number; forMs: number}>
		| Readonly<{kind: 'storeDown'; atMs: number; forMs: number}>
		| Readonly<{kind: 'loseAnswers'; atMs: number; forMs: number}>
		| Readonly<{kind: 'acknowledgeByPrimary'; atMs: number; forMs: number}>
		| Readonly<{kind: 'newSteward'; gapMs: number; atMs: number; forMs: number}>
		| Readonly<{kind: 'leaving'; target: number; atMs: number; forMs: number}>;

const atMs = fc.integer({min: 1000, max: FAULTS_MS - 2500});
const forMs = fc.integer({min: 50, max: 2500});
const target = fc.nat({max: NAMES.length - 1});
const cut = fc.record({fromSteward: fc.boolean(), fromHomes: fc.boolean(), fromReplicas: fc.boolean()});
const lag: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constant('lag' as const), target, lagMs: fc.integer({min: 100, max: 2000}), atMs, forMs,
});
const fault: fc.Arbitrary<Fault> = fc.oneof(
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('cut' as const), target, cut, atMs, forMs,
		}),
	},
	lag,
	fc.record({
		kind: fc.constant('destroy' as const), target, atMs, forMs: fc.integer({min: 2000, max: 2500}),
	}),
	fc.record({kind: fc.constant('storeDown' as const), atMs, forMs}),
	fc.record({kind: fc.constant('loseAnswers' as const), atMs, forMs}),
	fc.record({
		kind: fc.constant('newSteward' as const), gapMs: fc.integer({min: 0, max: 500}), atMs, forMs,
	}),
	fc.record({
		kind: fc.constant('leaving' as const), target, atMs, forMs,
	}),
);

/** What went wrong in a run, and what was acknowledged when. */
type Outcome = Readonly<{violations: readonly string[]; lastAcknowledgedAt: number; acknowledged: number}>;

/** Mechanisms that a run can do without, to see the check fail. */
type Without = Readonly<{replicas?: boolean; endOfGrants?: boolean}>;

type Run = Readonly<{world: World; group: FakeGroup; faults: readonly Fault[]; without: Without; signal: AbortSignal}>;

const isDuring = (one: Fault, now: number): boolean => now >= one.atMs && now < one.atMs + one.forMs;

/** Puts the store's outages and lost answers before a store. */
const createFaultyStore = ({world, faults}: Run, store: Store): Store => {
	const has = (kind: Fault['kind']) => faults.some(one => one.kind === kind && isDuring(one, world.now()));
	const lost = Err({code: 'storeUnknown' as const, message: 'no answer'});
	return {
		...store,
		async read(key) {
			await world.sleep(world.random() * 20);
			return has('storeDown') ? lost : store.read(key);
		},
		async compareAndSwap(...args) {
			await world.sleep(world.random() * 20);
			if (has('storeDown')) {
				return lost;
			}

			const answer = await store.compareAndSwap(...args);
			await world.sleep(world.random() * 20);
			return has('loseAnswers') && world.random() < 0.5 ? lost : answer;
		},
	};
};

/** Lets stewards follow each other: authority is never held by two. */
const runStewards = (run: Run, books: readonly GrantRegistry[]): (() => FailoverCoordinator | undefined) => {
	const {world, group, faults, signal, without} = run;
	const store = createFaultyStore(run, createMemoryStore(world));
	const changes = faults.filter(one => one.kind === 'newSteward').toSorted((a, b) => a.atMs - b.atMs);
	const starts = [0, ...changes.map(one => one.atMs + one.gapMs)];
	const ends = [...changes.map(one => one.atMs), RUN_MS * 2];
	const getLeaving = () => NAMES.filter((_, index) => faults.some(one => one.kind === 'leaving' && one.target === index && isDuring(one, world.now())));
	const isReplicated = () => !faults.some(one => one.kind === 'acknowledgeByPrimary' && isDuring(one, world.now()));
	const stewards = starts.map((startMs, index) => {
		const deadline = createDeadline(world.now(), ends[index] ?? 0);
		const getAuthority = (): Deadline => world.now() >= startMs ? deadline : PAST;
		const steward = createFailoverCoordinator({
			world,
			store,
			commands: group.commands,
			getSettings: () => ({
				database: DATABASE, targets: NAMES, leaving: getLeaving(), minimumSynced: 1, replicated: isReplicated(),
			}),
			getAuthorityDeadline: getAuthority,
			async revoke(holder, _database, permissions) {
				await world.sleep(world.random() * 50);
				if (without.endOfGrants) {
					return Ok(true);
				}

				if (world.random() < 0.3) {
					return Err({code: 'lost', message: 'no answer'});
				}

				const book = books[Number(holder.vm)];
				book?.revoke(DATABASE, permissions);
				if (!permissions.acknowledgements) {
					await book?.waitUntilWritesEnd(DATABASE, createDeadline(world.now(), 1000));
				}

				return Ok(true);
			},
			publish: () => undefined,
			onEvent: () => undefined,
		}, DATABASE);
		void world.sleep(startMs).then(async () => steward.run(signal)).catch(() => undefined);
		return steward;
	});
	return () => {
		const index = starts.findLastIndex(startMs => startMs <= world.now());
		return stewards[index];
	};
};

/** Runs the homes: each writes, waits for durability, and checks what it may read. */
const runHomes = (run: Run, books: readonly GrantRegistry[], getSteward: () => FailoverCoordinator | undefined) => {
	const {world, group, signal, without} = run;
	const acknowledged = new Set<string>();
	const violations: string[] = [];
	let lastAcknowledgedAt = 0;

	const askGrants = async (book: GrantRegistry, index: number) => {
		while (!signal.aborted) {
			const askedAt = world.now();
			await world.sleep(world.random() * 40);
			const reply: GrantReply | undefined = getSteward()?.grant({vm: parseId<VmId>(String(index)), incarnation: 'i'});
			await world.sleep(world.random() * 200);
			if (reply && world.random() < 0.9) {
				book.accept(reply, askedAt);
			}

			await world.sleep(100, signal).catch(() => undefined);
		}
	};

	const writeOne = async (book: GrantRegistry, id: string) => {
		const primary = book.getView(DATABASE)?.record.primary;
		const allowed = primary ? book.checkWrite(DATABASE, primary) : undefined;
		if (!primary || !allowed?.ok) {
			return;
		}

		using entered = book.trackWrite(DATABASE);
		await world.sleep(world.random() * 60);
		const asked = group.get(primary);
		if (asked.isReplica || asked.isDown || asked.cut.fromHomes) {
			return;
		}

		asked.log = [...asked.log, id];
		const waitUntilDurable = createDurabilityWaiter(book, async name => {
			await world.sleep(world.random() * 20);
			const {log, replayed, cut, isDown} = group.get(name);
			return cut.fromHomes || isDown ? Err({code: 'lost', message: 'no answer'}) : Ok({position: without.replicas ? 0 : log.length, replayed: new Map(replayed)});
		}, world);
		const state = await waitUntilDurable({
			database: DATABASE, target: primary, term: allowed.val.term, deadline: createDeadline(world.now(), REQUEST_MS), signal,
		});
		if (state === 'durable') {
			acknowledged.add(id);
			lastAcknowledgedAt = world.now();
		}
	};

	const write = async (book: GrantRegistry, index: number) => {
		for (let count = 0; !signal.aborted; count++) {
			await writeOne(book, `${index}.${count}`);
			await world.sleep(20 + (world.random() * 40), signal).catch(() => undefined);
		}
	};

	for (const [index, book] of books.entries()) {
		void askGrants(book, index);
		void write(book, index);
		void write(book, index + HOMES);
	}

	return {
		/** Checks that everything acknowledged is there wherever it may be read. */
		check() {
			for (const name of NAMES.filter(one => !group.get(one).isDown)) {
				const held = new Set(group.get(name).log);
				const missing = [...acknowledged].filter(id => !held.has(id));
				if (missing.length > 0 && books.some(book => book.checkRead(DATABASE, name).ok)) {
					violations.push(`at ${world.now()}: ${name} may be read and lacks ${missing[0]}`);
				}
			}
		},
		getOutcome: (): Outcome => ({violations, lastAcknowledgedAt, acknowledged: acknowledged.size}),
	};
};

const applyFaults = ({world, group, faults}: Run) => {
	for (const [index, name] of NAMES.entries()) {
		const cuts = faults.filter(one => one.kind === 'cut' && one.target === index && isDuring(one, world.now())).map(one => one.kind === 'cut' ? one.cut : WHOLE);
		const lag = faults.find(one => one.kind === 'lag' && one.target === index && isDuring(one, world.now()));
		const asked = group.get(name);
		asked.cut = {
			fromSteward: cuts.some(one => one.fromSteward), fromHomes: cuts.some(one => one.fromHomes), fromReplicas: cuts.some(one => one.fromReplicas),
		};
		asked.lagMs = lag?.kind === 'lag' ? lag.lagMs : 15;
		const destroyed = faults.find(one => one.kind === 'destroy' && one.target === index && isDuring(one, world.now()));
		asked.isDown = destroyed !== undefined;
		if (destroyed) {
			clearTarget(asked);
		}
	}
};

/** Runs one drawn schedule to its end. */
const runSchedule = async (seed: number, faults: readonly Fault[], without: Without = {}): Promise<Outcome> => {
	const {world, advance} = createVirtualWorld(seed);
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	const group = createFakeGroup(NAMES, world);
	const run: Run = {
		world, group, faults, without, signal: stop.signal,
	};
	const books = Array.from({length: HOMES}, () => createGrantRegistry(world));
	const homes = runHomes(run, books, runStewards(run, books));
	void group.replicate(stop.signal);
	while (world.now() < RUN_MS) {
		applyFaults(run);
		await advance(STEP_MS);
		homes.check();
	}

	stop.abort();
	await advance(REQUEST_MS);
	return homes.getOutcome();
};

/** A rule of one replica survives the loss of one target's data; that a replica lost its data is known only to the steward that saw it. */
const hasOneDestruction = (faults: readonly Fault[]): boolean => {
	const destroyed = faults.filter(one => one.kind === 'destroy').length;
	return destroyed === 0 || (destroyed === 1 && !faults.some(one => one.kind === 'newSteward'));
};

const drawRuns = (count: number, seed: number, faults = fault) => {
	const drawn = fc.array(faults, {minLength: 1, maxLength: 4}).filter(all => hasOneDestruction(all));
	return fc.sample(fc.record({seed: fc.nat(), faults: drawn}), {numRuns: count, seed});
};

describe('steward', () => {
	describe('under drawn faults', () => {
		it('keeps every acknowledged write wherever it may be read, and writes go on afterwards', async () => {
			for (const {seed, faults} of drawRuns(25, 71)) {
				const outcome = await runSchedule(seed, faults);
				const told = JSON.stringify({seed, faults, outcome});
				assert.deepEqual(outcome.violations, [], told);
				assert.ok(outcome.lastAcknowledgedAt > RUN_MS - 1000, `writes did not go on: ${told}`);
			}
		});
	});

	describe('changes of the rule of acknowledgement', () => {
		const harmless = fc.oneof(lag, fc.record({kind: fc.constant('acknowledgeByPrimary' as const), atMs, forMs}));

		it('leave every read with every acknowledged write while no primary is lost', async () => {
			for (const {seed, faults} of drawRuns(12, 73, harmless)) {
				const outcome = await runSchedule(seed, faults);
				const told = JSON.stringify({seed, faults, outcome});
				assert.deepEqual(outcome.violations, [], told);
				assert.ok(outcome.lastAcknowledgedAt > RUN_MS - 1000, `writes did not go on: ${told}`);
			}
		});
	});

	describe('the check itself', () => {
		const isBroken = async (without: Without): Promise<boolean> => {
			for (const {seed, faults} of drawRuns(15, 72)) {
				const outcome = await runSchedule(seed, faults, without);
				if (outcome.violations.length > 0) {
					return true;
				}
			}

			return false;
		};

		it('fails when answers do not wait for replicas', async () => {
			assert.ok(await isBroken({replicas: true}));
		});

		it('fails when grants are not ended before a promotion', async () => {
			assert.ok(await isBroken({endOfGrants: true}));
		});
	});
});
