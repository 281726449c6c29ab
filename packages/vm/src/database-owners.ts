/** The databases whose home or steward this vm is. */

import {
	createDeadline, Ok, parseId, type CustomerId, type DatabaseId, type TargetId, type VmId,
} from '@guavapitch/core';
import {
	createDatabaseOwner, runFailoverCoordinator, type DatabaseOwner,
} from '@guavapitch/homes';
import type {RoleClaims} from '@guavapitch/roles';
import {EVENTS} from '@guavapitch/telemetry';
import type {VmContext} from './context.js';
import type {PeerClient} from './peer-client.js';
import type {Quotas} from './quotas.js';
import type {ClusterView} from './cluster-view.js';

/** Homes of databases at one vm. */
export type DatabaseOwners = Readonly<{
	/** Gets the home of a database, opening it if needed. */
	get: (database: DatabaseId) => DatabaseOwner;
	/** Passes changed targets on to the open homes. */
	refreshTargets: () => void;
	/** Answers whether this vm reaches a target. */
	isReachable: (target: TargetId) => Promise<boolean>;
	/** Closes idle connections of databases whose first home is another vm, until the signal aborts. */
	closeIdleConnections: (signal: AbortSignal) => Promise<void>;
}>;

/** What the databases need of the vm. */
export type DatabaseDependencies = Readonly<{
	view: ClusterView;
	quotas: Quotas;
	getPeerClient: () => PeerClient;
	getRoleClaims: () => RoleClaims;
	getSignal: () => AbortSignal;
}>;

/** Method by which vms ask whether another reaches a target. */
export const REACH_METHOD = 'reach';

/** Part of a target's connections that one home may open; two homes with different views stay within the limit together. */
const HOME_PART = 0.5;
const REACH_TIMEOUT_MS = 500;
/** Vms asked whether they reach a target. */
const WITNESSES = 3;
/** Time after which the idle connections of a home that is no longer the first are closed, in milliseconds. */
const IDLE_MS = 3000;
const LOOK_MS = 1000;
const DEFAULT_IDLE_TRANSACTION_MS = 3000;
const DEFAULT_CONNECTIONS = 8;

/** Duty of the steward of a database. */
export const formatCoordinatorRole = (database: DatabaseId): string => `database/${database}`;

/** Creates the databases of a vm. */
export const createDatabaseOwners = (context: VmContext, parts: DatabaseDependencies): DatabaseOwners => {
	const {world, settings, emit, metrics} = context;
	const {view} = parts;
	const homes = new Map<DatabaseId, DatabaseOwner>();

	const askWitnesses = async (target: TargetId): Promise<boolean> => {
		const others = view.listMembers().filter(({vm}) => vm !== settings.vm && parts.getPeerClient().isUsable(vm));
		const start = Math.floor(world.random() * others.length);
		const asked = [...others.slice(start), ...others.slice(0, start)].slice(0, WITNESSES);
		const answers = await Promise.all(asked.map(async member => parts.getPeerClient().call(member, REACH_METHOD, {target}, REACH_TIMEOUT_MS)));
		return answers.some(answer => answer.ok && answer.val === true);
	};

	const open = (database: DatabaseId): DatabaseOwner => {
		const home = createDatabaseOwner({
			world,
			readClock: context.readClock,
			database,
			dial: context.dialTarget,
			readStatus: context.readStatus,
			getConnectionLimit: () => Math.max(1, Math.floor((view.getConfiguration()?.databases.get(database)?.connectionLimit ?? DEFAULT_CONNECTIONS) * HOME_PART)),
			getAnyCustomer: () => [...view.getConfiguration()?.quotas.keys() ?? []][0] ?? parseId<CustomerId>('-'),
			getIdleTransactionMs: () => view.getConfiguration()?.idleTransactionMs ?? DEFAULT_IDLE_TRANSACTION_MS,
			acquireToken: async (customer, deadline) => view.getConfiguration()?.quotas.has(customer)
				? parts.quotas.quotaClient.acquire(customer, deadline)
				: Ok(undefined),
			onDecision({
				kind, requestId, customer, target, reason, ageMs,
			}) {
				metrics.count(`home.${kind}`, {database});
				emit(EVENTS.ownerDecision, {
					kind, database, requestId, customer, target, reason, ageMs: Math.round(ageMs),
				});
			},
		});
		home.setTargets(view.listTargets(database));
		void runFailoverCoordinator({
			world,
			database,
			owner: home,
			isCoordinator: () => parts.getRoleClaims().isHeld(formatCoordinatorRole(database)),
			drawFencingToken: async () => parts.getRoleClaims().drawFencingToken(formatCoordinatorRole(database)),
			async orderPromotion(target, fence) {
				const known = view.findTarget(target);
				return known ? context.requestPromotion(known, settings.vm, fence) : 'refused';
			},
			isReachableFromPeers: askWitnesses,
			isSynchronouslyReplicated: () => view.getConfiguration()?.databases.get(database)?.isReplicated ?? false,
			onEvent({kind, target, reason, ageMs}) {
				metrics.count(`steward.${kind}`, {database});
				emit(EVENTS.coordinatorDecision, {
					kind, database, target, reason, ageMs: Math.round(ageMs),
				});
			},
		}, parts.getSignal());
		return home;
	};

	const get = (database: DatabaseId): DatabaseOwner => {
		const known = homes.get(database);
		if (known) {
			return known;
		}

		const opened = open(database);
		homes.set(database, opened);
		return opened;
	};

	return {
		get,
		refreshTargets() {
			for (const [database, home] of homes) {
				home.setTargets(view.listTargets(database));
			}
		},
		async isReachable(id) {
			const target = view.findTarget(id);
			const answer = target && await get(target.database).ping(id, createDeadline(world.now(), REACH_TIMEOUT_MS));
			return answer === 'leads' || answer === 'follows';
		},
		async closeIdleConnections(signal) {
			while (!signal.aborted) {
				await world.sleep(LOOK_MS, signal).catch(() => undefined);
				for (const [database, home] of homes) {
					const first: VmId | undefined = view.rankOwners(database)[0]?.vm;
					if (first !== settings.vm) {
						home.closeIdleConnections(IDLE_MS);
					}
				}
			}
		},
	};
};
