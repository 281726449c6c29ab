/** Failover coordinator of one database: the only task in the fleet that may change its group record. */

import {
	createDeadline, isPast, type DatabaseId, type Deadline, type Failure, type TargetId, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import type {Store} from '@guavapitch/store';
import {
	ALL_PERMISSIONS, createGrantIssuer, NO_PERMISSIONS, PRIMARY_PERMISSIONS, READ_PERMISSION, WRITE_PERMISSION, type GrantHolder, type Permissions,
} from './grant-issuer.js';
import type {GrantResponse} from './grant-registry.js';
import {createHealthMonitor, type HealthMonitor, type ProbeTarget} from './health-monitor.js';
import {createSyncedSetManager, type FailoverSettings} from './synced-set.js';
import {
	createGroupRecord, formatGroupKey, formatGroupRecord, getAwaitedReplicas, parseGroupRecord, promoteRecord, type GroupRecord, type GroupView,
} from './group-record.js';

/** Commands that the coordinator sends to targets. */
export type TargetCommands = Readonly<{
	probe: ProbeTarget;
	/** Makes a replica the primary. */
	promote: (target: TargetId) => Promise<Result<unknown, Failure>>;
	/** Makes a replica follow a primary; without a primary it stops replication. */
	follow: (target: TargetId, primary: TargetId | undefined) => Promise<Result<unknown, Failure>>;
	/** Makes a target whose log has diverged a replica of the primary. */
	rejoin: (target: TargetId, primary: TargetId) => Promise<Result<unknown, Failure>>;
}>;

/** Events of a failover, for the log and its timeline. `started` and `grantsEnded` give the term that ends, `promoted` and `finished` the new one. */
export type FailoverEvent
	= | Readonly<{kind: 'started'; primary: TargetId; term: number}>
		| Readonly<{kind: 'grantsEnded'; term: number}>
		| Readonly<{kind: 'recordChanged'; record: GroupRecord; revision: number}>
		| Readonly<{kind: 'promoted'; primary: TargetId; term: number}>
		| Readonly<{kind: 'finished'; primary: TargetId; term: number}>
		| Readonly<{kind: 'blocked'; reason: string}>
		| Readonly<{kind: 'rejoined'; target: TargetId; primary: TargetId}>
		| Readonly<{kind: 'target'; target: TargetId; isReachable: boolean}>;

/** Dependencies of a failover coordinator. */
export type FailoverCoordinatorContext = Readonly<{
	runtime: Runtime;
	store: Store;
	/** Returns the settings of the database; `undefined` if it is not configured. */
	getSettings: () => FailoverSettings | undefined;
	commands: TargetCommands;
	/** Returns the deadline of the authority over the database. */
	getAuthorityDeadline: () => Deadline;
	/** Asks the holder of a grant to stop using permissions. */
	revoke: (holder: GrantHolder, database: DatabaseId, permissions: Permissions) => Promise<Result<unknown, Failure>>;
	/** Publishes the current group record. */
	publish: (view: GroupView) => void;
	onEvent: (event: FailoverEvent) => void;
}>;

/** Failover coordinator of one database. */
export type FailoverCoordinator = Readonly<{
	/** Issues a grant to a holder that requests one; returns `undefined` while the group record is not known or the coordinator has no authority. */
	grant: (holder: GrantHolder) => GrantResponse | undefined;
	/** Coordinates until the signal aborts or the authority expires. */
	run: (signal: AbortSignal) => Promise<void>;
}>;

const PROBE_INTERVAL_MS = 100;
const STORE_RETRY_DELAY_MS = 50;
const COMMAND_RETRY_DELAY_MS = 50;
/** Number of attempts to promote a target before all targets are probed again. */
const MAX_COMMAND_ATTEMPTS = 20;
const REPAIR_INTERVAL_MS = 1000;

/** Creates the failover coordinator of a database. */
export const createFailoverCoordinator = (context: FailoverCoordinatorContext, database: DatabaseId): FailoverCoordinator => {
	const {runtime, store, commands, onEvent} = context;
	const issuer = createGrantIssuer(runtime);
	const health: HealthMonitor = createHealthMonitor(commands.probe, runtime, (target, isReachable) => {
		onEvent({kind: 'target', target, isReachable});
	});
	let view: GroupView | undefined;
	/** Permissions that new grants give. */
	let permissions: Permissions = NO_PERMISSIONS;
	let blockedReason = '';
	let nextRepairAt = createDeadline(runtime.now(), 0);

	const hasAuthority = () => !isPast(context.getAuthorityDeadline(), runtime.now());

	const getAgesMs = (): Readonly<Record<string, number>> => {
		const targets = context.getSettings()?.targets ?? [];
		const agesMs = targets.map(target => [target, health.getAgeMs(target)] as const);
		return Object.fromEntries(agesMs.filter((entry): entry is readonly [TargetId, number] => entry[1] !== undefined));
	};

	/** Returns the replicas of the synced set that are reachable and have not lost data. */
	const getReadable = (record: GroupRecord): readonly TargetId[] => record.synced
		.filter(target => health.isReachable(target) && !health.hasLostData(target));

	const reportBlocked = (reason: string) => {
		if (blockedReason !== reason) {
			blockedReason = reason;
			onEvent({kind: 'blocked', reason});
		}
	};

	const updateView = (newView: GroupView) => {
		view = newView;
		blockedReason = '';
		context.publish(newView);
		onEvent({kind: 'recordChanged', record: newView.record, revision: newView.revision});
	};

	/** Reads the group record, with retries until the store answers; returns `undefined` if the authority expires first. */
	const readRecord = async (signal: AbortSignal): Promise<GroupView | 'none' | undefined> => {
		while (hasAuthority() && !signal.aborted) {
			const entry = await store.read(formatGroupKey(database));
			if (entry.ok) {
				const record = entry.val ? parseGroupRecord(entry.val.value) : undefined;
				return entry.val && record?.ok ? {record: record.val, revision: entry.val.revision} : 'none';
			}

			await runtime.sleep(STORE_RETRY_DELAY_MS, signal);
		}

		return undefined;
	};

	/** Writes a group record by compare-and-swap; returns `false` if the entry holds another record or the authority expires. If the response is lost, the swap is repeated, and the entry then found shows whether it took effect. */
	const writeRecord = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		const recordText = formatGroupRecord(record);
		while (hasAuthority() && !signal.aborted) {
			const written = await store.compareAndSwap(formatGroupKey(database), view?.revision ?? 0, recordText);
			if (written.ok) {
				const {isSwapped, current} = written.val;
				if (current && (isSwapped || current.value === recordText)) {
					updateView({record, revision: current.revision});
					return true;
				}

				const currentRecord = current ? parseGroupRecord(current.value) : undefined;
				if (current && currentRecord?.ok) {
					updateView({record: currentRecord.val, revision: current.revision});
				}

				return false;
			}

			await runtime.sleep(STORE_RETRY_DELAY_MS, signal);
		}

		return false;
	};

	const runWithRetries = async (run: () => Promise<Result<unknown, Failure>>, signal: AbortSignal): Promise<boolean> => {
		for (let attempt = 0; attempt < MAX_COMMAND_ATTEMPTS && hasAuthority() && !signal.aborted; attempt++) {
			const outcome = await run();
			if (outcome.ok) {
				return true;
			}

			await runtime.sleep(COMMAND_RETRY_DELAY_MS, signal);
		}

		return false;
	};

	const revokeGrants = async (revoked: Permissions, signal: AbortSignal) => {
		permissions = {
			writes: permissions.writes && !revoked.writes,
			acknowledgements: permissions.acknowledgements && !revoked.acknowledgements,
			reads: permissions.reads && !revoked.reads,
		};
		await issuer.revokeAll(revoked, async holder => context.revoke(holder, database, revoked), signal);
	};

	const syncedSetManager = createSyncedSetManager({
		runtime,
		health,
		issuer,
		getRevision: () => view?.revision ?? 0,
		writeRecord,
		revokeGrants,
		restorePermissions() {
			permissions = ALL_PERMISSIONS;
		},
	});

	/** Writes the first group record. Its primary is the reachable one with the highest timeline, which was promoted last. */
	const bootstrap = async (settings: FailoverSettings, signal: AbortSignal) => {
		const primaries = settings.targets
			.filter(target => health.isReachable(target) && health.get(target).report?.isReplica === false)
			.toSorted((a, b) => (health.get(b).report?.timeline ?? 0) - (health.get(a).report?.timeline ?? 0));
		const [primary] = primaries;
		if (primary) {
			await writeRecord(createGroupRecord(database, primary, health.get(primary).report?.position ?? 0, settings), signal);
		} else {
			reportBlocked('no reachable target is a primary; the group record is created once one is');
		}
	};

	/** Stops replication from the old primary, then chooses the replica of the synced set with the highest position. Replicas that are not about to be removed are preferred. */
	const chooseSuccessor = async (record: GroupRecord): Promise<TargetId | undefined> => {
		const leavingTargets = new Set(context.getSettings()?.leaving);
		const reachableReplicas = record.synced.filter(target => health.isReachable(target) && !health.hasLostData(target));
		await Promise.all(reachableReplicas.map(async target => commands.follow(target, undefined)));
		await health.probeAll(reachableReplicas);
		return reachableReplicas
			.filter(target => health.isReachable(target) && !health.hasLostData(target))
			.toSorted((a, b) => Number(leavingTargets.has(a)) - Number(leavingTargets.has(b)) || health.getPosition(b) - health.getPosition(a))[0];
	};

	/** Promotes the primary of the record, makes the replicas that acknowledgements wait for follow it, and only then marks the record as confirmed. */
	const completePromotion = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		const isPromoted = health.get(record.primary).report?.isReplica === false;
		if (!isPromoted && !await runWithRetries(async () => commands.promote(record.primary), signal)) {
			return false;
		}

		onEvent({kind: 'promoted', primary: record.primary, term: record.term});
		await Promise.all(getAwaitedReplicas(record).map(async target => commands.follow(target, record.primary)));
		return writeRecord({...record, confirmed: true}, signal);
	};

	/** Replaces the primary. Before a replica is promoted, all permissions that need the old primary have ended; a planned failover lets writes in progress finish first. */
	const failOver = async (record: GroupRecord, isPlanned: boolean, signal: AbortSignal) => {
		if (!record.synced.some(target => health.isReachable(target))) {
			reportBlocked('no replica of the synced set can be reached; the failover is retried until one can');
			return;
		}

		onEvent({kind: 'started', primary: record.primary, term: record.term});
		if (isPlanned) {
			// Writes that were already sent are finished first: holders respond once none of their writes is in progress.
			await revokeGrants(WRITE_PERMISSION, signal);
		}

		await revokeGrants(PRIMARY_PERMISSIONS, signal);
		onEvent({kind: 'grantsEnded', term: record.term});
		const successor = await chooseSuccessor(record);
		if (!successor || !hasAuthority()) {
			reportBlocked('no replica of the synced set can be reached; the failover is retried until one can');
			return;
		}

		const excludedReplicas = record.synced.filter(target => !health.isReachable(target) || health.hasLostData(target));
		if (excludedReplicas.length > 0) {
			await revokeGrants(ALL_PERMISSIONS, signal);
		}

		const reducedRecord = {...record, synced: record.synced.filter(target => !excludedReplicas.includes(target))};
		if (!await writeRecord(promoteRecord(reducedRecord, successor, health.getPosition(successor)), signal) || !view) {
			return;
		}

		permissions = READ_PERMISSION;
		if (await completePromotion(view.record, signal)) {
			permissions = ALL_PERMISSIONS;
			onEvent({kind: 'finished', primary: successor, term: view.record.term});
		}
	};

	/** Tells whether the primary has come back without its data: it is a replica again after a confirmed promotion, or its position is lower than the start of its term. */
	const hasPrimaryLostData = (record: GroupRecord): boolean => {
		const {report} = health.get(record.primary);
		const start = record.starts.at(-1)?.position ?? 0;
		return health.isReachable(record.primary) && report !== undefined && ((record.confirmed && report.isReplica) || report.position < start);
	};

	/** Makes all other targets follow the primary; those that lead or whose log has diverged are rejoined. */
	const repair = async (record: GroupRecord, settings: FailoverSettings) => {
		if (!isPast(nextRepairAt, runtime.now()) || !hasAuthority()) {
			return;
		}

		nextRepairAt = createDeadline(runtime.now(), REPAIR_INTERVAL_MS);
		const followers = health.get(record.primary).report?.replayedPositions ?? new Map<string, number>();
		const nonFollowers = settings.targets.filter(target => target !== record.primary && health.isReachable(target) && !followers.has(target));
		await Promise.all(nonFollowers.map(async target => {
			const isPrimary = health.get(target).report?.isReplica === false;
			const isBehind = (health.get(target).report?.timeline ?? 0) < (health.get(record.primary).report?.timeline ?? 0);
			if (isPrimary || (isBehind && health.getPosition(target) > (record.starts.at(-1)?.position ?? 0))) {
				await commands.rejoin(target, record.primary);
				health.forgetHighestPosition(target);
				onEvent({kind: 'rejoined', target, primary: record.primary});
			} else {
				await commands.follow(target, record.primary);
			}
		}));
	};

	/** Completes a promotion that is not confirmed yet; otherwise adjusts the synced set, and repairs replication if nothing was adjusted. */
	const maintain = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal) => {
		if (!record.confirmed) {
			permissions = READ_PERMISSION;
			await completePromotion(record, signal);
			return;
		}

		if (!permissions.writes) {
			permissions = ALL_PERMISSIONS;
		}

		const wasAdjusted = await syncedSetManager.adjust(record, settings, signal);
		if (!wasAdjusted) {
			await repair(record, settings);
		}
	};

	/** Probes all targets, then fails over or maintains the group as they require. */
	const runRound = async (settings: FailoverSettings, signal: AbortSignal) => {
		const probedAt: Instant = runtime.now();
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
		const hasFailed = health.hasFailed(record.primary) || hasPrimaryLostData(record);
		if (hasFailed || isLeaving) {
			await failOver(record, !hasFailed, signal);
		} else if (health.isReachable(record.primary)) {
			await maintain(record, settings, signal);
		}
	};

	return {
		grant(holder) {
			if (!view || !hasAuthority()) {
				return undefined;
			}

			return issuer.grant(holder, {
				view, permissions, agesMs: getAgesMs(), readable: getReadable(view.record), authorityDeadline: context.getAuthorityDeadline(),
			});
		},
		async run(signal) {
			const initialView = await readRecord(signal);
			if (initialView !== undefined && initialView !== 'none') {
				view = initialView;
				context.publish(initialView);
				permissions = READ_PERMISSION;
			}

			while (hasAuthority() && !signal.aborted) {
				const settings = context.getSettings();
				if (settings) {
					await runRound(settings, signal);
				}

				await runtime.sleep(PROBE_INTERVAL_MS, signal);
			}

			permissions = NO_PERMISSIONS;
		},
	};
};
