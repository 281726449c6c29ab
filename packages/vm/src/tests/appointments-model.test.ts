/**
 * Model of three vms that each act as owner of one database, under drawn faults, on a virtual clock. Nothing but the appointments keeps a replaced primary from being used:
 * the targets go on leading, orders are executed late and without a fence, and every vm sends writes and reads itself.
 */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createVirtualRuntime, Ok, brandId, PAST, type CustomerId, type Instant, type Runtime, NEVER,
} from '@guavapitch/core';
import {
	createDatabaseOwner, NO_GROUP_STORE, runFailoverCoordinator, SELF_FENCING_APPOINTMENTS, type DatabaseOwner,
} from '@guavapitch/database-owners';
import {createRoleClaims, createVmRegistration} from '@guavapitch/roles';
import type {StatementRequest} from '@guavapitch/sessions';
import {createPrimaryAppointments} from '../primary-appointments.js';
import {formatCoordinatorRole} from '../role-names.js';
import {createModelStore, type ModelStore, type StoreLink} from './model-store.js';
import {createModelTargets, MODEL_DATABASE, type ModelTargets} from './model-targets.js';

const ROLE = formatCoordinatorRole(MODEL_DATABASE);
const VM_NAMES = ['one', 'two', 'three'];
/** Duration of the drawn faults, and of the calm time after them, in milliseconds. */
const FAULTS_MS = 20_000;
const CALM_MS = 15_000;
const STEP_MS = 50;
/** Delay with which a vm learns of changes in the store. */
const FEED_DELAY_MS = 30;

type Order = Readonly<{fencingToken: number; target: string}>;

type Entries = ReturnType<ModelStore['getEntries']>;

/** A vm of the model, with its links. */
type ModelVm = Readonly<{name: string; storeLink: StoreLink; peerLink: {isCut: boolean}; owner: DatabaseOwner}>;

type ModelOptions = Readonly<{
	runtime: Runtime;
	store: ModelStore;
	targets: ModelTargets;
	sendOrder: (order: Order) => Promise<'done' | 'refused' | 'unknown'>;
	/** Whether owners use appointments; otherwise they take what a target accepts for proof that it leads. */
	isProtected: boolean;
	signal: AbortSignal;
}>;

const startVms = ({
	runtime, store, targets, sendOrder, isProtected, signal,
}: ModelOptions): readonly ModelVm[] => {
	const vms: ModelVm[] = [];
	const confirms = new Map<string, () => unknown>();
	for (const [rank, name] of VM_NAMES.entries()) {
		const storeLink: StoreLink = {mode: 'open'};
		const peerLink = {isCut: false};
		let known: Entries = new Map();
		let knownRevision = 0;
		const ownWrites = new Map<string, Readonly<{value: string; revision: number}>>();

		const follow = async () => {
			while (!signal.aborted) {
				const entries: Entries = new Map(store.getEntries());
				await runtime.sleep(FEED_DELAY_MS);
				if (storeLink.mode === 'open') {
					known = entries;
					knownRevision = Math.max(knownRevision, ...[...entries.values()].map(({revision}) => revision));
					owner.refreshLeader();
				}
			}
		};

		const getEntry = (key: string) => {
			const own = ownWrites.get(key);
			const entry = own && own.revision > knownRevision ? own : known.get(key);
			return entry && {
				key, value: entry.value, era: 1, revision: entry.revision, createdRevision: entry.revision,
			};
		};

		const roleStore = store.connect(storeLink);
		const registration = createVmRegistration({
			runtime,
			readSuspensionClock: runtime.now,
			store: roleStore,
			key: `vms/${name}`,
			value: name,
			getKnownEntry: () => ({entry: getEntry(`vms/${name}`), completeAt: PAST as number as Instant}),
			onStateChange: () => undefined,
			onContact: () => undefined,
			onFailure: () => undefined,
		});
		const roleClaims = createRoleClaims({
			runtime,
			store: roleStore,
			registration,
			vm: name,
			run: name,
			holderPrefix: 'holders/',
			fencingTokenPrefix: 'epochs/',
			getEntry,
			getEra: () => 1,
			listRoles: () => [ROLE],
			getRank: () => rank,
			hasRunEnded: () => false,
			onWritten(key, value, {revision}) {
				ownWrites.set(key, {value, revision});
			},
			onClaimed: () => undefined,
		});
		const appointments = createPrimaryAppointments({runtime, store: roleStore, areTargetsSelfFencing: !isProtected}, {
			getFeed: () => ({get: getEntry, getEra: () => 1}),
			getRoleClaims: () => roleClaims,
			async askCoordinator() {
				await runtime.sleep(2);
				const holder = roleClaims.getHolder(ROLE)?.run ?? '';
				const isCut = peerLink.isCut || vms.find(vm => vm.name === holder)?.peerLink.isCut !== false;
				return isCut || holder === name ? undefined : confirms.get(holder)?.();
			},
		});
		confirms.set(name, () => appointments.confirm(MODEL_DATABASE));
		const owner = createDatabaseOwner({
			runtime,
			readSuspensionClock: runtime.now,
			database: MODEL_DATABASE,
			dial: targets.createDial(name),
			readStatus: targets.readStatus,
			appointments: isProtected ? appointments.get(MODEL_DATABASE) : SELF_FENCING_APPOINTMENTS,
			getEvacuationDeadline: () => NEVER,
			getColdLimit: () => undefined,
			getTargetsCompleteAt: runtime.now,
			isDataCentreReachable: () => true,
			getKnownGroup: () => undefined,
			getConnectionLimit: () => 20,
			getAnyCustomer: () => brandId<CustomerId>('club'),
			getIdleTransactionMs: () => 3000,
			acquireToken: async () => Ok(undefined),
			onDecision: () => undefined,
		});
		owner.setTargets(targets.targets.map(({description}) => description));
		void registration.run(signal);
		void roleClaims.run(signal);
		void follow();
		void runFailoverCoordinator({
			runtime,
			database: MODEL_DATABASE,
			owner,
			isCoordinator: () => roleClaims.isHeld(ROLE),
			drawFencingToken: async target => appointments.drawFencingToken(MODEL_DATABASE, target),
			requestPromotion: async ({id}, fencingToken) => sendOrder({target: id, fencingToken}),
			isReachableFromPeers: async () => false,
			isSynchronouslyReplicated: () => false,
			groupStore: NO_GROUP_STORE,
			onEvent: () => undefined,
		}, signal);
		vms.push({
			name, storeLink, peerLink, owner,
		});
	}

	return vms;
};

/** Runs the model for one seed; returns what was violated, and how many writes were acknowledged in all and in the calm time. */
const runModel = async (seed: number, isProtected: boolean) => {
	const {runtime, advance} = createVirtualRuntime(seed);
	const {random} = runtime;
	const stop = new AbortController();
	const store = createModelStore(runtime);
	const targets = createModelTargets(runtime);
	const orders: Order[] = [];
	const orderFault = {isLate: false};
	const sendOrder = async (order: Order) => {
		orders.push(order);
		if (orderFault.isLate) {
			void runtime.sleep(300 + (random() * 2000)).then(() => targets.promote(brandId(order.target)));
			await runtime.sleep(400);
			return 'unknown' as const;
		}

		await runtime.sleep(100);
		return targets.promote(brandId(order.target)) ? 'done' as const : 'refused' as const;
	};

	const vms = startVms({
		runtime, store, targets, sendOrder, isProtected, signal: stop.signal,
	});
	await advance(3000);

	const violations: string[] = [];
	const acknowledged: Array<Readonly<{id: string; at: number}>> = [];
	let requestCount = 0;
	const sendStatement = async (vm: ModelVm, access: 'read' | 'write'): Promise<void> => {
		const id = `${access}${++requestCount}`;
		const startedAt = runtime.now();
		const request: StatementRequest = {
			id,
			database: MODEL_DATABASE,
			customer: brandId<CustomerId>('club'),
			statement: {kind: 'text', access, text: access.toUpperCase()},
			consistency: {kind: 'latest'},
			floor: undefined,
			values: [],
			transaction: undefined,
			remainingMs: 900,
			promptMs: 200,
			priority: 1,
		};
		const {outcome} = await vm.owner.serve(request);
		const run = targets.executed.get(id);
		if (outcome.kind === 'refused' && access === 'write' && run) {
			violations.push(`${id} ran at ${run.target}, but was refused as not run`);
		} else if (outcome.kind === 'done' && run && access === 'write') {
			acknowledged.push({id, at: runtime.now()});
			if (!run.wasPrimary) {
				violations.push(`${id} was acknowledged at the replaced primary ${run.target}`);
			}
		} else if (outcome.kind === 'done' && run) {
			const missing = acknowledged.find(write => write.at < startedAt && !targets.discarded.has(write.id) && !run.log.includes(write.id));
			if (missing) {
				violations.push(`${id} at ${run.target} lacks ${missing.id}`);
			}
		}
	};

	const choose = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)] as Item;

	const applyFault = async (): Promise<void> => {
		const vm = choose(vms);
		const target = random() < 0.7 ? targets.getPrimary() : choose(targets.targets);
		const forMs = 500 + (random() * 6000);
		const faults: ReadonlyArray<readonly [apply: () => void, undo: () => void]> = [
			[() => {
				vm.storeLink.mode = 'cut';
			}, () => {
				vm.storeLink.mode = 'open';
			}],
			[() => {
				vm.storeLink.mode = 'losesResponses';
			}, () => {
				vm.storeLink.mode = 'open';
			}],
			[() => {
				vm.peerLink.isCut = true;
			}, () => {
				vm.peerLink.isCut = false;
			}],
			[() => {
				target.cutFrom.add(vm.name);
			}, () => {
				target.cutFrom.delete(vm.name);
			}],
			// A data centre is cut off with its target and one vm, which still reach each other.
			[() => {
				target.isIsolated = true;
				vm.storeLink.mode = 'cut';
				vm.peerLink.isCut = true;
				for (const other of vms) {
					if (other !== vm) {
						target.cutFrom.add(other.name);
					}
				}
			}, () => {
				target.isIsolated = false;
				vm.storeLink.mode = 'open';
				vm.peerLink.isCut = false;
				target.cutFrom.clear();
			}],
			[() => {
				orderFault.isLate = true;
			}, () => {
				orderFault.isLate = false;
			}],
		];
		const [apply, undo] = choose(faults);
		apply();
		await runtime.sleep(forMs);
		undo();
	};

	for (let elapsedMs = 0; elapsedMs < FAULTS_MS + CALM_MS; elapsedMs += STEP_MS) {
		if (elapsedMs < FAULTS_MS && random() < STEP_MS / 900) {
			void applyFault();
		}

		void sendStatement(choose(vms), random() < 0.5 ? 'write' : 'read');
		await advance(STEP_MS);
	}

	const calmSince = runtime.now() - 3000;
	stop.abort();
	await advance(2000);
	const isRising = orders.every(({fencingToken}, index) => index === 0 || fencingToken > (orders[index - 1]?.fencingToken ?? 0));
	if (!isRising) {
		violations.push(`the tokens of the orders do not rise: ${orders.map(({fencingToken}) => fencingToken).join(', ')}`);
	}

	return {
		violations, orders, calmCount: acknowledged.filter(({at}) => at >= calmSince).length, count: acknowledged.length,
	};
};

describe('model of owners without fences', () => {
	describe('with appointments', () => {
		for (let seed = 1; seed <= 12; seed++) {
			it(`acknowledges only at one primary, reads nothing stale, and serves writes in the end (seed ${seed})`, async () => {
				const {violations, calmCount, count} = await runModel(seed, true);
				assert.deepEqual(violations, []);
				assert.ok(calmCount > 0 && count > 50, `${count} writes acknowledged, ${calmCount} in the last three seconds`);
			});
		}
	});

	describe('without appointments', () => {
		it('finds writes acknowledged at two primaries and stale reads', async () => {
			const found: string[] = [];
			for (let seed = 1; seed <= 12; seed++) {
				const {violations} = await runModel(seed, false);
				found.push(...violations);
			}

			assert.ok(found.some(text => text.includes('acknowledged at the replaced primary')), 'no write at a replaced primary');
			assert.ok(found.some(text => text.includes('lacks')), 'no stale read');
		});
	});
});
