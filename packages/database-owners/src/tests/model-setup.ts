/** A group with synchronous replication, two vms of which one at a time is its coordinator, and faults drawn from a seed, on a virtual clock. */

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
export const DRAIN_MS = 7000;

type Options = Readonly<{
	seed?: number;
	/** Whether the members are recorded in the store; otherwise only the registry tells who belongs to the group. */
	isRecorded?: boolean;
	/** Whether owners acknowledge a commit only with a proof that it is kept; otherwise as soon as its target confirms it. */
	isProven?: boolean;
}>;

/** Starts a group and two vms, of which one at a time is the coordinator. */
export const createSetup = async ({seed = 1, isRecorded = true, isProven = true}: Options = {}) => {
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
			getEvacuationDeadline: () => NEVER,
			getColdLimit: () => undefined,
			getTargetsCompleteAt: runtime.now,
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

export type Setup = Awaited<ReturnType<typeof createSetup>>;

export const getReplicas = ({group}: Setup): readonly [ModelMember, ModelMember] => group.members.filter(member => member !== group.getPrimary()) as [ModelMember, ModelMember];

export const drain = ({runtime}: Setup, member: ModelMember) => {
	member.description = {...member.description, isDraining: true, acceptsUntil: createDeadline(runtime.now(), DRAIN_MS)};
};

export const countAcknowledgedSince = ({group}: Setup, since: number): number => [...group.acknowledged.values()].filter(at => at >= since).length;

/** Runs the writer for a while and returns how many commits were acknowledged meanwhile. */
export const runFor = async (setup: Setup, ms: number): Promise<number> => {
	const since = setup.runtime.now();
	await setup.advance(ms);
	return countAcknowledgedSince(setup, since);
};

/** Duration of the drawn faults, and of the calm time after them: longer than an order may be outstanding. */
const FAULTS_MS = 25_000;
const CALM_MS = 45_000;
const STEP_MS = 50;

/** Runs a group under drawn faults; returns the commits that were lost, and how many were acknowledged at the end of the calm time. */
export const runModel = async (options: Options) => {
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
