/** The instances of which this process is home: their connections, queues and grants. */

import process from 'node:process';
import {
	createScope, Err, parseId, type DatabaseId, type InstanceId, type VmId, type World,
} from '@guavapitch/core';
import {
	askPositions, createQuestions, openInstanceConnection, type HomeInstance, type InstanceAddress, type InstanceConnection, type Questions,
} from '@guavapitch/back-postgres';
import {
	createDurability, createGrantBook, type GrantBook, type GrantReply, type GroupView,
} from '@guavapitch/failover';
import {
	createFairQueue, createPool, type FairQueue, type Pool,
} from '@guavapitch/pool';
import {chooseSlot, parseSlotRecord, ROLE_PREFIX} from '@guavapitch/roles';
import {EVENTS, type Emit, type Metrics} from '@guavapitch/telemetry';
import {
	type CallVm, type Fleet, type KnownInstance, HOMES,
} from './fleet.js';

/** Homes of one process. */
export type Homes = AsyncDisposable & Readonly<{
	book: GrantBook;
	/** Gets an instance of which this process is home, opening it if needed. */
	get: (instance: InstanceId) => HomeInstance | undefined;
	waitUntilDurable: ReturnType<typeof createDurability>;
	/** Asks for grants until the signal aborts. */
	runGrants: (signal: AbortSignal) => Promise<void>;
	/** Opens and closes instances as homes move, until the signal aborts. */
	runMoves: (signal: AbortSignal) => Promise<void>;
	/** Gets queue lengths and connections, by instance. */
	getState: () => ReadonlyArray<Readonly<{instance: string; queued: number; busy: number; open: number; idle: number}>>;
}>;

/** What the homes need. */
export type HomesContext = Readonly<{
	world: World;
	vm: VmId;
	incarnation: string;
	fleet: Fleet;
	callVm: CallVm;
	emit: Emit;
	metrics: Metrics;
	/** Hears of views that came with grants. */
	onView: (view: GroupView) => void;
}>;

type OpenInstance = Readonly<{known: KnownInstance; address: InstanceAddress; pool: Pool<InstanceConnection>; queue: FairQueue; home: HomeInstance}>;

/** Connections of an instance kept back for the steward's and the homes' own questions. */
const RESERVED_CONNECTIONS = 4;
const SPARE_CONNECTIONS = 2;
const GRANT_PERIOD_MS = 250;
const GRANT_RETRY_MS = 40;
const GRANT_TIMEOUT_MS = 300;
const MOVE_PERIOD_MS = 250;

/** Creates the address of an instance. */
export const createInstanceAddress = (known: KnownInstance, applicationName: string): InstanceAddress => {
	const [host, port] = known.instance.address.split(':');
	const {user, passwordVariable, databaseName} = known.database;
	return {
		host: host ?? '', port: Number(port), user, password: passwordVariable ? process.env[passwordVariable] : undefined, databaseName, applicationName,
	};
};

/** Computes the connections one home may open: two homes with different views together stay within the limit. */
export const computeHomeLimit = (connections: number): number => Math.max(1, Math.floor((connections - RESERVED_CONNECTIONS) / HOMES));

/** Creates the homes of a process. */
export const createHomes = (context: HomesContext): Homes => {
	const {world, vm, fleet, emit, metrics} = context;
	const book = createGrantBook(world);
	const scope = createScope(() => undefined);
	const open = new Map<InstanceId, OpenInstance>();
	const questions = new Map<InstanceId, Questions>();

	const isHome = (instance: InstanceId) => fleet.getHomes(instance).includes(vm);

	const openInstance = (known: KnownInstance): OpenInstance => {
		const {instance} = known;
		const address = createInstanceAddress(known, vm);
		const isFirst = fleet.getHomes(parseId<InstanceId>(instance.name))[0] === vm;
		const pool: Pool<InstanceConnection> = createPool({
			limit: computeHomeLimit(instance.connections),
			spare: isFirst ? Math.min(SPARE_CONNECTIONS, instance.slots) : 0,
			dial: async () => openInstanceConnection(address),
			onFree() {
				queue.wake();
			},
			onReachable(reachable, message) {
				emit(reachable ? EVENTS.instanceReachable : EVENTS.connectionDialFailed, {instance: instance.name, reason: message});
			},
		}, world);
		const queue: FairQueue = createFairQueue(world, instance.slots, pool.hasCapacity);
		emit(EVENTS.homeGained, {instance: instance.name});
		return {
			known, address, pool, queue, home: {pool, queue, isLeaving: () => fleet.findInstance(parseId<InstanceId>(instance.name))?.instance.leaving ?? true},
		};
	};

	const getOpen = (instance: InstanceId): OpenInstance | undefined => {
		const existing = open.get(instance);
		if (existing) {
			return existing;
		}

		const known = fleet.findInstance(instance);
		if (!known || !isHome(instance)) {
			return undefined;
		}

		const created = openInstance(known);
		open.set(instance, created);
		return created;
	};

	const closeInstance = async (instance: InstanceId, one: OpenInstance) => {
		open.delete(instance);
		emit(EVENTS.homeLost, {instance});
		await one.pool[Symbol.asyncDispose]();
	};

	const getQuestions = (known: KnownInstance): Questions => {
		const id = parseId<InstanceId>(known.instance.name);
		const existing = questions.get(id);
		if (existing) {
			return existing;
		}

		const created = createQuestions(createInstanceAddress(known, vm), world);
		questions.set(id, created);
		return created;
	};

	const waitUntilDurable = createDurability(book, async instance => {
		const known = fleet.findInstance(instance);
		return known ? askPositions(getQuestions(known)) : Err({code: 'unknownInstance', message: `The instance ${instance} is not in the inventory`});
	}, world);

	const isSame = (a: KnownInstance, b: KnownInstance): boolean => a.instance.address === b.instance.address && a.instance.connections === b.instance.connections;

	const moveOnce = async () => {
		for (const [id, one] of open) {
			const known = fleet.findInstance(id);
			const isIdle = one.queue.getBusy() === 0 && one.queue.getLength() === 0 && one.pool.getIdle() === one.pool.getOpen();
			if (!known || (isIdle && (!isHome(id) || !isSame(known, one.known)))) {
				scope.run(async () => closeInstance(id, one));
			} else {
				one.queue.setSlots(known.instance.slots);
			}

			metrics.gauge('home.queue', one.queue.getLength(), {instance: id});
			metrics.gauge('home.connections', one.pool.getOpen(), {instance: id});
		}

		for (const {instance} of fleet.listInstances()) {
			const id = parseId<InstanceId>(instance.name);
			if (fleet.getHomes(id)[0] === vm && !instance.leaving) {
				getOpen(id);
			}
		}
	};

	const getSteward = (database: DatabaseId): VmId | undefined => {
		const slots = fleet.inForce.getInventory()?.fleet.stewardSlots ?? 1;
		const entry = fleet.facts.get(`${ROLE_PREFIX}${chooseSlot('steward', slots, database)}`);
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
		context.onView(reply.val.view);
		return reply.val.permissions.writes;
	};

	const getHomeDatabases = (): ReadonlySet<DatabaseId> => new Set(fleet.listInstances()
		.filter(({instance}) => isHome(parseId<InstanceId>(instance.name)) || open.has(parseId<InstanceId>(instance.name)))
		.map(({databaseName}) => parseId<DatabaseId>(databaseName)));

	/** Keeps the grant of one database fresh; asks more often while writes are not allowed. */
	const runGrant = async (database: DatabaseId, signal: AbortSignal) => {
		while (!signal.aborted && getHomeDatabases().has(database)) {
			const isWritable = await askGrant(database);
			await world.sleep((isWritable ? GRANT_PERIOD_MS : GRANT_RETRY_MS) * (0.75 + (world.random() / 2)), signal);
		}
	};

	return {
		book,
		waitUntilDurable,
		get: instance => getOpen(instance)?.home,
		async runGrants(signal) {
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
		async runMoves(signal) {
			while (!signal.aborted) {
				await moveOnce();
				await world.sleep(MOVE_PERIOD_MS, signal);
			}
		},
		getState: () => [...open].map(([instance, one]) => ({
			instance, queued: one.queue.getLength(), busy: one.queue.getBusy(), open: one.pool.getOpen(), idle: one.pool.getIdle(),
		})),
		async [Symbol.asyncDispose]() {
			await scope[Symbol.asyncDispose]();
			await Promise.all([...open.values()].map(async one => one.pool[Symbol.asyncDispose]()));
			await Promise.all([...questions.values()].map(async one => one[Symbol.asyncDispose]()));
		},
	};
};
