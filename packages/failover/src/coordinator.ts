/** The steward of one database: the only task in the fleet that may change its record. */

import {
	createDeadline, isPast, type DatabaseId, type Deadline, type Failure, type TargetId, type Instant, type Result, type World,
} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import {
	ALL_PERMISSIONS, createGrantIssuer, NO_PERMISSIONS, PRIMARY_PERMISSIONS, READ_PERMISSION, WRITE_PERMISSION, type Holder, type Permissions,
} from './grant-issuer.js';
import type {GrantReply} from './grant-registry.js';
import {createHealthMonitor, type HealthMonitor, type ProbeTarget} from './health-monitor.js';
import {createSyncedSet, type FailoverSettings} from './synced-set.js';
import {
	createGroupRecord, formatGroupKey, formatGroupRecord, getAwaitedReplicas, parseGroupRecord, promoteRecord, type GroupRecord, type GroupView,
} from './group-record.js';

/** Commands to targets. */
export type TargetCommands = Readonly<{
	probe: ProbeTarget;
	/** Makes a replica the primary. */
	promote: (target: TargetId) => Promise<Result<unknown, Failure>>;
	/** Makes a replica follow a primary; with no primary it follows nobody. */
	follow: (target: TargetId, primary: TargetId | undefined) => Promise<Result<unknown, Failure>>;
	/** Makes a target with a history of its own a replica of the primary. */
	rejoin: (target: TargetId, primary: TargetId) => Promise<Result<unknown, Failure>>;
}>;

/** Steps of a failover, for the time line. */
export type FailoverEvent
	= | Readonly<{kind: 'started'; primary: TargetId; term: number}>
		| Readonly<{kind: 'grantsEnded'; term: number}>
		| Readonly<{kind: 'recordChanged'; record: GroupRecord; revision: number}>
		| Readonly<{kind: 'promoted'; primary: TargetId; term: number}>
		| Readonly<{kind: 'finished'; primary: TargetId; term: number}>
		| Readonly<{kind: 'blocked'; reason: string}>
		| Readonly<{kind: 'rejoined'; target: TargetId; primary: TargetId}>
		| Readonly<{kind: 'target'; target: TargetId; reachable: boolean}>;

/** What a steward needs. */
export type FailoverCoordinatorContext = Readonly<{
	world: World;
	store: Store;
	getSettings: () => FailoverSettings | undefined;
	commands: TargetCommands;
	/** Gets the deadline of the authority over the database. */
	getAuthorityDeadline: () => Deadline;
	/** Asks a holder to give up permissions. */
	revoke: (holder: Holder, database: DatabaseId, permissions: Permissions) => Promise<Result<unknown, Failure>>;
	/** Tells everybody of a record. */
	publish: (view: GroupView) => void;
	onEvent: (event: FailoverEvent) => void;
}>;

/** Steward of one database. */
export type FailoverCoordinator = Readonly<{
	/** Answers a holder's request for a grant. */
	grant: (holder: Holder) => GrantReply | undefined;
	/** Works until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
}>;

const PROBE_PERIOD_MS = 100;
const STORE_RETRY_MS = 50;
const COMMAND_RETRY_MS = 50;
const COMMAND_TRIES = 20;
const REPAIR_MS = 1000;

/** Creates the steward of a database. */
export const createFailoverCoordinator = (context: FailoverCoordinatorContext, database: DatabaseId): FailoverCoordinator => {
	const {world, store, commands, onEvent} = context;
	const granter = createGrantIssuer(world);
	const health: HealthMonitor = createHealthMonitor(commands.probe, world, (target, reachable) => {
		onEvent({kind: 'target', target, reachable});
	});
	let view: GroupView | undefined;
	let permissions: Permissions = NO_PERMISSIONS;
	let blocked = '';
	let repairAt = createDeadline(world.now(), 0);

	const hasAuthority = () => !isPast(context.getAuthorityDeadline(), world.now());

	const getAges = (): Readonly<Record<string, number>> => {
		const targets = context.getSettings()?.targets ?? [];
		const ages = targets.map(target => [target, health.getAgeMs(target)] as const);
		return Object.fromEntries(ages.filter((pair): pair is readonly [TargetId, number] => pair[1] !== undefined));
	};

	/** Gets the replicas of the synced set that are seen to live and to hold what they held. */
	const getReadable = (record: GroupRecord): readonly TargetId[] => record.synced
		.filter(target => health.isReachable(target) && !health.hasLostData(target));

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
				const record = entry.val ? parseGroupRecord(entry.val.value) : undefined;
				return entry.val && record?.ok ? {record: record.val, revision: entry.val.revision} : 'none';
			}

			await world.sleep(STORE_RETRY_MS, signal);
		}

		return undefined;
	};

	/** Writes a record by compare-and-swap; a lost answer is resolved by reading back. */
	const writeRecord = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		const text = formatGroupRecord(record);
		while (hasAuthority() && !signal.aborted) {
			const written = await store.compareAndSwap(formatGroupKey(database), view?.revision ?? 0, text);
			if (written.ok) {
				const {swapped, current} = written.val;
				if (current && (swapped || current.value === text)) {
					adopt({record, revision: current.revision});
					return true;
				}

				const standing = current ? parseGroupRecord(current.value) : undefined;
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
		permissions = {
			writes: permissions.writes && !ended.writes,
			acknowledgements: permissions.acknowledgements && !ended.acknowledgements,
			reads: permissions.reads && !ended.reads,
		};
		await granter.revokeAll(ended, async holder => context.revoke(holder, database, ended), signal);
	};

	const syncedSet = createSyncedSet({
		world,
		health,
		issuer: granter,
		getRevision: () => view?.revision ?? 0,
		writeRecord,
		revokeGrants: endGrants,
		restorePermissions() {
			permissions = ALL_PERMISSIONS;
		},
	});

	const bootstrap = async (settings: FailoverSettings, signal: AbortSignal) => {
		const leaders = settings.targets
			.filter(target => health.isReachable(target) && health.get(target).report?.isReplica === false)
			.toSorted((a, b) => (health.get(b).report?.timeline ?? 0) - (health.get(a).report?.timeline ?? 0));
		const [primary] = leaders;
		if (primary) {
			await writeRecord(createGroupRecord(database, primary, health.get(primary).report?.position ?? 0, settings), signal);
		} else {
			block('no target leads');
		}
	};

	/** Keeps replicas of the synced set from receiving more of the old primary, then chooses the one that has most; one that stays goes first. */
	const chooseSuccessor = async (record: GroupRecord): Promise<TargetId | undefined> => {
		const leaving = new Set(context.getSettings()?.leaving);
		const reachable = record.synced.filter(target => health.isReachable(target) && !health.hasLostData(target));
		await Promise.all(reachable.map(async target => commands.follow(target, undefined)));
		await health.probeAll(reachable);
		return reachable
			.filter(target => health.isReachable(target) && !health.hasLostData(target))
			.toSorted((a, b) => Number(leaving.has(a)) - Number(leaving.has(b)) || health.getPosition(b) - health.getPosition(a))[0];
	};

	/** Makes the primary of the record lead, and the others follow it; only then the record says that it has led. */
	const completePromotion = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		const leads = health.get(record.primary).report?.isReplica === false;
		if (!leads && !await tryCommand(async () => commands.promote(record.primary), signal)) {
			return false;
		}

		onEvent({kind: 'promoted', primary: record.primary, term: record.term});
		await Promise.all(getAwaitedReplicas(record).map(async target => commands.follow(target, record.primary)));
		return writeRecord({...record, confirmed: true}, signal);
	};

	const failOver = async (record: GroupRecord, planned: boolean, signal: AbortSignal) => {
		if (!record.synced.some(target => health.isReachable(target))) {
			block('no replica of the synced set can be reached');
			return;
		}

		onEvent({kind: 'started', primary: record.primary, term: record.term});
		if (planned) {
			// What was sent is answered first: holders say that their writes have ended once none is under way.
			await endGrants(WRITE_PERMISSION, signal);
		}

		await endGrants(PRIMARY_PERMISSIONS, signal);
		onEvent({kind: 'grantsEnded', term: record.term});
		const successor = await chooseSuccessor(record);
		if (!successor || !hasAuthority()) {
			block('no replica of the synced set can be reached');
			return;
		}

		const lost = record.synced.filter(target => !health.isReachable(target) || health.hasLostData(target));
		if (lost.length > 0) {
			await endGrants(ALL_PERMISSIONS, signal);
		}

		const kept = {...record, synced: record.synced.filter(target => !lost.includes(target))};
		if (!await writeRecord(promoteRecord(kept, successor, health.getPosition(successor)), signal) || !view) {
			return;
		}

		permissions = READ_PERMISSION;
		if (await completePromotion(view.record, signal)) {
			permissions = ALL_PERMISSIONS;
			onEvent({kind: 'finished', primary: successor, term: view.record.term});
		}
	};

	/** Tells whether the primary came back without its data: it has led and follows again, or lacks what its term began with. */
	const hasLostData = (record: GroupRecord): boolean => {
		const {report} = health.get(record.primary);
		const start = record.starts.at(-1)?.position ?? 0;
		return health.isReachable(record.primary) && report !== undefined && ((record.confirmed && report.isReplica) || report.position < start);
	};

	/** Makes targets that lead or follow wrongly follow the primary. */
	const repair = async (record: GroupRecord, settings: FailoverSettings) => {
		if (!isPast(repairAt, world.now()) || !hasAuthority()) {
			return;
		}

		repairAt = createDeadline(world.now(), REPAIR_MS);
		const following = health.get(record.primary).report?.replayed ?? new Map<string, number>();
		const strays = settings.targets.filter(target => target !== record.primary && health.isReachable(target) && !following.has(target));
		await Promise.all(strays.map(async target => {
			const leads = health.get(target).report?.isReplica === false;
			const isBehind = (health.get(target).report?.timeline ?? 0) < (health.get(record.primary).report?.timeline ?? 0);
			if (leads || (isBehind && health.getPosition(target) > (record.starts.at(-1)?.position ?? 0))) {
				await commands.rejoin(target, record.primary);
				health.forgetHighestPosition(target);
				onEvent({kind: 'rejoined', target, primary: record.primary});
			} else {
				await commands.follow(target, record.primary);
			}
		}));
	};

	const improve = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal) => {
		if (!record.confirmed) {
			permissions = READ_PERMISSION;
			await completePromotion(record, signal);
			return;
		}

		if (!permissions.writes) {
			permissions = ALL_PERMISSIONS;
		}

		const isChanged = await syncedSet.adjust(record, settings, signal);
		if (!isChanged) {
			await repair(record, settings);
		}
	};

	const workOnce = async (settings: FailoverSettings, signal: AbortSignal) => {
		const probedAt: Instant = world.now();
		await health.probeAll(settings.targets);
		if (!view) {
			await bootstrap(settings, signal);
			return;
		}

		const {record} = view;
		const {report} = health.get(record.primary);
		if (health.isReachable(record.primary) && report && !report.isReplica) {
			health.recordPosition(report.position, probedAt);
		}

		const isLeaving = settings.leaving.includes(record.primary) && record.synced.some(target => health.isReachable(target) && !settings.leaving.includes(target));
		const hasFailed = health.hasFailed(record.primary) || hasLostData(record);
		if (hasFailed || isLeaving) {
			await failOver(record, !hasFailed, signal);
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
				view, permissions, agesMs: getAges(), readable: getReadable(view.record), authorityDeadline: context.getAuthorityDeadline(),
			});
		},
		async run(signal) {
			const first = await readRecord(signal);
			if (first !== undefined && first !== 'none') {
				view = first;
				context.publish(first);
				permissions = READ_PERMISSION;
			}

			while (hasAuthority() && !signal.aborted) {
				const settings = context.getSettings();
				if (settings) {
					await workOnce(settings, signal);
				}

				await world.sleep(PROBE_PERIOD_MS, signal);
			}

			permissions = NO_PERMISSIONS;
		},
	};
};
