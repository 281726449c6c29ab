/** Failover coordinator of a database: detects that its primary has failed or is leaving, and promotes a replica. */

import {
	createDeadline, isPast, type Instant, type TargetId,
} from '@guavapitch/core';
import {comparePositions} from '@guavapitch/sessions';
import {isPingAnswered} from './database-owner.js';
import {
	promoteBestReplica, rankReplicas, requestStatuses, type FailoverCoordinatorContext,
} from './promotions.js';
import {createSyncedGroup, type SyncedGroup} from './synced-groups.js';
import type {Target} from './targets.js';

/** Interval between checks of the primary. */
const CHECK_INTERVAL_MS = 100;
/** Silence after which the primary is pinged; also the timeout of that ping. */
const PING_AFTER_MS = 300;
/** Time without an answer to a ping after which peers are asked whether they reach the primary, in milliseconds; several times the usual duration of a ping. */
const ASK_PEERS_AFTER_MS = 60;
/** How long a primary may refuse connections before it is replaced: a restart of its listener is not a crash. */
const REFUSAL_GRACE_MS = 150;
/** Silence after which the primary counts as failed: long enough for several pings. */
const SILENCE_TIMEOUT_MS = 800;
/** How long no target may lead before one is promoted: the registry lags behind a promotion. */
const LEADERLESS_GRACE_MS = 600;
/** The same for a coordinator that has not seen a leader yet: its entry may have lapsed with the store, and is back about two seconds after the store's return. */
const UNSEEN_LEADER_GRACE_MS = 4000;
/** How long writes are paused, at most, for a replica to catch up before a planned change of primary. */
const SWITCHOVER_TIMEOUT_MS = 1500;
const SWITCHOVER_CHECK_INTERVAL_MS = 20;
/** Time before the end of a leaving primary's drain time at which its replacement waits for nothing more, in milliseconds: longer than a planned change takes. */
const LATEST_SWITCHOVER_MS = 3000;

/** Makes a replaced primary a replica if it can be reached, where it would otherwise go on leading for a while. */
const stepDown = async (context: FailoverCoordinatorContext, replaced: Target): Promise<void> => {
	const {owner} = context;
	const term = owner.components.positionHistory.getLatest()?.term;
	if (owner.components.context.appointments.isDecisive && term !== undefined && owner.components.leaderTracker.getLeader() !== replaced.id) {
		await requestStatuses(context, [replaced], {kind: 'stepDown', term});
	}
};

const listReplicas = (context: FailoverCoordinatorContext, excludedId: TargetId | undefined): readonly Target[] => context.owner.components.listTargets().filter(({id}) => id !== excludedId);

/** Lists the replicas that may be promoted: none of an evacuated data centre, and those that stay if there are any. */
const listCandidates = (context: FailoverCoordinatorContext, excludedId: TargetId | undefined): readonly Target[] => {
	const replicas = listReplicas(context, excludedId).filter(({isEvacuated}) => !isEvacuated);
	const stayingReplicas = replicas.filter(({isDraining}) => !isDraining);
	return stayingReplicas.length > 0 ? stayingReplicas : replicas;
};

/** Tells whether a database has only targets in evacuated data centres, so that no promotion would help. */
const isWhollyEvacuated = ({owner}: FailoverCoordinatorContext): boolean => owner.components.listTargets().every(({isEvacuated}) => isEvacuated);

/** State of the checks of the primary. */
type PrimaryCheckState = {
	/** Since when the primary has refused connections. */
	refusingSince: Instant | undefined;
	/** Since when no target has led. */
	leaderlessSince: Instant | undefined;
	/** When this vm first checked the primary; stands in for the last response until there is one. */
	watchedSince: Instant | undefined;
	/** Leaving or evacuated primary, or an empty name without a primary, for which it was reported that no target can replace it. */
	irreplaceableLeader: TargetId | '' | undefined;
	/** Whether a target has led since this vm became the coordinator. */
	hasSeenLeader: boolean;
};

const createPrimaryCheckState = (): PrimaryCheckState => ({
	refusingSince: undefined, leaderlessSince: undefined, watchedSince: undefined, irreplaceableLeader: undefined, hasSeenLeader: false,
});

/**
 * Tells whether a planned change should wait: with synchronous replication, the successor of another leaving target may join at any moment
 * and confirm commits before it can be paused.
 */
const mustAwaitSuccessor = (context: FailoverCoordinatorContext, leader: Target): boolean => context.isSynchronouslyReplicated()
	&& listReplicas(context, leader.id).some(({isDraining}) => isDraining)
	&& context.owner.components.getAcceptingMs(leader.id) > LATEST_SWITCHOVER_MS;

/** Reports once that no target can replace a primary. */
const reportIrreplaceable = (context: FailoverCoordinatorContext, state: PrimaryCheckState, leader: TargetId | '', reason: string): void => {
	if (state.irreplaceableLeader !== leader) {
		state.irreplaceableLeader = leader;
		context.onEvent({
			kind: 'failed', target: leader, reason, ageMs: 0,
		});
	}
};

/** Replaces a primary that is about to leave, or whose data centre is evacuated: pauses writes until a replica has caught up, and promotes it. */
const switchOver = async (context: FailoverCoordinatorContext, group: SyncedGroup, leader: Target, state: PrimaryCheckState): Promise<boolean> => {
	const {runtime, owner} = context;
	const reason = leader.isEvacuated ? 'the data centre of the primary is evacuated' : 'the primary is leaving';
	const replicas = listCandidates(context, leader.id).filter(({isDraining}) => leader.isEvacuated || !isDraining);
	if (mustAwaitSuccessor(context, leader)) {
		return false;
	}

	if (replicas.length === 0) {
		reportIrreplaceable(context, state, leader.id, `${reason}; no replica promoted because no target that stays is registered`);
		return false;
	}

	const startedAt = runtime.now();
	const deadline = createDeadline(startedAt, SWITCHOVER_TIMEOUT_MS);
	context.onEvent({
		kind: 'started', target: leader.id, reason, ageMs: 0,
	});
	owner.pauseWrites(true);
	try {
		while (!isPast(deadline, runtime.now())) {
			const [leaderReport] = await requestStatuses(context, [leader]);
			if (leaderReport?.status.role === 'replica') {
				owner.components.leaderTracker.markFollowing(leader.id, runtime.now());
				context.onEvent({
					kind: 'failed', target: leader.id, reason: `${reason}; no order was sent: it was replaced before`, ageMs: runtime.now() - startedAt,
				});
				return false;
			}

			const reports = rankReplicas(await requestStatuses(context, replicas));
			const bestReport = reports[0];
			if (leaderReport && bestReport && comparePositions(bestReport.status.received, leaderReport.status.received) >= 0 && owner.components.transactions.getWriterCount() === 0) {
				break;
			}

			await runtime.sleep(SWITCHOVER_CHECK_INTERVAL_MS);
		}

		const isReplaced = context.isSynchronouslyReplicated()
			? await group.promote({primary: leader.id, reason, isPlanned: true})
			: await promoteBestReplica(context, replicas, reason);
		if (isReplaced) {
			await stepDown(context, leader);
		}

		return isReplaced;
	} finally {
		owner.pauseWrites(false);
	}
};

/** Checks a database without a known leader; returns the reason to promote a target, or `undefined`. */
const checkLeaderless = async ({runtime, owner}: FailoverCoordinatorContext, state: PrimaryCheckState): Promise<string | undefined> => {
	const now = runtime.now();
	state.leaderlessSince ??= now;
	const appointed = owner.components.context.appointments.getAppointed();
	if (appointed !== undefined && owner.components.getTarget(appointed) && await owner.ping(appointed, createDeadline(now, PING_AFTER_MS)) === 'leads') {
		return undefined;
	}

	const graceMs = state.hasSeenLeader ? LEADERLESS_GRACE_MS : UNSEEN_LEADER_GRACE_MS;
	return runtime.now() - state.leaderlessSince >= graceMs ? 'no target acts as primary' : undefined;
};

/** Checks the primary once; returns the reason to replace it, or `undefined`. */
const checkPrimary = async (context: FailoverCoordinatorContext, state: PrimaryCheckState): Promise<string | undefined> => {
	const {runtime, owner} = context;
	const {leaderTracker, healthTracker} = owner.components;
	const leader = leaderTracker.getLeader();
	const now = runtime.now();
	if (leader === undefined || !owner.components.getTarget(leader)) {
		return checkLeaderless(context, state);
	}

	state.leaderlessSince = undefined;
	state.hasSeenLeader = true;
	const lastResponseAt = healthTracker.getLastResponseAt(leader) ?? state.watchedSince ?? now;
	state.watchedSince ??= now;
	if (now - lastResponseAt < PING_AFTER_MS && healthTracker.isUsable(leader)) {
		state.refusingSince = undefined;
		return undefined;
	}

	// Peers are asked while an unanswered ping goes on, as they need as long to find that the primary does not respond.
	let reachableFromPeers: Promise<boolean> | undefined;
	const cancelAsking = runtime.schedule(ASK_PEERS_AFTER_MS, () => {
		reachableFromPeers = context.isReachableFromPeers(leader);
	});
	const pingResult = await owner.ping(leader, createDeadline(now, PING_AFTER_MS));
	cancelAsking();
	if (isPingAnswered(pingResult)) {
		state.refusingSince = undefined;
		return undefined;
	}

	state.refusingSince = pingResult === 'refused' ? state.refusingSince ?? now : undefined;
	if (state.refusingSince !== undefined && runtime.now() - state.refusingSince >= REFUSAL_GRACE_MS) {
		return 'the primary refuses connections';
	}

	const isSilent = runtime.now() - lastResponseAt >= SILENCE_TIMEOUT_MS;
	return isSilent && !await (reachableFromPeers ?? context.isReachableFromPeers(leader)) ? 'the primary does not respond' : undefined;
};

/** Records which target leads if no appointment is known, as at the first start of a fleet: the primary of the highest term. */
const appointPresentLeader = async (context: FailoverCoordinatorContext): Promise<void> => {
	const reports = await requestStatuses(context, context.owner.components.listTargets());
	const [leader] = reports.filter(({status}) => status.role === 'primary').toSorted((a, b) => b.status.term - a.status.term);
	if (leader && context.isCoordinator()) {
		const fencingToken = await context.drawFencingToken(leader.target.id);
		context.onEvent({
			kind: fencingToken === undefined ? 'failed' : 'appointed', target: leader.target.id, reason: 'no appointment was recorded', ageMs: 0,
		});
	}
};

/** Replaces the primary after a failure. */
const replacePrimary = async (context: FailoverCoordinatorContext, group: SyncedGroup, reason: string): Promise<void> => {
	const {runtime, owner} = context;
	const leader = owner.components.leaderTracker.getLeader();
	const leaderTarget = leader === undefined ? undefined : owner.components.getTarget(leader);
	context.onEvent({
		kind: 'started', target: leader ?? '', reason, ageMs: leader === undefined ? 0 : runtime.now() - (owner.components.healthTracker.getLastResponseAt(leader) ?? runtime.now()),
	});
	const isReplaced = context.isSynchronouslyReplicated()
		? await group.promote({primary: leader, reason, isPlanned: false})
		: await promoteBestReplica(context, listCandidates(context, leader), reason);
	if (isReplaced && leaderTarget) {
		await stepDown(context, leaderTarget);
	}
};

/** Checks a database once, and replaces its primary if that is needed; resolves to the state for the next check. */
const checkDatabase = async (context: FailoverCoordinatorContext, group: SyncedGroup, state: PrimaryCheckState): Promise<PrimaryCheckState> => {
	const {owner} = context;
	const {appointments} = owner.components.context;
	if (appointments.isDecisive && appointments.getAppointed() === undefined) {
		await appointPresentLeader(context);
	}

	const leader = owner.components.leaderTracker.getLeader();
	const leaderTarget = leader === undefined ? undefined : owner.components.getTarget(leader);
	const mustReplace = leaderTarget !== undefined && (leaderTarget.isDraining || leaderTarget.isEvacuated);
	if (mustReplace && await switchOver(context, group, leaderTarget, state)) {
		return state;
	}

	if (context.isSynchronouslyReplicated() && await group.check()) {
		await group.promote({primary: leader, reason: 'an earlier order to promote a replica may still be executed', isPlanned: true});
		return state;
	}

	if (isWhollyEvacuated(context)) {
		reportIrreplaceable(context, state, leader ?? '', 'no replica promoted because the data centres of all targets are evacuated');
		return state;
	}

	// An evacuated primary is replaced by a planned change, whether or not it responds.
	const reason = leaderTarget?.isEvacuated ? undefined : await checkPrimary(context, state);
	if (reason === undefined || !context.isCoordinator()) {
		return state;
	}

	await replacePrimary(context, group, reason);
	return {...createPrimaryCheckState(), hasSeenLeader: state.hasSeenLeader, irreplaceableLeader: state.irreplaceableLeader};
};

/** Monitors the primary of a database until the signal aborts; acts only while this vm holds the coordinator role. */
export const runFailoverCoordinator = async (context: FailoverCoordinatorContext, signal: AbortSignal): Promise<void> => {
	const {runtime, owner} = context;
	let state = createPrimaryCheckState();
	let group = createSyncedGroup(context);
	while (!signal.aborted) {
		await runtime.sleep(CHECK_INTERVAL_MS, signal).catch(() => undefined);
		if (!context.isCoordinator()) {
			// What was seen before this vm lost the role says nothing about the targets when it has the role again.
			state = createPrimaryCheckState();
			group = createSyncedGroup(context);
		}

		if (!signal.aborted && context.isCoordinator() && owner.components.listTargets().length > 0) {
			state = await checkDatabase(context, group, state);
		}
	}
};
