/** Maintains the synced set, the replicas that acknowledgements wait for: decides when replicas join and leave it. */

import {
	createDeadline, isPast, type DatabaseId, type TargetId, type Runtime,
} from '@guavapitch/core';
import {ALL_PERMISSIONS, type GrantIssuer, type Permissions} from './grant-issuer.js';
import type {HealthMonitor} from './health-monitor.js';
import {getAwaitedReplicas, type GroupRecord} from './group-record.js';

/** Settings of a database that its failover coordinator uses. */
export type FailoverSettings = Readonly<{
	database: DatabaseId;
	targets: readonly TargetId[];
	/** Targets that are about to be removed. */
	leaving: readonly TargetId[];
	/** Minimum number of replicas that acknowledgements wait for. */
	minimumSynced: number;
	/** Whether acknowledgements wait for replicas; if not, the primary acknowledges alone. */
	replicated: boolean;
}>;

/** Dependencies of the manager of a synced set, provided by the failover coordinator. */
export type SyncedSetManagerContext = Readonly<{
	runtime: Runtime;
	health: HealthMonitor;
	issuer: GrantIssuer;
	/** Returns the current revision of the group record. */
	getRevision: () => number;
	/** Writes a changed group record; returns `false` if it was not written. */
	writeRecord: (record: GroupRecord, signal: AbortSignal) => Promise<boolean>;
	/** Revokes permissions of all holders; new grants no longer give them either. */
	revokeGrants: (revoked: Permissions, signal: AbortSignal) => Promise<void>;
	/** Allows new grants to give all permissions again. */
	restorePermissions: () => void;
}>;

/** Manager of the synced set of one database. */
export type SyncedSetManager = Readonly<{
	/** Makes at most one change that is due; tells whether it made one. */
	adjust: (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal) => Promise<boolean>;
}>;

/** Maximum replication lag for which a synced replica may delay acknowledgements, in milliseconds. */
const MAX_LAG_MS = 1000;
/** Timeout of one attempt to complete a join; after it, the replicas are still joining and the attempt is repeated. */
const JOIN_TIMEOUT_MS = 3000;
/** Minimum time between two additions of joining replicas. */
const JOIN_INTERVAL_MS = 1000;
const JOIN_PROBE_INTERVAL_MS = 25;

/** Creates the manager of the synced set of one database. */
export const createSyncedSetManager = (context: SyncedSetManagerContext): SyncedSetManager => {
	const {runtime, health, issuer} = context;
	let nextJoinAt = createDeadline(runtime.now(), 0);

	const isLagging = (target: TargetId, primary: TargetId): boolean => {
		if (health.hasFailed(target)) {
			return true;
		}

		const ageMs = health.getAgeMs(target);
		return health.isReachable(primary) && (ageMs === undefined || ageMs > MAX_LAG_MS);
	};

	/** Removes replicas that have lost data, and, down to the minimum number, those that delay acknowledgements or are about to be removed. Grants that allow reads from them end first. */
	const removeLagging = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal): Promise<boolean> => {
		const joining = record.joining.filter(target => !isLagging(target, record.primary));
		const replicasWithDataLoss = record.synced.filter(target => health.hasLostData(target));
		const intactReplicas = record.synced.filter(target => !replicasWithDataLoss.includes(target));
		const removalCandidates = intactReplicas.filter(target => isLagging(target, record.primary) || settings.leaving.includes(target));
		const removableCount = Math.max(0, intactReplicas.length - settings.minimumSynced);
		const removedReplicas = [...replicasWithDataLoss, ...removalCandidates.slice(0, removableCount)];
		if (removedReplicas.length === 0 && joining.length === record.joining.length) {
			return false;
		}

		if (removedReplicas.length > 0) {
			await context.revokeGrants(ALL_PERMISSIONS, signal);
		}

		await context.writeRecord({...record, joining, synced: record.synced.filter(target => !removedReplicas.includes(target))}, signal);
		context.restorePermissions();
		return true;
	};

	/** Applies a changed acknowledgement policy. Replicas count as synced again only once they hold all writes that were acknowledged without them. */
	const applyPolicy = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal): Promise<boolean> => {
		const {replicated, minimumSynced} = settings;
		if (record.replicated === replicated && record.minimumSynced === minimumSynced) {
			return false;
		}

		await context.revokeGrants(ALL_PERMISSIONS, signal);
		const isReenabled = replicated && !record.replicated;
		const resetSets = isReenabled ? {synced: [], joining: getAwaitedReplicas(record)} : {};
		await context.writeRecord({
			...record, replicated, minimumSynced, ...resetSets,
		}, signal);
		context.restorePermissions();
		return true;
	};

	/** Makes acknowledgements wait for replicas that have caught up. They count as synced once they hold all writes that were acknowledged without them. */
	const startJoin = async (record: GroupRecord, settings: FailoverSettings, signal: AbortSignal): Promise<boolean> => {
		const candidates = settings.targets.filter(target => target !== record.primary
			&& !getAwaitedReplicas(record).includes(target)
			&& !settings.leaving.includes(target)
			&& health.isReachable(target)
			&& health.get(record.primary).report?.replayedPositions.has(target)
			&& !isLagging(target, record.primary));
		if (candidates.length === 0 || !isPast(nextJoinAt, runtime.now())) {
			return false;
		}

		nextJoinAt = createDeadline(runtime.now(), JOIN_INTERVAL_MS);
		return context.writeRecord({...record, joining: [...record.joining, ...candidates]}, signal);
	};

	/**
	 * Adds the joining replicas to the synced set. Once every outstanding grant is based on the current record, each new acknowledgement waits for them;
	 * from then on they must reach the position of the primary to hold all acknowledged writes.
	 */
	const finishJoin = async (record: GroupRecord, signal: AbortSignal): Promise<boolean> => {
		if (record.joining.length === 0) {
			return false;
		}

		const deadline = createDeadline(runtime.now(), JOIN_TIMEOUT_MS);
		if (!await issuer.waitForRevision(context.getRevision(), deadline, signal)) {
			return false;
		}

		await health.probeAll([record.primary]);
		const requiredPosition = health.getPosition(record.primary);
		if (!health.isReachable(record.primary)) {
			return false;
		}

		while (!isPast(deadline, runtime.now()) && !signal.aborted) {
			await health.probeAll(record.joining);
			const joinedReplicas = record.joining.filter(target => health.isReachable(target) && health.get(target).report?.isReplica && health.getPosition(target) >= requiredPosition);
			if (joinedReplicas.length === record.joining.length) {
				return context.writeRecord({...record, joining: [], synced: [...record.synced, ...joinedReplicas]}, signal);
			}

			await runtime.sleep(JOIN_PROBE_INTERVAL_MS, signal);
		}

		return false;
	};

	return {
		adjust: async (record, settings, signal) => await applyPolicy(record, settings, signal)
			|| await removeLagging(record, settings, signal)
			|| await finishJoin(record, signal)
			|| startJoin(record, settings, signal),
	};
};
