/** Changes of the primary with synchronous replication: no acknowledged commit may be missing at the promoted target, whichever member alone has it. */

import assert from 'node:assert/strict';
import process from 'node:process';
import {describe, it} from 'node:test';
import {
	createDeadline, createSuspensionClock, createVirtualRuntime, Err, NEVER, Ok, brandId, type CustomerId, type TargetId,
} from '@guavapitch/core';
import {createAppointments, SELF_FENCING_APPOINTMENTS, type Appointment} from '../appointments.js';
import {createDatabaseOwner, type DatabaseOwner} from '../database-owner.js';
import {runFailoverCoordinator} from '../failover-coordinator.js';
import type {FailoverCoordinatorEvent, PromotionOutcome} from '../promotions.js';
import {EMPTY_RECORD, type GroupRecord} from '../replication-groups.js';
import {DATABASE} from './fake-targets.js';
import {createModelGroup, type ModelMember} from './model-group.js';

const STORE_MS = 4;
const PROMOTION_MS = 100;
const REGISTRY_DELAY_MS = 60;
/** How long a leaving target accepts new work. */
const DRAIN_MS = 7000;

type Options = Readonly<{
	seed?: number;
	/** Whether the members are recorded in the store; otherwise only the registry tells who belongs to the group. */
	isRecorded?: boolean;
	/** Whether owners acknowledge a commit only with a proof that it is kept; otherwise as soon as its target confirms it. */
	isProven?: boolean;
}>;

/** Starts a group and two vms, of which one at a time is the coordinator. */
const createSetup = async ({seed = 1, isRecorded = true, isProven = true}: Options = {}) => {
	const {runtime, advance} = createVirtualRuntime(seed);
	const stop = new AbortController();
	let commitCount = 0;
	// The writes go through both vms in turn, so that half of them are proved without the coordinator's authority.
	const group = createModelGroup(runtime, stop.signal, target => owners[(++commitCount % 2) as 0 | 1].components.commitProofs.start(target));
	const events: FailoverCoordinatorEvent[] = [];
	const faults = {isStoreDown: false, isLate: false, areOrdersLost: false};
	let record: GroupRecord = EMPTY_RECORD;
	let revision = 0;
	let coordinator = 0;
	let lastToken = 0;
	let highestSeenToken = 0;
	let appointment: Appointment | undefined;

	const execute = (target: TargetId, token: number): PromotionOutcome => {
		if (token < highestSeenToken) {
			return 'refused';
		}

		highestSeenToken = token;
		return group.promote(target) ? 'done' : 'refused';
	};

	const requestPromotion = async (target: TargetId, token: number): Promise<PromotionOutcome> => {
		await runtime.sleep(PROMOTION_MS);
		if (faults.areOrdersLost || faults.isLate) {
			const isExecuted = faults.isLate;
			void runtime.sleep(runtime.random() * 4000).then(() => isExecuted && execute(target, token));
			await runtime.sleep(1000);
			return 'unknown';
		}

		return execute(target, token);
	};

	const listRegistered = () => group.members.filter(({isRegistered}) => isRegistered && !faults.isStoreDown).map(({description, role}) => ({...description, role}));

	const startVm = (index: number): DatabaseOwner => {
		let known: Readonly<{appointment: Appointment | undefined; record: GroupRecord}> = {appointment, record};
		let isDrawing = false;
		const isCoordinator = () => coordinator === index && !faults.isStoreDown;
		const isAuthorized = () => isCoordinator() && !isDrawing;
		const appointments = createAppointments({
			runtime,
			getRecord: () => isAuthorized() ? appointment : known.appointment,
			async readRecord() {
				await runtime.sleep(STORE_MS);
				const read = appointment;
				await runtime.sleep(STORE_MS);
				return faults.isStoreDown ? Err({code: 'storeUnreachable', message: 'down'}) : Ok(read);
			},
			isAuthorized,
		});
		const owner = createDatabaseOwner({
			runtime,
			readSuspensionClock: createSuspensionClock(runtime),
			database: DATABASE,
			dial: group.dial,
			readStatus: group.readStatus,
			appointments: SELF_FENCING_APPOINTMENTS,
			isDataCentreReachable: () => true,
			getKnownGroup: () => isProven ? {appointments, members: known.record.members} : undefined,
			getConnectionLimit: () => 8,
			getAnyCustomer: () => brandId<CustomerId>('club'),
			getIdleTransactionMs: () => 3000,
			acquireToken: async () => Ok(undefined),
			onDecision: () => undefined,
		});
		const follow = async () => {
			while (!stop.signal.aborted) {
				const registered = listRegistered();
				const stored = faults.isStoreDown ? known : {appointment, record};
				await runtime.sleep(REGISTRY_DELAY_MS);
				owner.setTargets(registered);
				known = stored;
			}
		};

		void follow();
		void runFailoverCoordinator({
			runtime,
			database: DATABASE,
			owner,
			isCoordinator,
			async drawFencingToken(target) {
				isDrawing = true;
				await runtime.sleep(STORE_MS);
				isDrawing = false;
				if (!isCoordinator()) {
					return undefined;
				}

				appointment = {target, fencingToken: ++lastToken};
				return lastToken;
			},
			requestPromotion: async ({id}, token) => requestPromotion(id, token),
			isReachableFromPeers: async () => false,
			isSynchronouslyReplicated: () => true,
			groupStore: {
				async read() {
					await runtime.sleep(STORE_MS);
					return faults.isStoreDown
						? Err({code: 'storeUnreachable', message: 'down'})
						: Ok({
							record, revision, appointed: appointment?.target, registered: listRegistered(), unrelated: [],
						});
				},
				async write(newRecord, expectedRevision) {
					await runtime.sleep(STORE_MS);
					if (!isRecorded || faults.isStoreDown || expectedRevision !== revision) {
						return false;
					}

					record = newRecord;
					revision++;
					return true;
				},
			},
			onEvent(event) {
				events.push(event);
			},
		}, stop.signal);
		return owner;
	};

	const owners = [startVm(0), startVm(1)] as const;
	await advance(1500);
	return {
		runtime, group, events, faults, owners, advance,
		stop() {
			stop.abort();
		},
		changeCoordinator() {
			coordinator = 1 - coordinator;
		},
		getRecord: () => record,
		getOrdered: () => appointment?.target,
	};
};

type Setup = Awaited<ReturnType<typeof createSetup>>;

const getReplicas = ({group}: Setup): readonly [ModelMember, ModelMember] => group.members.filter(member => member !== group.getPrimary()) as [ModelMember, ModelMember];

const drain = ({runtime}: Setup, member: ModelMember) => {
	member.description = {...member.description, isDraining: true, acceptsUntil: createDeadline(runtime.now(), DRAIN_MS)};
};

const countAcknowledgedSince = ({group}: Setup, since: number): number => [...group.acknowledged.values()].filter(at => at >= since).length;

/** Runs the writer for a while and returns how many commits were acknowledged meanwhile. */
const runFor = async (setup: Setup, ms: number): Promise<number> => {
	const since = setup.runtime.now();
	await setup.advance(ms);
	return countAcknowledgedSince(setup, since);
};

describe('group with synchronous replication', () => {
	describe('with a replica that is cut off from the store', () => {
		// A replica without an entry goes on confirming commits during a planned change of primary.
		it('loses nothing when the primary leaves, and promotes a replica that is registered', async () => {
			const setup = await createSetup();
			const [unregistered, registered] = getReplicas(setup);
			unregistered.receiveMs = 2;
			registered.receiveMs = 40;
			unregistered.isRegistered = false;
			await setup.advance(6000);
			drain(setup, setup.group.getPrimary());
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			assert.equal(setup.group.getPrimary(), registered);
			assert.ok(await runFor(setup, 1000) > 0);
			setup.stop();
		});

		it('loses nothing when the primary ends, and promotes the unregistered replica if it alone has everything', async () => {
			const setup = await createSetup();
			const [unregistered, registered] = getReplicas(setup);
			registered.receiveMs = 400;
			unregistered.isRegistered = false;
			await setup.advance(6000);
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			assert.equal(setup.group.getPrimary(), unregistered);
			setup.stop();
		});

		it('is known to a coordinator that has just started', async () => {
			const setup = await createSetup();
			const [unregistered, registered] = getReplicas(setup);
			registered.receiveMs = 400;
			unregistered.isRegistered = false;
			await setup.advance(6000);
			setup.changeCoordinator();
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			setup.stop();
		});
	});

	describe('with a replica that does not respond', () => {
		it('promotes nothing, and goes on with writes at the primary', async () => {
			const setup = await createSetup();
			const [silent] = getReplicas(setup);
			silent.isDark = true;
			silent.isRegistered = false;
			await setup.advance(10_000);
			drain(setup, setup.group.getPrimary());
			await setup.advance(3000);
			assert.equal(setup.group.promotionCount(), 0);
			assert.ok(await runFor(setup, 1000) > 0);
			assert.ok(setup.getRecord().members.some(({id}) => id === silent.description.id));
			setup.stop();
		});
	});

	describe('with a replica that is lost for good', () => {
		it('needs it no longer once another replica has everything that was confirmed before its end', async () => {
			const setup = await createSetup();
			const [gone, other] = getReplicas(setup);
			gone.isUp = false;
			gone.isRegistered = false;
			await setup.advance(6000);
			assert.ok(!setup.getRecord().members.some(({id}) => id === gone.description.id));
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.equal(setup.group.getPrimary(), other);
			assert.deepEqual(setup.group.lost, []);
			setup.stop();
		});

		it('is needed as long as no other replica has everything', async () => {
			const setup = await createSetup();
			const [gone, other] = getReplicas(setup);
			other.receiveMs = 100_000;
			await setup.advance(500);
			gone.isUp = false;
			gone.isRegistered = false;
			await setup.advance(6000);
			assert.ok(setup.getRecord().members.some(({id}) => id === gone.description.id));
			void setup.group.restart(setup.group.getPrimary(), 20_000, false);
			await setup.advance(6000);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});

		it('is a member again when it responds again without an entry', async () => {
			const setup = await createSetup();
			const [gone, other] = getReplicas(setup);
			gone.isRegistered = false;
			void setup.group.restart(gone, 6000, false);
			await setup.advance(5500);
			assert.ok(!setup.getRecord().members.some(({id}) => id === gone.description.id));
			await setup.advance(1000);
			other.receiveMs = 400;
			await setup.advance(500);
			drain(setup, setup.group.getPrimary());
			await setup.advance(6000);
			assert.deepEqual(setup.group.lost, []);
			setup.stop();
		});

		it('is still needed while an unknown target has its address, which may be its successor', async () => {
			const setup = await createSetup();
			const [leaving] = getReplicas(setup);
			const {id, port} = leaving.description;
			setup.group.replace(leaving);
			const successor = setup.group.members.find(({description}) => description.port === port);
			assert.ok(successor);
			successor.isRegistered = false;
			await setup.advance(6000);
			assert.ok(setup.getRecord().members.some(member => member.id === id));
			drain(setup, setup.group.getPrimary());
			await setup.advance(3000);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});

		it('has ended when another target has its address', async () => {
			const setup = await createSetup();
			const [leaving] = getReplicas(setup);
			setup.group.replace(leaving);
			await setup.advance(3000);
			assert.deepEqual(setup.getRecord().members.map(({id}) => id).toSorted(), setup.group.members.map(({description}) => description.id).toSorted());
			setup.stop();
		});
	});

	describe('with a coordinator that ends during a change', () => {
		it('has replicas that were left paused resumed by the next coordinator', async () => {
			const setup = await createSetup();
			for (const replica of getReplicas(setup)) {
				replica.heldTerm = 9;
			}

			assert.equal(await runFor(setup, 100), 0);
			setup.changeCoordinator();
			await setup.advance(2500);
			assert.ok(await runFor(setup, 1000) > 0);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});

		it('has an order that may still be executed carried on, not undone', async () => {
			const setup = await createSetup();
			setup.faults.isLate = true;
			const primary = setup.group.getPrimary();
			drain(setup, primary);
			while (setup.getOrdered() === primary.description.id) {
				await setup.advance(10);
			}

			await setup.advance(50);
			setup.changeCoordinator();
			setup.faults.isLate = false;
			await setup.advance(6000);
			assert.equal(setup.group.getPrimary().description.id, setup.getOrdered());
			assert.deepEqual(setup.group.lost, []);
			assert.ok(await runFor(setup, 1000) > 0);
			setup.stop();
		});
	});

	describe('with an order that gets no response', () => {
		it('keeps the replicas paused while the order may still be executed, and resumes them later', async () => {
			const setup = await createSetup();
			setup.faults.areOrdersLost = true;
			const primary = setup.group.getPrimary();
			drain(setup, primary);
			await setup.advance(5000);
			assert.equal(await runFor(setup, 5000), 0);
			setup.faults.areOrdersLost = false;
			await setup.advance(5000);
			assert.notEqual(setup.group.getPrimary(), primary);
			assert.deepEqual(setup.group.lost, []);
			assert.ok(await runFor(setup, 1000) > 0);
			setup.stop();
		});
	});

	describe('with an outage of the store', () => {
		it('promotes nothing and acknowledges writes all the while', async () => {
			const setup = await createSetup();
			setup.faults.isStoreDown = true;
			assert.ok(await runFor(setup, 4500) > 100);
			setup.faults.isStoreDown = false;
			for (const member of setup.group.members) {
				member.isRegistered = false;
				void setup.runtime.sleep(setup.runtime.random() * 2000).then(() => {
					member.isRegistered = true;
				});
			}

			assert.ok(await runFor(setup, 6000) > 100);
			assert.equal(setup.group.promotionCount(), 0);
			setup.stop();
		});
	});
});

/** Duration of the drawn faults, and of the calm time after them: longer than an order may be outstanding. */
const FAULTS_MS = 25_000;
const CALM_MS = 45_000;
const STEP_MS = 50;

/** Runs a group under drawn faults; returns the commits that were lost, and how many were acknowledged at the end of the calm time. */
const runModel = async (options: Options) => {
	const setup = await createSetup(options);
	const {runtime, group, faults} = setup;
	const {random} = runtime;
	const choose = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item;

	const applyFault = async (): Promise<void> => {
		const member = random() < 0.4 ? group.getPrimary() : choose(getReplicas(setup));
		const forMs = 300 + (random() * 6000);
		const runFault = choose([
			async () => {
				faults.isStoreDown = true;
				await runtime.sleep(forMs);
				faults.isStoreDown = false;
			},
			async () => {
				member.isRegistered = false;
				await runtime.sleep(forMs * 2);
				member.isRegistered = true;
			},
			async () => {
				member.isDark = true;
				await runtime.sleep(forMs);
				member.isDark = false;
			},
			async () => {
				member.commandMs = random() * 500;
				await runtime.sleep(forMs);
				member.commandMs = 0;
			},
			async () => {
				member.receiveMs = 400;
				await runtime.sleep(forMs);
				member.receiveMs = 5;
			},
			async () => {
				if (member.isUp) {
					await group.restart(member, forMs, random() < 0.5);
				}
			},
			async () => {
				drain(setup, member);
				await runtime.sleep(DRAIN_MS);
				group.replace(member);
				member.description = {...member.description, isDraining: false, acceptsUntil: NEVER};
			},
			async () => {
				faults.isLate = true;
				await runtime.sleep(forMs);
				faults.isLate = false;
			},
			async () => {
				faults.areOrdersLost = true;
				await runtime.sleep(forMs);
				faults.areOrdersLost = false;
			},
			async () => {
				setup.changeCoordinator();
			},
		]);
		await runFault();
	};

	for (let elapsedMs = 0; elapsedMs < FAULTS_MS; elapsedMs += STEP_MS) {
		if (random() < STEP_MS / 900) {
			void applyFault();
		}

		await setup.advance(STEP_MS);
	}

	await setup.advance(CALM_MS);
	const calmCount = await runFor(setup, 2000);
	setup.stop();
	await setup.advance(2000);
	return {
		lost: group.lost, calmCount, promotionCount: group.promotionCount(), events: setup.events,
	};
};

const FIRST_SEED = Number(process.env.MODEL_FIRST_SEED ?? 1);
const SEEDS = Number(process.env.MODEL_SEEDS ?? 6);
/** Seeds in which a target joins or starts again while an order is being executed, and the primary commits with its confirmation. */
const JOINING_SEEDS = [166, 167, 201, 236, 248, 307, 310];
/** Seeds that failed once: 134 and 149, a target joined while an order was executed; 224, an earlier coordinator's command to resume was executed late; 228, a target was registered for a moment while no leader was known. */
const FAILED_SEEDS = [134, 149, 224, 228, ...JOINING_SEEDS];

describe('model of a group with synchronous replication', () => {
	describe('with recorded members', () => {
		for (const seed of new Set([...Array.from({length: SEEDS}, (_, index) => FIRST_SEED + index), ...FAILED_SEEDS])) {
			it(`loses no acknowledged commit, and acknowledges again in the end (seed ${seed})`, async () => {
				const {lost, calmCount} = await runModel({seed});
				assert.deepEqual(lost, []);
				assert.ok(calmCount > 0, 'no commit was acknowledged in the end');
			});
		}
	});

	describe('without proofs of commits', () => {
		it('loses commits that a target confirmed which joined while an order was being executed', async () => {
			let lostCount = 0;
			for (const seed of JOINING_SEEDS) {
				const {lost} = await runModel({seed, isProven: false});
				lostCount += lost.length;
				if (lostCount > 0) {
					break;
				}
			}

			assert.ok(lostCount > 0);
		});
	});

	describe('without recorded members', () => {
		it('loses commits that only an unregistered replica has', async () => {
			let lostCount = 0;
			for (let seed = 1; seed <= 12 && lostCount === 0; seed++) {
				const {lost} = await runModel({seed, isRecorded: false});
				lostCount += lost.length;
			}

			assert.ok(lostCount > 0);
		});
	});
});
