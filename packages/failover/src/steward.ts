/** The steward of one database: the only task in the fleet that may change its record. */

import {
	createDeadline, isPast, type DatabaseId, type Deadline, type Failure, type InstanceId, type Instant, type Result, type World,
} from '@guavapitch/core';
import type {Store} from '@guavapitch/platform';
import {createGranter, type Holder, type Permissions} from './granter.js';
import type {GrantReply} from './grants.js';
import {createHealth, type Health, type Probe} from './health.js';
import {
	createRecord, formatGroupKey, formatRecord, getAwaited, parseRecord, promoteRecord, type GroupRecord, type GroupView,
} from './record.js';

/** Settings of a database that a steward needs. */
export type StewardedDatabase = Readonly<{
	database: DatabaseId;
	instances: readonly InstanceId[];
	leaving: readonly InstanceId[];
	minimumSynced: number;
}>;

/** Commands to instances. */
export type InstanceCommands = Readonly<{
	probe: Probe;
	/** Makes a replica the primary. */
	promote: (instance: InstanceId) => Promise<Result<unknown, Failure>>;
	/** Makes a replica follow a primary; with no primary it follows nobody. */
	follow: (instance: InstanceId, primary: InstanceId | undefined) => Promise<Result<unknown, Failure>>;
	/** Makes an instance with a history of its own a replica of the primary. */
	rejoin: (instance: InstanceId, primary: InstanceId) => Promise<Result<unknown, Failure>>;
}>;

/** Steps of a failover, for the time line. */
export type StewardEvent
	= | Readonly<{kind: 'started'; primary: InstanceId; term: number}>
		| Readonly<{kind: 'grantsEnded'; term: number}>
		| Readonly<{kind: 'recordChanged'; record: GroupRecord; revision: number}>
		| Readonly<{kind: 'promoted'; primary: InstanceId; term: number}>
		| Readonly<{kind: 'finished'; primary: InstanceId; term: number}>
		| Readonly<{kind: 'blocked'; reason: string}>
		| Readonly<{kind: 'rejoined'; instance: InstanceId; primary: InstanceId}>
		| Readonly<{kind: 'instance'; instance: InstanceId; reachable: boolean}>;

/** What a steward needs. */
export type StewardContext = Readonly<{
	world: World;
	store: Store;
	getDatabase: () => StewardedDatabase | undefined;
	commands: InstanceCommands;
	/** Gets the deadline of the authority over the database. */
	getAuthority: () => Deadline;
	/** Asks a holder to give up permissions. */
	revoke: (holder: Holder, database: DatabaseId, permissions: Permissions) => Promise<Result<unknown, Failure>>;
	/** Tells everybody of a record. */
	publish: (view: GroupView) => void;
	onEvent: (event: StewardEvent) => void;
}>;

/** Steward of one database. */
export type Steward = Readonly<{
	/** Answers a holder's request for a grant. */
	grant: (holder: Holder) => GrantReply | undefined;
	/** Works until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
}>;

const PROBE_PERIOD_MS = 100;
const STORE_RETRY_MS = 50;
const COMMAND_RETRY_MS = 50;
const COMMAND_TRIES = 20;
/** Time for which a synced replica may hold up acknowledgements. */
const LAG_LIMIT_MS = 1000;
const JOIN_TIMEOUT_MS = 3000;
const REPAIR_MS = 1000;

/** Creates the steward of a database. */
export const createSteward = (context: StewardContext, database: DatabaseId): Steward => {
	const {world, store, commands, onEvent} = context;
	const granter = createGranter(world);
	const health: Health = createHealth(commands.probe, world, (instance, reachable) => {
		onEvent({kind: 'instance', instance, reachable});
	});
	let view: GroupView | undefined;
	let permissions: Permissions = {writes: false, reads: false};
	let blocked = '';
	let repairAt = createDeadline(world.now(), 0);
	let joinAt = createDeadline(world.now(), 0);

	const hasAuthority = () => !isPast(context.getAuthority(), world.now());

	const getAges = (): Readonly<Record<string, number>> => {
		const instances = context.getDatabase()?.instances ?? [];
		const ages = instances.map(instance => [instance, health.getAgeMs(instance)] as const);
		return Object.fromEntries(ages.filter((pair): pair is readonly [InstanceId, number] => pair[1] !== undefined));
	};

	const block = (reason: string) => {
		if (blocked !== reason) {
			blocked = reason;
			onEvent({kind: 'blocked', reason});
		}
	};

	const adopt = (next: GroupView) => {
		view = next;
		blocked = '';
		context.publish(next);
		onEvent({kind: 'recordChanged', record: next.record, revision: next.revision});
	};

	/** Reads the record until the store answers; `undefined` if the authority ends first. */
	const readRecord = async (signal: AbortSignal): Promise<GroupView | 'none' | undefined> => {
		while (hasAuthority() && !signal.aborted) {
			const entry = await store.read(formatGroupKey(database));
			if (entry.ok) {
				const record = entry.val ? parseRecord(entry.val.value) : undefined;
				return entry.val && record?.ok ? {record: record.val, revision: entry.val.revision} : 'none';
			}

			await world.sleep(STORE_RETRY_MS, signal);
		}

		return undefined;
	};

	/** Writes a record by compare-and-swap; a lost answer is resolved by reading back. */
	const writeRecord = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		const text = formatRecord(record);
		while (hasAuthority() && !signal.aborted) {
			const written = await store.swap(formatGroupKey(database), view?.revision ?? 0, text);
			if (written.ok) {
				const {swapped, current} = written.val;
				if (current && (swapped || current.value === text)) {
					adopt({record, revision: current.revision});
					return true;
				}

				const standing = current ? parseRecord(current.value) : undefined;
				if (current && standing?.ok) {
					adopt({record: standing.val, revision: current.revision});
				}

				return false;
			}

			await world.sleep(STORE_RETRY_MS, signal);
		}

		return false;
	};

	const tryCommand = async (run: () => Promise<Result<unknown, Failure>>, signal: AbortSignal): Promise<boolean> => {
		for (let count = 0; count < COMMAND_TRIES && hasAuthority() && !signal.aborted; count++) {
			const done = await run();
			if (done.ok) {
				return true;
			}

			await world.sleep(COMMAND_RETRY_MS, signal);
		}

		return false;
	};

	const endGrants = async (ended: Permissions, signal: AbortSignal) => {
		permissions = {writes: permissions.writes && !ended.writes, reads: permissions.reads && !ended.reads};
		await granter.endAll(ended, async holder => context.revoke(holder, database, ended), signal);
	};

	const bootstrap = async (instances: readonly InstanceId[], signal: AbortSignal) => {
		const leaders = instances
			.filter(instance => health.isReachable(instance) && health.get(instance).report?.isReplica === false)
			.toSorted((a, b) => (health.get(b).report?.timeline ?? 0) - (health.get(a).report?.timeline ?? 0));
		const [primary] = leaders;
		if (primary) {
			await writeRecord(createRecord(database, primary, health.get(primary).report?.position ?? 0), signal);
		} else {
			block('no instance leads');
		}
	};

	const getPosition = (instance: InstanceId): number => health.get(instance).report?.position ?? -1;

	/** Keeps replicas of the synced set from receiving more of the old primary, then chooses the one that has most. */
	const chooseSuccessor = async (record: GroupRecord): Promise<InstanceId | undefined> => {
		const reachable = record.synced.filter(instance => health.isReachable(instance));
		await Promise.all(reachable.map(async instance => commands.follow(instance, undefined)));
		await health.probeAll(reachable);
		return reachable
			.filter(instance => health.isReachable(instance))
			.toSorted((a, b) => getPosition(b) - getPosition(a))[0];
	};

	/** Makes the primary of the record lead, and the others follow it. */
	const completePromotion = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		const promoted = await tryCommand(async () => commands.promote(record.primary), signal);
		if (!promoted) {
			return false;
		}

		onEvent({kind: 'promoted', primary: record.primary, term: record.term});
		await Promise.all(getAwaited(record).map(async instance => commands.follow(instance, record.primary)));
		return true;
	};

	const failOver = async (record: GroupRecord, signal: AbortSignal) => {
		if (!record.synced.some(instance => health.isReachable(instance))) {
			block('no replica of the synced set can be reached');
			return;
		}

		onEvent({kind: 'started', primary: record.primary, term: record.term});
		await endGrants({writes: true, reads: false}, signal);
		onEvent({kind: 'grantsEnded', term: record.term});
		const successor = await chooseSuccessor(record);
		if (!successor || !hasAuthority()) {
			block('no replica of the synced set can be reached');
			return;
		}

		const lost = record.synced.filter(instance => !health.isReachable(instance));
		if (lost.length > 0) {
			await endGrants({writes: true, reads: true}, signal);
		}

		const kept = {...record, synced: record.synced.filter(instance => !lost.includes(instance))};
		if (!await writeRecord(promoteRecord(kept, successor, getPosition(successor)), signal) || !view) {
			return;
		}

		permissions = {writes: false, reads: true};
		if (await completePromotion(view.record, signal)) {
			permissions = {writes: true, reads: true};
			onEvent({kind: 'finished', primary: successor, term: view.record.term});
		}
	};

	/** Tells whether the primary lacks what its own term began with, as after a restart without its data. */
	const hasLostData = (record: GroupRecord): boolean => {
		const {report} = health.get(record.primary);
		const start = record.starts.at(-1)?.position ?? 0;
		return health.isReachable(record.primary) && report !== undefined && report.position < start;
	};

	const isLagging = (instance: InstanceId, primary: InstanceId): boolean => {
		if (health.hasFailed(instance)) {
			return true;
		}

		const age = health.getAgeMs(instance);
		return health.isReachable(primary) && (age === undefined || age > LAG_LIMIT_MS);
	};

	/** Takes replicas out of the set that hold up acknowledgements, after their read grants have ended. */
	const dropLaggards = async (record: GroupRecord, settings: StewardedDatabase, signal: AbortSignal): Promise<boolean> => {
		const joining = record.joining.filter(instance => !isLagging(instance, record.primary));
		const lagging = record.synced.filter(instance => isLagging(instance, record.primary) || settings.leaving.includes(instance));
		const spare = Math.max(0, record.synced.length - settings.minimumSynced);
		const dropped = lagging.slice(0, spare);
		if (dropped.length === 0 && joining.length === record.joining.length) {
			return false;
		}

		if (dropped.length > 0) {
			await endGrants({writes: true, reads: true}, signal);
		}

		await writeRecord({...record, joining, synced: record.synced.filter(instance => !dropped.includes(instance))}, signal);
		permissions = {writes: true, reads: true};
		return true;
	};

	/** Starts to wait for a caught-up replica; it counts as synced once it holds all that was acknowledged without it. */
	const startJoin = async (record: GroupRecord, settings: StewardedDatabase, signal: AbortSignal): Promise<boolean> => {
		const candidates = settings.instances.filter(instance => instance !== record.primary
			&& !getAwaited(record).includes(instance)
			&& !settings.leaving.includes(instance)
			&& health.isReachable(instance)
			&& health.get(record.primary).report?.replayed.has(instance)
			&& !isLagging(instance, record.primary));
		if (candidates.length === 0 || !isPast(joinAt, world.now())) {
			return false;
		}

		joinAt = createDeadline(world.now(), REPAIR_MS);
		return writeRecord({...record, joining: [...record.joining, ...candidates]}, signal);
	};

	const finishJoin = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		if (record.joining.length === 0 || !view) {
			return false;
		}

		const deadline = createDeadline(world.now(), JOIN_TIMEOUT_MS);
		if (!await granter.waitForRevision(view.revision, deadline, signal)) {
			return false;
		}

		await health.probeAll([record.primary]);
		const needed = getPosition(record.primary);
		if (!health.isReachable(record.primary)) {
			return false;
		}

		while (!isPast(deadline, world.now()) && !signal.aborted) {
			await health.probeAll(record.joining);
			const joined = record.joining.filter(instance => health.isReachable(instance) && health.get(instance).report?.isReplica && getPosition(instance) >= needed);
			if (joined.length === record.joining.length) {
				return writeRecord({...record, joining: [], synced: [...record.synced, ...joined]}, signal);
			}

			await world.sleep(PROBE_PERIOD_MS / 4, signal);
		}

		return false;
	};

	/** Makes instances that lead or follow wrongly follow the primary. */
	const repair = async (record: GroupRecord, settings: StewardedDatabase) => {
		if (!isPast(repairAt, world.now()) || !hasAuthority()) {
			return;
		}

		repairAt = createDeadline(world.now(), REPAIR_MS);
		const following = health.get(record.primary).report?.replayed ?? new Map<string, number>();
		const strays = settings.instances.filter(instance => instance !== record.primary && health.isReachable(instance) && !following.has(instance));
		await Promise.all(strays.map(async instance => {
			const leads = health.get(instance).report?.isReplica === false;
			const isBehind = (health.get(instance).report?.timeline ?? 0) < (health.get(record.primary).report?.timeline ?? 0);
			if (leads || (isBehind && getPosition(instance) > (record.starts.at(-1)?.position ?? 0))) {
				await commands.rejoin(instance, record.primary);
				onEvent({kind: 'rejoined', instance, primary: record.primary});
			} else {
				await commands.follow(instance, record.primary);
			}
		}));
	};

	const improve = async (record: GroupRecord, settings: StewardedDatabase, signal: AbortSignal) => {
		const {report} = health.get(record.primary);
		if (report?.isReplica) {
			permissions = {writes: false, reads: true};
			await completePromotion(record, signal);
			return;
		}

		if (!permissions.writes) {
			permissions = {writes: true, reads: true};
		}

		const isChanged = await dropLaggards(record, settings, signal) || await finishJoin(record, signal) || await startJoin(record, settings, signal);
		if (!isChanged) {
			await repair(record, settings);
		}
	};

	const workOnce = async (settings: StewardedDatabase, signal: AbortSignal) => {
		const probedAt: Instant = world.now();
		await health.probeAll(settings.instances);
		if (!view) {
			await bootstrap(settings.instances, signal);
			return;
		}

		const {record} = view;
		const {report} = health.get(record.primary);
		if (health.isReachable(record.primary) && report && !report.isReplica) {
			health.notePosition(report.position, probedAt);
		}

		const isLeaving = settings.leaving.includes(record.primary) && record.synced.some(instance => health.isReachable(instance) && !settings.leaving.includes(instance));
		if (health.hasFailed(record.primary) || isLeaving || hasLostData(record)) {
			await failOver(record, signal);
		} else if (health.isReachable(record.primary)) {
			await improve(record, settings, signal);
		}
	};

	return {
		grant(holder) {
			if (!view || !hasAuthority()) {
				return undefined;
			}

			return granter.grant(holder, {
				view, permissions, agesMs: getAges(), authority: context.getAuthority(),
			});
		},
		async run(signal) {
			const first = await readRecord(signal);
			if (first !== undefined && first !== 'none') {
				view = first;
				context.publish(first);
				permissions = {writes: false, reads: true};
			}

			while (hasAuthority() && !signal.aborted) {
				const settings = context.getDatabase();
				if (settings) {
					await workOnce(settings, signal);
				}

				await world.sleep(PROBE_PERIOD_MS, signal);
			}

			permissions = {writes: false, reads: false};
		},
	};
};
