/** Complete failovers on a virtual clock: coordinators, grants, replicas and database owners under random faults. */

import assert from 'node:assert/strict';
import {setMaxListeners} from 'node:events';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createVirtualRuntime, Err, Ok, brandId, PAST, type DatabaseId, type Deadline, type TargetId, type VmId, type Runtime,
} from '@guavapitch/core';
import {createMemoryStore, type Store} from '@guavapitch/store';
import {createDurabilityWaiter} from '../durability.js';
import {createGrantRegistry, type GrantRegistry, type GrantResponse} from '../grant-registry.js';
import {createFailoverCoordinator, type FailoverCoordinator} from '../coordinator.js';
import {
	clearTarget, createFakeGroup, NO_PARTITION, type Partition, type FakeGroup,
} from './fake-group.js';

const DATABASE = brandId<DatabaseId>('orders');
const TARGETS = ['orders-1', 'orders-2', 'orders-3'].map(name => brandId<TargetId>(name));
const OWNER_COUNT = 2;
const RUN_MS = 14_000;
const FAULTS_MS = 8000;
const STEP_MS = 50;
const REQUEST_MS = 2000;

/** One fault of a simulation. */
type Fault
	= | Readonly<{kind: 'cut'; target: number; partition: Partition; atMs: number; durationMs: number}>
		| Readonly<{kind: 'lag'; target: number; lagMs: number; atMs: number; durationMs: number}>
		| Readonly<{kind: 'destroy'; target: number; atMs: number; durationMs: number}>
		| Readonly<{kind: 'storeDown'; atMs: number; durationMs: number}>
		| Readonly<{kind: 'loseAnswers'; atMs: number; durationMs: number}>
		| Readonly<{kind: 'acknowledgeByPrimary'; atMs: number; durationMs: number}>
		| Readonly<{kind: 'newSteward'; gapMs: number; atMs: number; durationMs: number}>
		| Readonly<{kind: 'leaving'; target: number; atMs: number; durationMs: number}>;

const atMs = fc.integer({min: 1000, max: FAULTS_MS - 2500});
const durationMs = fc.integer({min: 50, max: 2500});
const target = fc.nat({max: TARGETS.length - 1});
const partition = fc.record({fromCoordinator: fc.boolean(), fromOwners: fc.boolean(), fromReplicas: fc.boolean()});
const lagArbitrary: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constant('lag' as const), target, lagMs: fc.integer({min: 100, max: 2000}), atMs, durationMs,
});
const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('cut' as const), target, partition, atMs, durationMs,
		}),
	},
	lagArbitrary,
	fc.record({
		kind: fc.constant('destroy' as const), target, atMs, durationMs: fc.integer({min: 2000, max: 2500}),
	}),
	fc.record({kind: fc.constant('storeDown' as const), atMs, durationMs}),
	fc.record({kind: fc.constant('loseAnswers' as const), atMs, durationMs}),
	fc.record({
		kind: fc.constant('newSteward' as const), gapMs: fc.integer({min: 0, max: 500}), atMs, durationMs,
	}),
	fc.record({
		kind: fc.constant('leaving' as const), target, atMs, durationMs,
	}),
);

/** Violations that a simulation found, the number of acknowledged writes, and the time of the last of them in milliseconds. */
type Outcome = Readonly<{violations: readonly string[]; lastAcknowledgedAt: number; acknowledgedCount: number}>;

/** Mechanisms that a simulation can switch off, to show that the check then fails: waiting for replicas, and revocation before a promotion. */
type DisabledMechanisms = Readonly<{replicas?: boolean; revocation?: boolean}>;

type Simulation = Readonly<{runtime: Runtime; group: FakeGroup; faults: readonly Fault[]; disabled: DisabledMechanisms; signal: AbortSignal}>;

const isActive = (fault: Fault, now: number): boolean => now >= fault.atMs && now < fault.atMs + fault.durationMs;

/** Wraps a store with outages and lost responses. */
const createFaultyStore = ({runtime, faults}: Simulation, store: Store): Store => {
	const isFaultActive = (kind: Fault['kind']) => faults.some(fault => fault.kind === kind && isActive(fault, runtime.now()));
	const noResponse = Err({code: 'storeUnknown' as const, message: 'no response'});
	return {
		...store,
		async read(key) {
			await runtime.sleep(runtime.random() * 20);
			return isFaultActive('storeDown') ? noResponse : store.read(key);
		},
		async compareAndSwap(...args) {
			await runtime.sleep(runtime.random() * 20);
			if (isFaultActive('storeDown')) {
				return noResponse;
			}

			const outcome = await store.compareAndSwap(...args);
			await runtime.sleep(runtime.random() * 20);
			return isFaultActive('loseAnswers') && runtime.random() < 0.5 ? noResponse : outcome;
		},
	};
};

/** Runs coordinators one after the other; no two of them have authority at the same time. */
const runCoordinators = (simulation: Simulation, registries: readonly GrantRegistry[]): (() => FailoverCoordinator | undefined) => {
	const {runtime, group, faults, signal, disabled} = simulation;
	const store = createFaultyStore(simulation, createMemoryStore(runtime));
	const coordinatorChanges = faults.filter(fault => fault.kind === 'newSteward').toSorted((a, b) => a.atMs - b.atMs);
	const startTimesMs = [0, ...coordinatorChanges.map(fault => fault.atMs + fault.gapMs)];
	const endTimesMs = [...coordinatorChanges.map(fault => fault.atMs), RUN_MS * 2];
	const getLeavingTargets = () => TARGETS.filter((_, index) => faults.some(fault => fault.kind === 'leaving' && fault.target === index && isActive(fault, runtime.now())));
	const isReplicated = () => !faults.some(fault => fault.kind === 'acknowledgeByPrimary' && isActive(fault, runtime.now()));
	const coordinators = startTimesMs.map((startMs, index) => {
		const deadline = createDeadline(runtime.now(), endTimesMs[index] ?? 0);
		const getAuthorityDeadline = (): Deadline => runtime.now() >= startMs ? deadline : PAST;
		const coordinator = createFailoverCoordinator({
			runtime,
			store,
			commands: group.commands,
			getSettings: () => ({
				database: DATABASE, targets: TARGETS, leaving: getLeavingTargets(), minimumSynced: 1, replicated: isReplicated(),
			}),
			getAuthorityDeadline,
			async revoke(holder, _database, permissions) {
				await runtime.sleep(runtime.random() * 50);
				if (disabled.revocation) {
					return Ok(true);
				}

				if (runtime.random() < 0.3) {
					return Err({code: 'lost', message: 'no response'});
				}

				const registry = registries[Number(holder.vm)];
				registry?.revoke(DATABASE, permissions);
				if (!permissions.acknowledgements) {
					await registry?.waitUntilWritesEnd(DATABASE, createDeadline(runtime.now(), 1000));
				}

				return Ok(true);
			},
			publish: () => undefined,
			onEvent: () => undefined,
		}, DATABASE);
		void runtime.sleep(startMs).then(async () => coordinator.run(signal)).catch(() => undefined);
		return coordinator;
	});
	return () => {
		const index = startTimesMs.findLastIndex(startMs => startMs <= runtime.now());
		return coordinators[index];
	};
};

/** Runs the database owners: each writes, waits for durability, and checks what it may read. */
const runOwners = (simulation: Simulation, registries: readonly GrantRegistry[], getCoordinator: () => FailoverCoordinator | undefined) => {
	const {runtime, group, signal, disabled} = simulation;
	const acknowledged = new Set<string>();
	const violations: string[] = [];
	let lastAcknowledgedAt = 0;

	const renewGrants = async (registry: GrantRegistry, index: number) => {
		while (!signal.aborted) {
			const sentAt = runtime.now();
			await runtime.sleep(runtime.random() * 40);
			const response: GrantResponse | undefined = getCoordinator()?.grant({vm: brandId<VmId>(String(index)), incarnation: 'i'});
			await runtime.sleep(runtime.random() * 200);
			if (response && runtime.random() < 0.9) {
				registry.accept(response, sentAt);
			}

			await runtime.sleep(100, signal).catch(() => undefined);
		}
	};

	const runWrite = async (registry: GrantRegistry, id: string) => {
		const primary = registry.getView(DATABASE)?.record.primary;
		const writeCheck = primary ? registry.checkWrite(DATABASE, primary) : undefined;
		if (!primary || !writeCheck?.ok) {
			return;
		}

		using trackedWrite = registry.trackWrite(DATABASE);
		await runtime.sleep(runtime.random() * 60);
		const fakeTarget = group.get(primary);
		if (fakeTarget.isReplica || fakeTarget.isDown || fakeTarget.partition.fromOwners) {
			return;
		}

		fakeTarget.log = [...fakeTarget.log, id];
		const waitUntilDurable = createDurabilityWaiter(registry, async name => {
			await runtime.sleep(runtime.random() * 20);
			const {log, replayedPositions, partition, isDown} = group.get(name);
			return partition.fromOwners || isDown ? Err({code: 'lost', message: 'no response'}) : Ok({position: disabled.replicas ? 0 : log.length, replayedPositions: new Map(replayedPositions)});
		}, runtime);
		const outcome = await waitUntilDurable({
			database: DATABASE, target: primary, term: writeCheck.val.term, deadline: createDeadline(runtime.now(), REQUEST_MS), signal,
		});
		if (outcome === 'durable') {
			acknowledged.add(id);
			lastAcknowledgedAt = runtime.now();
		}
	};

	const runWrites = async (registry: GrantRegistry, index: number) => {
		for (let count = 0; !signal.aborted; count++) {
			await runWrite(registry, `${index}.${count}`);
			await runtime.sleep(20 + (runtime.random() * 40), signal).catch(() => undefined);
		}
	};

	for (const [index, registry] of registries.entries()) {
		void renewGrants(registry, index);
		void runWrites(registry, index);
		void runWrites(registry, index + OWNER_COUNT);
	}

	return {
		/** Checks that every target that may be read holds all acknowledged writes. */
		check() {
			for (const name of TARGETS.filter(target => !group.get(target).isDown)) {
				const presentIds = new Set(group.get(name).log);
				const missingIds = [...acknowledged].filter(id => !presentIds.has(id));
				if (missingIds.length > 0 && registries.some(registry => registry.checkRead(DATABASE, name).ok)) {
					violations.push(`at ${runtime.now()} ms: ${name} may be read but lacks acknowledged write ${missingIds[0]}`);
				}
			}
		},
		getOutcome: (): Outcome => ({violations, lastAcknowledgedAt, acknowledgedCount: acknowledged.size}),
	};
};

const applyFaults = ({runtime, group, faults}: Simulation) => {
	for (const [index, name] of TARGETS.entries()) {
		const partitions = faults.filter(fault => fault.kind === 'cut' && fault.target === index && isActive(fault, runtime.now())).map(fault => fault.kind === 'cut' ? fault.partition : NO_PARTITION);
		const lag = faults.find(fault => fault.kind === 'lag' && fault.target === index && isActive(fault, runtime.now()));
		const fakeTarget = group.get(name);
		fakeTarget.partition = {
			fromCoordinator: partitions.some(active => active.fromCoordinator), fromOwners: partitions.some(active => active.fromOwners), fromReplicas: partitions.some(active => active.fromReplicas),
		};
		fakeTarget.lagMs = lag?.kind === 'lag' ? lag.lagMs : 15;
		const destroyed = faults.find(fault => fault.kind === 'destroy' && fault.target === index && isActive(fault, runtime.now()));
		fakeTarget.isDown = destroyed !== undefined;
		if (destroyed) {
			clearTarget(fakeTarget);
		}
	}
};

/** Runs one schedule of faults to its end. */
const runSchedule = async (seed: number, faults: readonly Fault[], disabled: DisabledMechanisms = {}): Promise<Outcome> => {
	const {runtime, advance} = createVirtualRuntime(seed);
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	const group = createFakeGroup(TARGETS, runtime);
	const simulation: Simulation = {
		runtime, group, faults, disabled, signal: stop.signal,
	};
	const registries = Array.from({length: OWNER_COUNT}, () => createGrantRegistry(runtime));
	const owners = runOwners(simulation, registries, runCoordinators(simulation, registries));
	void group.replicate(stop.signal);
	while (runtime.now() < RUN_MS) {
		applyFaults(simulation);
		await advance(STEP_MS);
		owners.check();
	}

	stop.abort();
	await advance(REQUEST_MS);
	return owners.getOutcome();
};

/** With one synced replica, only the loss of one target's data can be survived, and only if no other coordinator takes over: just the coordinator that saw the higher position knows of the loss. */
const isSurvivable = (faults: readonly Fault[]): boolean => {
	const destroyed = faults.filter(fault => fault.kind === 'destroy').length;
	return destroyed === 0 || (destroyed === 1 && !faults.some(fault => fault.kind === 'newSteward'));
};

const sampleSchedules = (count: number, seed: number, faults = faultArbitrary) => {
	const arbitrary = fc.array(faults, {minLength: 1, maxLength: 4}).filter(schedule => isSurvivable(schedule));
	return fc.sample(fc.record({seed: fc.nat(), faults: arbitrary}), {numRuns: count, seed});
};

describe('failover coordinator', () => {
	describe('under random faults', () => {
		it('keeps every acknowledged write on each target that may be read, and resumes writes afterwards', async () => {
			for (const {seed, faults} of sampleSchedules(25, 71)) {
				const outcome = await runSchedule(seed, faults);
				const details = JSON.stringify({seed, faults, outcome});
				assert.deepEqual(outcome.violations, [], details);
				assert.ok(outcome.lastAcknowledgedAt > RUN_MS - 1000, `writes did not resume: ${details}`);
			}
		});
	});

	describe('changes of the acknowledgement policy', () => {
		const harmlessFaultArbitrary = fc.oneof(lagArbitrary, fc.record({kind: fc.constant('acknowledgeByPrimary' as const), atMs, durationMs}));

		it('keep every acknowledged write on each target that may be read, as long as no primary is lost', async () => {
			for (const {seed, faults} of sampleSchedules(12, 73, harmlessFaultArbitrary)) {
				const outcome = await runSchedule(seed, faults);
				const details = JSON.stringify({seed, faults, outcome});
				assert.deepEqual(outcome.violations, [], details);
				assert.ok(outcome.lastAcknowledgedAt > RUN_MS - 1000, `writes did not resume: ${details}`);
			}
		});
	});

	describe('the check itself', () => {
		const hasViolations = async (disabled: DisabledMechanisms): Promise<boolean> => {
			for (const {seed, faults} of sampleSchedules(15, 72)) {
				const outcome = await runSchedule(seed, faults, disabled);
				if (outcome.violations.length > 0) {
					return true;
				}
			}

			return false;
		};

		it('fails when acknowledgements do not wait for replicas', async () => {
			assert.ok(await hasViolations({replicas: true}));
		});

		it('fails when grants are not revoked before a promotion', async () => {
			assert.ok(await hasViolations({revocation: true}));
		});
	});
});
