/** The targets of which this process is home: their connections, queues and grants. */

import process from 'node:process';
import {
	createScope, Err, parseId, type DatabaseId, type TargetId, type VmId, type World,
} from '@guavapitch/core';
import {
	readPrimaryPositions, createControlConnection, openTargetConnection, type TargetAddress, type TargetConnection, type ControlConnection,
} from '@guavapitch/back-postgres';
import {
	createDurabilityWaiter, createGrantRegistry, type GrantRegistry, type GrantReply, type GroupView,
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

/** Homes of one process. */
export type OwnedTargets = AsyncDisposable & Readonly<{
	grantRegistry: GrantRegistry;
	/** Gets a target of which this process is home, opening it if needed. */
	get: (target: TargetId) => OwnedTarget<TargetConnection> | undefined;
	waitUntilDurable: ReturnType<typeof createDurabilityWaiter>;
	/** Asks for grants until the signal aborts. */
	runGrantRenewal: (signal: AbortSignal) => Promise<void>;
	/** Opens and closes targets as homes move, until the signal aborts. */
	runOwnershipUpdates: (signal: AbortSignal) => Promise<void>;
	/** Gets queue lengths and connections, by target. */
	getState: () => ReadonlyArray<Readonly<{target: string; queued: number; busy: number; open: number; idle: number}>>;
}>;

/** What the homes need. */
export type OwnedTargetsContext = Readonly<{
	world: World;
	vm: VmId;
	incarnation: string;
	clusterView: ClusterView;
	callVm: CallVm;
	emit: Emit;
	metrics: Metrics;
	/** Hears of views that came with grants. */
	onGroupView: (view: GroupView) => void;
}>;

type OpenTarget = Readonly<{known: ConfiguredTarget; address: TargetAddress; pool: Pool<TargetConnection>; queue: FairQueue; home: OwnedTarget<TargetConnection>}>;

/** Connections of a target kept back for the steward's and the homes' own questions. */
const RESERVED_CONNECTIONS = 4;
const SPARE_CONNECTIONS = 2;
const GRANT_PERIOD_MS = 250;
const GRANT_RETRY_MS = 40;
const GRANT_TIMEOUT_MS = 300;
const MOVE_PERIOD_MS = 250;

/** Creates the address of a target. */
export const createTargetAddress = (known: ConfiguredTarget, applicationName: string): TargetAddress => {
	const [host, port] = known.target.address.split(':');
	const {user, passwordVariable, databaseName} = known.database;
	return {
		host: host ?? '', port: Number(port), user, password: passwordVariable ? process.env[passwordVariable] : undefined, databaseName, applicationName,
	};
};

/** Computes the connections one home may open: two homes with different views together stay within the limit. */
export const computeOwnerConnectionLimit = (connections: number): number => Math.max(1, Math.floor((connections - RESERVED_CONNECTIONS) / OWNERS_PER_TARGET));

/** Creates the homes of a process. */
export const createOwnedTargets = (context: OwnedTargetsContext): OwnedTargets => {
	const {world, vm, clusterView: fleet, emit, metrics} = context;
	const book = createGrantRegistry(world);
	const scope = createScope(() => undefined);
	const open = new Map<TargetId, OpenTarget>();
	const questions = new Map<TargetId, ControlConnection>();

	const isHome = (target: TargetId) => fleet.getOwners(target).includes(vm);

	const openTarget = (known: ConfiguredTarget): OpenTarget => {
		const {target} = known;
		const address = createTargetAddress(known, vm);
		const isFirst = fleet.getOwners(parseId<TargetId>(target.name))[0] === vm;
		const pool: Pool<TargetConnection> = createPool({
			maxOpen: computeOwnerConnectionLimit(target.connections),
			minIdle: isFirst ? Math.min(SPARE_CONNECTIONS, target.slots) : 0,
			dial: async () => openTargetConnection(address),
			onAvailable() {
				queue.admitWaiting();
			},
			onReachabilityChange(reachable, message) {
				emit(reachable ? EVENTS.targetReachable : EVENTS.connectionDialFailed, {target: target.name, reason: message});
			},
		}, world);
		const queue: FairQueue = createFairQueue(world, target.slots, pool.hasCapacity);
		emit(EVENTS.ownershipGained, {target: target.name});
		return {
			known, address, pool, queue, home: {pool, queue, isLeaving: () => fleet.findTarget(parseId<TargetId>(target.name))?.target.leaving ?? true},
		};
	};

	const getOpen = (target: TargetId): OpenTarget | undefined => {
		const existing = open.get(target);
		if (existing) {
			return existing;
		}

		const known = fleet.findTarget(target);
		if (!known || !isHome(target)) {
			return undefined;
		}

		const created = openTarget(known);
		open.set(target, created);
		return created;
	};

	const closeTarget = async (target: TargetId, one: OpenTarget) => {
		open.delete(target);
		emit(EVENTS.ownershipReleased, {target});
		await one.pool[Symbol.asyncDispose]();
	};

	const getQuestions = (known: ConfiguredTarget): ControlConnection => {
		const id = parseId<TargetId>(known.target.name);
		const existing = questions.get(id);
		if (existing) {
			return existing;
		}

		const created = createControlConnection(createTargetAddress(known, vm), world);
		questions.set(id, created);
		return created;
	};

	const waitUntilDurable = createDurabilityWaiter(book, async target => {
		const known = fleet.findTarget(target);
		return known ? readPrimaryPositions(getQuestions(known)) : Err({code: 'unknownTarget', message: `The target ${target} is not in the inventory`});
	}, world);

	const isSame = (a: ConfiguredTarget, b: ConfiguredTarget): boolean => a.target.address === b.target.address && a.target.connections === b.target.connections;

	const moveOnce = async () => {
		for (const [id, one] of open) {
			const known = fleet.findTarget(id);
			const isIdle = one.queue.getBusyCount() === 0 && one.queue.getLength() === 0 && one.pool.getIdleCount() === one.pool.getOpenCount();
			if (!known || (isIdle && (!isHome(id) || !isSame(known, one.known)))) {
				scope.run(async () => closeTarget(id, one));
			} else {
				one.queue.setSlots(known.target.slots);
			}

			metrics.gauge('home.queue', one.queue.getLength(), {target: id});
			metrics.gauge('home.connections', one.pool.getOpenCount(), {target: id});
		}

		for (const {target} of fleet.listTargets()) {
			const id = parseId<TargetId>(target.name);
			if (fleet.getOwners(id)[0] === vm && !target.leaving) {
				getOpen(id);
			}
		}
	};

	const getSteward = (database: DatabaseId): VmId | undefined => {
		const slots = fleet.inForce.getInventory()?.fleet.stewardSlots ?? 1;
		const entry = fleet.storeCache.get(`${ROLE_PREFIX}${chooseSlot('steward', slots, database)}`);
		const record = entry ? parseSlotRecord(entry.value) : undefined;
		return record?.ok ? record.val.holder.vm : undefined;
	};

	const askGrant = async (database: DatabaseId): Promise<boolean> => {
		const steward = getSteward(database);
		if (!steward) {
			return false;
		}

		const askedAt = world.now();
		const reply = await context.callVm<GrantReply | null>(steward, 'grant', {database, holder: {vm, incarnation: context.incarnation}}, GRANT_TIMEOUT_MS);
		if (reply.err || !reply.val) {
			return false;
		}

		book.accept(reply.val, askedAt);
		context.onGroupView(reply.val.view);
		return reply.val.permissions.writes;
	};

	const getHomeDatabases = (): ReadonlySet<DatabaseId> => new Set(fleet.listTargets()
		.filter(({target}) => isHome(parseId<TargetId>(target.name)) || open.has(parseId<TargetId>(target.name)))
		.map(({databaseName}) => parseId<DatabaseId>(databaseName)));

	/** Keeps the grant of one database fresh; asks more often while writes are not allowed. */
	const runGrant = async (database: DatabaseId, signal: AbortSignal) => {
		while (!signal.aborted && getHomeDatabases().has(database)) {
			const isWritable = await askGrant(database);
			await world.sleep((isWritable ? GRANT_PERIOD_MS : GRANT_RETRY_MS) * (0.75 + (world.random() / 2)), signal);
		}
	};

	return {
		grantRegistry: book,
		waitUntilDurable,
		get: target => getOpen(target)?.home,
		async runGrantRenewal(signal) {
			const running = new Set<DatabaseId>();
			while (!signal.aborted) {
				for (const database of getHomeDatabases()) {
					if (!running.has(database)) {
						running.add(database);
						scope.run(async () => {
							try {
								await runGrant(database, signal);
							} finally {
								running.delete(database);
							}
						});
					}
				}

				await world.sleep(MOVE_PERIOD_MS, signal);
			}
		},
		async runOwnershipUpdates(signal) {
			while (!signal.aborted) {
				await moveOnce();
				await world.sleep(MOVE_PERIOD_MS, signal);
			}
		},
		getState: () => [...open].map(([target, one]) => ({
			target, queued: one.queue.getLength(), busy: one.queue.getBusyCount(), open: one.pool.getOpenCount(), idle: one.pool.getIdleCount(),
		})),
		async [Symbol.asyncDispose]() {
			await scope[Symbol.asyncDispose]();
			await Promise.all([...open.values()].map(async one => one.pool[Symbol.asyncDispose]()));
			await Promise.all([...questions.values()].map(async one => one[Symbol.asyncDispose]()));
		},
	};
};
