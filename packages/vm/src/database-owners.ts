/** The databases that this vm owns, and their failover coordinators. */

import {
	createDeadline, NEVER, brandId, type CustomerId, type DatabaseId, type DataCentreId, type TargetId, type VmId,
} from '@guavapitch/core';
import {
	createDatabaseOwner, isPingAnswered, runFailoverCoordinator, type DatabaseOwner, type GroupRecord,
} from '@guavapitch/database-owners';
import type {RoleClaims} from '@guavapitch/roles';
import {EVENTS} from '@guavapitch/telemetry';
import type {DatabaseConfiguration} from './configuration.js';
import type {VmContext} from './context.js';
import type {PeerClient} from './peer-client.js';
import type {Quotas} from './quotas.js';
import type {ClusterView} from './cluster-view.js';
import type {PrimaryAppointments} from './primary-appointments.js';
import {createGroupStore} from './replication-groups.js';
import {formatCoordinatorRole} from './role-names.js';

/** Database owners at one vm. */
export type DatabaseOwners = Readonly<{
	/** Returns the owner of a database, creating it if needed. */
	get: (database: DatabaseId) => DatabaseOwner;
	/** Passes the current targets on to every owner. */
	refreshTargets: () => void;
	/** Lets the owner of a database, if there is one, use the target that was announced as promoted. */
	refreshAnnouncedLeader: (database: DatabaseId) => void;
	/** Lets every owner apply changed appointments. */
	refreshLeaders: () => void;
	/** Probes a target; resolves to whether this vm can reach it. */
	isReachable: (target: TargetId) => Promise<boolean>;
	/** Counts the transactions that are open here. */
	countOpenTransactions: () => number;
	/** Closes idle connections to databases whose preferred owner is another vm, and reports the windows of the targets, until the signal aborts. */
	closeIdleConnections: (signal: AbortSignal) => Promise<void>;
}>;

/** Dependencies of the database owners. */
export type DatabaseDependencies = Readonly<{
	view: ClusterView;
	quotas: Quotas;
	getPeerClient: () => PeerClient;
	getRoleClaims: () => RoleClaims;
	appointments: PrimaryAppointments;
	/** Tells whether the vms of a data centre can be reached. */
	isDataCentreReachable: (dataCentre: DataCentreId) => boolean;
	/** Called when a coordinator of this vm has promoted a target. */
	onPromoted: (database: DatabaseId, target: TargetId) => void;
	/** Returns the record of a synchronously replicated group as this vm knows it; `undefined` if it knows none. */
	getGroupRecord: (database: DatabaseId) => GroupRecord | undefined;
	/** Returns the signal that stops the failover coordinators. */
	getSignal: () => AbortSignal;
}>;

/** Method by which vms ask a peer to probe a target. */
export const PROBE_TARGET_METHOD = 'reach';

/** Timeout of one probe of a target, made by this vm or by a peer, in milliseconds. */
const TARGET_PROBE_TIMEOUT_MS = 500;
/** Maximum number of peers that are asked to probe a target. */
const MAX_PROBING_PEERS = 3;
/** Idle time after which an owner that is no longer the preferred one closes a connection, in milliseconds. */
const MAX_IDLE_CONNECTION_MS = 3000;
const IDLE_CHECK_INTERVAL_MS = 1000;
/** Idle timeout of transactions until the configuration has been received. */
const DEFAULT_IDLE_TRANSACTION_MS = 3000;
/** Connection limit of the targets of a database that the configuration does not name. */
const DEFAULT_CONNECTION_LIMIT = 8;

/** Configuration of a database that the operators' configuration does not name. */
const UNCONFIGURED = {coldStartMs: 0, coldPerSecond: 0};

/** Number of vms that may own a database at a time, as they see the fleet differently; each may send its part of what a cold target receives. */
const MAX_OWNERS = 2;

/** Computes the requests per second that one owner may send to a cold target; `undefined` if they are not limited. */
export const computeColdLimit = (
	{coldStartMs, coldPerSecond}: Pick<DatabaseConfiguration, 'coldStartMs' | 'coldPerSecond'>,
	{tolerance, slack}: ReturnType<VmContext['getColdBounds']>,
): number | undefined => coldStartMs > 0 && coldPerSecond > 0 ? ((coldPerSecond * tolerance) + slack) / MAX_OWNERS : undefined;

/** Creates the database owners of a vm. */
export const createDatabaseOwners = (context: VmContext, dependencies: DatabaseDependencies): DatabaseOwners => {
	const {runtime, settings, emit, metrics} = context;
	const {view} = dependencies;
	const owners = new Map<DatabaseId, DatabaseOwner>();

	/** Asks some randomly chosen peers to probe a target; resolves to whether any of them can reach it. */
	const probeFromPeers = async (target: TargetId): Promise<boolean> => {
		const usablePeers = view.listMembers().filter(({vm}) => vm !== settings.vm && dependencies.getPeerClient().isUsable(vm));
		const startIndex = Math.floor(runtime.random() * usablePeers.length);
		const probingPeers = [...usablePeers.slice(startIndex), ...usablePeers.slice(0, startIndex)].slice(0, MAX_PROBING_PEERS);
		const responses = await Promise.all(probingPeers.map(async member => dependencies.getPeerClient().call(member, PROBE_TARGET_METHOD, {target}, TARGET_PROBE_TIMEOUT_MS)));
		return responses.some(response => response.ok && response.val === true);
	};

	/** Routes what needs the leader to a target that was announced as promoted; without fencing the appointment decides instead. */
	const applyAnnouncedLeader = (database: DatabaseId, owner: DatabaseOwner) => {
		const announced = context.areTargetsSelfFencing ? view.getAnnouncedLeader(database) : undefined;
		if (announced) {
			owner.components.leaderTracker.markLeading(announced.id, runtime.now());
		}
	};

	const isReplicated = (database: DatabaseId): boolean => view.getConfiguration()?.databases.get(database)?.isReplicated ?? false;

	/** Creates an owner and starts its failover coordinator. */
	const createOwner = (database: DatabaseId): DatabaseOwner => {
		const owner = createDatabaseOwner({
			runtime,
			readSuspensionClock: context.readSuspensionClock,
			database,
			dial: context.dialTarget,
			readStatus: context.readStatus,
			isDataCentreReachable: dependencies.isDataCentreReachable,
			appointments: dependencies.appointments.get(database),
			getEvacuationDeadline: view.getEvacuationDeadline,
			getColdLimit: () => computeColdLimit(view.getConfiguration()?.databases.get(database) ?? UNCONFIGURED, context.getColdBounds()),
			getTargetsCompleteAt: view.getTargetsCompleteAt,
			getKnownGroup: () => context.areTargetsSelfFencing && isReplicated(database)
				? {appointments: dependencies.appointments.getRecorded(database), members: dependencies.getGroupRecord(database)?.members ?? []}
				: undefined,
			getConnectionLimit: () => view.getConfiguration()?.databases.get(database)?.connectionLimit ?? DEFAULT_CONNECTION_LIMIT,
			getAnyCustomer: () => [...view.getConfiguration()?.quotas.keys() ?? []].find(customer => context.checkName(customer).ok) ?? brandId<CustomerId>('-'),
			getIdleTransactionMs: () => view.getConfiguration()?.idleTransactionMs ?? DEFAULT_IDLE_TRANSACTION_MS,
			acquireToken: dependencies.quotas.acquireAtOwner,
			onDecision({
				kind, requestId, customer, target, reason, ageMs,
			}) {
				metrics.count(`home.${kind}`, {database});
				emit(EVENTS.ownerDecision, {
					kind, database, requestId, customer, target, reason, ageMs: Math.round(ageMs),
				});
			},
		});
		owner.setTargets(view.listTargets(database));
		applyAnnouncedLeader(database, owner);
		void runFailoverCoordinator({
			runtime,
			database,
			owner,
			isCoordinator: () => dependencies.getRoleClaims().isHeld(formatCoordinatorRole(database)),
			drawFencingToken: async appointed => dependencies.appointments.drawFencingToken(database, appointed),
			requestPromotion: async (target, fencingToken) => context.requestPromotion(target, settings.vm, fencingToken),
			isReachableFromPeers: probeFromPeers,
			isSynchronouslyReplicated: () => isReplicated(database),
			groupStore: createGroupStore(context, database, ({dataCentre}) => view.getEvacuationDeadline(dataCentre) !== NEVER),
			onEvent({kind, target, reason, ageMs}) {
				metrics.count(`steward.${kind}`, {database});
				if (kind === 'finished') {
					dependencies.onPromoted(database, brandId<TargetId>(target));
				}

				emit(EVENTS.coordinatorDecision, {
					kind, database, target, reason, ageMs: Math.round(ageMs),
				});
			},
		}, dependencies.getSignal());
		return owner;
	};

	const get = (database: DatabaseId): DatabaseOwner => {
		const existing = owners.get(database);
		if (existing) {
			return existing;
		}

		const created = createOwner(database);
		owners.set(database, created);
		return created;
	};

	return {
		get,
		refreshTargets() {
			for (const [database, owner] of owners) {
				owner.setTargets(view.listTargets(database));
			}
		},
		refreshAnnouncedLeader(database) {
			const owner = owners.get(database);
			if (owner) {
				applyAnnouncedLeader(database, owner);
			}
		},
		refreshLeaders() {
			for (const owner of owners.values()) {
				owner.refreshLeader();
			}
		},
		async isReachable(id) {
			const target = view.findTarget(id);
			return target !== undefined && isPingAnswered(await get(target.database).ping(id, createDeadline(runtime.now(), TARGET_PROBE_TIMEOUT_MS)));
		},
		countOpenTransactions: () => [...owners.values()].reduce((count, owner) => count + owner.components.transactions.getOpenCount(), 0),
		async closeIdleConnections(signal) {
			while (!signal.aborted) {
				await runtime.sleep(IDLE_CHECK_INTERVAL_MS, signal).catch(() => undefined);
				for (const [database, owner] of owners) {
					for (const {id} of owner.components.listTargets()) {
						metrics.gauge('home.window', owner.components.targetPaces.getWindow(id), {target: id});
					}

					const preferredVm: VmId | undefined = view.rankOwners(database)[0]?.vm;
					if (preferredVm !== settings.vm) {
						owner.closeIdleConnections(MAX_IDLE_CONNECTION_MS);
					}
				}
			}
		},
	};
};
