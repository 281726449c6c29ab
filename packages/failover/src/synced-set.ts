/** The synced set: which replicas acknowledgements wait for, and when that changes. */

import {
	createDeadline, isPast, type DatabaseId, type TargetId, type World,
} from '@guavapitch/core';
import {ALL_PERMISSIONS, type GrantIssuer, type Permissions} from './grant-issuer.js';
import type {HealthMonitor} from './health-monitor.js';
import {getAwaitedReplicas, type GroupRecord} from './group-record.js';

/** Settings of a database that a steward needs. */
export type FailoverSettings = Readonly<{
	database: DatabaseId;
	targets: readonly TargetId[];
	leaving: readonly TargetId[];
	minimumSynced: number;
	/** Whether acknowledgements wait for replicas. */
	replicated: boolean;
}>;

/** What the synced set needs of its steward. */
export type SyncedSetContext = Readonly<{
	world: World;
	health: HealthMonitor;
	issuer: GrantIssuer;
	/** Gets the revision of the record now. */
	getRevision: () => number;
	writeRecord: (record: GroupRecord, signal: AbortSignal) => Promise<boolean>;
	revokeGrants: (ended: Permissions, signal: AbortSignal) => Promise<void>;
	/** Grants everything again. */
	restorePermissions: () => void;
}>;

/** Changes of the synced set. */
export type SyncedSet = Readonly<{
	/** Makes one change if one is due; tells whether it did. */
	adjust: (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal) => Promise<boolean>;
}>;

/** Time for which a synced replica may hold up acknowledgements. */
const LAG_LIMIT_MS = 1000;
const JOIN_TIMEOUT_MS = 3000;
const JOIN_PERIOD_MS = 1000;
const JOIN_PROBE_MS = 25;

/** Creates the changes of the synced set of one database. */
export const createSyncedSet = (context: SyncedSetContext): SyncedSet => {
	const {world, health, issuer: granter} = context;
	let joinAt = createDeadline(world.now(), 0);

	const isLagging = (target: TargetId, primary: TargetId): boolean => {
		if (health.hasFailed(target)) {
			return true;
		}

		const age = health.getAgeMs(target);
		return health.isReachable(primary) && (age === undefined || age > LAG_LIMIT_MS);
	};

	/** Takes replicas out of the set that hold up acknowledgements or have lost their data, after their read grants have ended. */
	const dropLaggards = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal): Promise<boolean> => {
		const joining = record.joining.filter(target => !isLagging(target, record.primary));
		const lost = record.synced.filter(target => health.hasLostData(target));
		const kept = record.synced.filter(target => !lost.includes(target));
		const lagging = kept.filter(target => isLagging(target, record.primary) || settings.leaving.includes(target));
		const spare = Math.max(0, kept.length - settings.minimumSynced);
		const dropped = [...lost, ...lagging.slice(0, spare)];
		if (dropped.length === 0 && joining.length === record.joining.length) {
			return false;
		}

		if (dropped.length > 0) {
			await context.revokeGrants(ALL_PERMISSIONS, signal);
		}

		await context.writeRecord({...record, joining, synced: record.synced.filter(target => !dropped.includes(target))}, signal);
		context.restorePermissions();
		return true;
	};

	/** Changes whether acknowledgements wait for replicas, and for how many; replicas count as synced again once they hold what was acknowledged without them. */
	const changeRule = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal): Promise<boolean> => {
		const {replicated, minimumSynced} = settings;
		if (record.replicated === replicated && record.minimumSynced === minimumSynced) {
			return false;
		}

		await context.revokeGrants(ALL_PERMISSIONS, signal);
		const isResumed = replicated && !record.replicated;
		const sets = isResumed ? {synced: [], joining: getAwaitedReplicas(record)} : {};
		await context.writeRecord({
			...record, replicated, minimumSynced, ...sets,
		}, signal);
		context.restorePermissions();
		return true;
	};

	/** Starts to wait for a caught-up replica; it counts as synced once it holds all that was acknowledged without it. */
	const startJoin = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal): Promise<boolean> => {
		const candidates = settings.targets.filter(target => target !== record.primary
			&& !getAwaitedReplicas(record).includes(target)
			&& !settings.leaving.includes(target)
			&& health.isReachable(target)
			&& health.get(record.primary).report?.replayed.has(target)
			&& !isLagging(target, record.primary));
		if (candidates.length === 0 || !isPast(joinAt, world.now())) {
			return false;
		}

		joinAt = createDeadline(world.now(), JOIN_PERIOD_MS);
		return context.writeRecord({...record, joining: [...record.joining, ...candidates]}, signal);
	};

	const finishJoin = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		if (record.joining.length === 0) {
			return false;
		}

		const deadline = createDeadline(world.now(), JOIN_TIMEOUT_MS);
		if (!await granter.waitForRevision(context.getRevision(), deadline, signal)) {
			return false;
		}

		await health.probeAll([record.primary]);
		const needed = health.getPosition(record.primary);
		if (!health.isReachable(record.primary)) {
			return false;
		}

		while (!isPast(deadline, world.now()) && !signal.aborted) {
			await health.probeAll(record.joining);
			const joined = record.joining.filter(target => health.isReachable(target) && health.get(target).report?.isReplica && health.getPosition(target) >= needed);
			if (joined.length === record.joining.length) {
				return context.writeRecord({...record, joining: [], synced: [...record.synced, ...joined]}, signal);
			}

			await world.sleep(JOIN_PROBE_MS, signal);
		}

		return false;
	};

	return {
		adjust: async (record, settings, signal) => await changeRule(record, settings, signal)
			|| await dropLaggards(record, settings, signal)
			|| await finishJoin(record, signal)
			|| startJoin(record, settings, signal),
	};
};
