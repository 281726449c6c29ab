/** The targets that this process owns, with their connections, queues and grants. */

import process from 'node:process';
import {
	createScope, Err, brandId, type DatabaseId, type TargetId, type VmId, type Runtime,
} from '@guavapitch/core';
import {
	readPrimaryPositions, createControlConnection, openTargetConnection, type TargetConnectionSettings, type TargetConnection, type ControlConnection,
} from '@guavapitch/back-postgres';
import {
	createDurabilityWaiter, createGrantRegistry, type GrantRegistry, type GrantResponse, type GroupView,
} from '@guavapitch/failover';
import {
	createFairQueue, createPool, type FairQueue, type Pool,
} from '@guavapitch/pool';
import type {OwnedTarget} from '@guavapitch/requests';
import {chooseSlot, parseSlotRecord, ROLE_PREFIX} from '@guavapitch/roles';
import {EVENTS, type Emit, type Metrics} from '@guavapitch/telemetry';
import {
	type CallVm, type ClusterView, type ConfiguredTarget, OWNERS_PER_TARGET,
} from './cluster-view.js';

/** Targets that one process owns. */
export type OwnedTargets = AsyncDisposable & Readonly<{
	/** Grants that this process holds. */
	grantRegistry: GrantRegistry;
	/** Returns a target that this process owns, opening it if needed; `undefined` if this process does not own it. */
	get: (target: TargetId) => OwnedTarget<TargetConnection> | undefined;
	/** Waits until a write is durable, so that its response may be sent. */
	waitUntilDurable: ReturnType<typeof createDurabilityWaiter>;
	/** Requests and renews the grants of the databases of owned targets until the signal aborts. */
	runGrantRenewal: (signal: AbortSignal) => Promise<void>;
	/** Opens and closes targets as their ownership changes, until the signal aborts. */
	runOwnershipUpdates: (signal: AbortSignal) => Promise<void>;
	/** Returns queue lengths and numbers of connections, by target. */
	getState: () => ReadonlyArray<Readonly<{target: string; queued: number; busy: number; open: number; idle: number}>>;
}>;

/** Dependencies of the owned targets. */
export type OwnedTargetsContext = Readonly<{
	runtime: Runtime;
	vm: VmId;
	incarnation: string;
	clusterView: ClusterView;
	callVm: CallVm;
	emit: Emit;
	metrics: Metrics;
	/** Called with each group view that came with a grant. */
	onGroupView: (view: GroupView) => void;
}>;

type OpenTarget = Readonly<{configured: ConfiguredTarget; connectionSettings: TargetConnectionSettings; pool: Pool<TargetConnection>; queue: FairQueue; owned: OwnedTarget<TargetConnection>}>;

/** Number of connections of each target reserved for the control queries of the failover coordinator and the owners. */
const RESERVED_CONNECTIONS = 4;
/** Number of idle connections that the preferred owner of a target keeps ready. */
const MIN_IDLE_CONNECTIONS = 2;
const GRANT_RENEWAL_MS = 250;
const GRANT_RETRY_MS = 40;
const GRANT_TIMEOUT_MS = 300;
const OWNERSHIP_CHECK_MS = 250;

/** Creates the settings for connections to a target: its address, and the credentials of its database. */
export const createTargetConnectionSettings = (configured: ConfiguredTarget, applicationName: string): TargetConnectionSettings => {
	const [host, port] = configured.target.address.split(':');
	const {user, passwordVariable, databaseName} = configured.database;
	return {
		host: host ?? '', port: Number(port), user, password: passwordVariable ? process.env[passwordVariable] : undefined, databaseName, applicationName,
	};
};

/** Computes how many connections one owner may open. Two owners together stay within the limit of the target, even if they have different views of the cluster. */
export const computeOwnerConnectionLimit = (connections: number): number => Math.max(1, Math.floor((connections - RESERVED_CONNECTIONS) / OWNERS_PER_TARGET));

/** Creates the owned targets of a process; none is open at first. */
export const createOwnedTargets = (context: OwnedTargetsContext): OwnedTargets => {
	const {runtime, vm, clusterView, emit, metrics} = context;
	const grantRegistry = createGrantRegistry(runtime);
	const scope = createScope(() => undefined);
	const openTargets = new Map<TargetId, OpenTarget>();
	const controlConnections = new Map<TargetId, ControlConnection>();

	const isOwner = (target: TargetId) => clusterView.getOwners(target).includes(vm);

	const openTarget = (configured: ConfiguredTarget): OpenTarget => {
		const {target} = configured;
		const connectionSettings = createTargetConnectionSettings(configured, vm);
		const isPreferredOwner = clusterView.getOwners(brandId<TargetId>(target.name))[0] === vm;
		const pool: Pool<TargetConnection> = createPool({
			maxOpen: computeOwnerConnectionLimit(target.connections),
			minIdle: isPreferredOwner ? Math.min(MIN_IDLE_CONNECTIONS, target.slots) : 0,
			dial: async () => openTargetConnection(connectionSettings),
			onAvailable() {
				queue.admitWaiting();
			},
			onReachabilityChange(isReachable, message) {
				emit(isReachable ? EVENTS.targetReachable : EVENTS.connectionDialFailed, {target: target.name, reason: message});
			},
		}, runtime);
		const queue: FairQueue = createFairQueue(runtime, target.slots, pool.hasCapacity);
		emit(EVENTS.ownershipGained, {target: target.name});
		return {
			configured, connectionSettings, pool, queue, owned: {pool, queue, isLeaving: () => clusterView.findTarget(brandId<TargetId>(target.name))?.target.leaving ?? true},
		};
	};

	const getOpenTarget = (target: TargetId): OpenTarget | undefined => {
		const existing = openTargets.get(target);
		if (existing) {
			return existing;
		}

		const configured = clusterView.findTarget(target);
		if (!configured || !isOwner(target)) {
			return undefined;
		}

		const created = openTarget(configured);
		openTargets.set(target, created);
		return created;
	};

	const closeTarget = async (target: TargetId, opened: OpenTarget) => {
		openTargets.delete(target);
		emit(EVENTS.ownershipReleased, {target});
		await opened.pool[Symbol.asyncDispose]();
	};

	const getControlConnection = (configured: ConfiguredTarget): ControlConnection => {
		const id = brandId<TargetId>(configured.target.name);
		const existing = controlConnections.get(id);
		if (existing) {
			return existing;
		}

		const created = createControlConnection(createTargetConnectionSettings(configured, vm), runtime);
		controlConnections.set(id, created);
		return created;
	};

	const waitUntilDurable = createDurabilityWaiter(grantRegistry, async target => {
		const configured = clusterView.findTarget(target);
		return configured ? readPrimaryPositions(getControlConnection(configured)) : Err({code: 'unknownTarget', message: `The target ${target} is not in the inventory`});
	}, runtime);

	const hasSameConnectionSettings = (a: ConfiguredTarget, b: ConfiguredTarget): boolean => a.target.address === b.target.address && a.target.connections === b.target.connections;

	/** Closes targets that are no longer configured, and unused ones that this process no longer owns or whose connection settings have changed; opens those of which it is the preferred owner. */
	const updateOwnership = async () => {
		for (const [id, opened] of openTargets) {
			const configured = clusterView.findTarget(id);
			const isUnused = opened.queue.getBusyCount() === 0 && opened.queue.getWaitingCount() === 0 && opened.pool.getIdleCount() === opened.pool.getOpenCount();
			if (!configured || (isUnused && (!isOwner(id) || !hasSameConnectionSettings(configured, opened.configured)))) {
				scope.run(async () => closeTarget(id, opened));
			} else {
				opened.queue.setSlotCount(configured.target.slots);
			}

			metrics.gauge('home.queue', opened.queue.getWaitingCount(), {target: id});
			metrics.gauge('home.connections', opened.pool.getOpenCount(), {target: id});
		}

		for (const {target} of clusterView.listTargets()) {
			const id = brandId<TargetId>(target.name);
			if (clusterView.getOwners(id)[0] === vm && !target.leaving) {
				getOpenTarget(id);
			}
		}
	};

	const getCoordinator = (database: DatabaseId): VmId | undefined => {
		const slotCount = clusterView.activeConfiguration.getInventory()?.fleet.stewardSlots ?? 1;
		const entry = clusterView.storeCache.get(`${ROLE_PREFIX}${chooseSlot('steward', slotCount, database)}`);
		const record = entry ? parseSlotRecord(entry.value) : undefined;
		return record?.ok ? record.val.holder.vm : undefined;
	};

	const requestGrant = async (database: DatabaseId): Promise<boolean> => {
		const coordinator = getCoordinator(database);
		if (!coordinator) {
			return false;
		}

		const requestedAt = runtime.now();
		const response = await context.callVm<GrantResponse | null>(coordinator, 'grant', {database, holder: {vm, incarnation: context.incarnation}}, GRANT_TIMEOUT_MS);
		if (response.err || !response.val) {
			return false;
		}

		grantRegistry.accept(response.val, requestedAt);
		context.onGroupView(response.val.view);
		return response.val.permissions.writes;
	};

	const getOwnedDatabases = (): ReadonlySet<DatabaseId> => new Set(clusterView.listTargets()
		.filter(({target}) => isOwner(brandId<TargetId>(target.name)) || openTargets.has(brandId<TargetId>(target.name)))
		.map(({databaseName}) => brandId<DatabaseId>(databaseName)));

	/** Renews the grant of one database while this process owns one of its targets; requests it more often while writes are not permitted. */
	const renewGrant = async (database: DatabaseId, signal: AbortSignal) => {
		while (!signal.aborted && getOwnedDatabases().has(database)) {
			const isWritable = await requestGrant(database);
			// A jitter of ±25 % spreads the requests of all owners over time.
			await runtime.sleep((isWritable ? GRANT_RENEWAL_MS : GRANT_RETRY_MS) * (0.75 + (runtime.random() / 2)), signal);
		}
	};

	return {
		grantRegistry,
		waitUntilDurable,
		get: target => getOpenTarget(target)?.owned,
		async runGrantRenewal(signal) {
			const renewingDatabases = new Set<DatabaseId>();
			while (!signal.aborted) {
				for (const database of getOwnedDatabases()) {
					if (!renewingDatabases.has(database)) {
						renewingDatabases.add(database);
						scope.run(async () => {
							try {
								await renewGrant(database, signal);
							} finally {
								renewingDatabases.delete(database);
							}
						});
					}
				}

				await runtime.sleep(OWNERSHIP_CHECK_MS, signal);
			}
		},
		async runOwnershipUpdates(signal) {
			while (!signal.aborted) {
				await updateOwnership();
				await runtime.sleep(OWNERSHIP_CHECK_MS, signal);
			}
		},
		getState: () => [...openTargets].map(([target, opened]) => ({
			target, queued: opened.queue.getWaitingCount(), busy: opened.queue.getBusyCount(), open: opened.pool.getOpenCount(), idle: opened.pool.getIdleCount(),
		})),
		async [Symbol.asyncDispose]() {
			await scope[Symbol.asyncDispose]();
			await Promise.all([...openTargets.values()].map(async opened => opened.pool[Symbol.asyncDispose]()));
			await Promise.all([...controlConnections.values()].map(async connection => connection[Symbol.asyncDispose]()));
		},
	};
};
