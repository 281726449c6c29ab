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

/** State of the checks of the primary. */
type PrimaryCheckState = {
	/** Since when the primary has refused connections. */
	refusingSince: Instant | undefined;
	/** Since when no target has led. */
	leaderlessSince: Instant | undefined;
	/** When this vm first checked the primary; stands in for the last response until there is one. */
	watchedSince: Instant | undefined;
	/** Leaving primary for which it was reported that no target can replace it. */
	irreplaceableLeader: TargetId | undefined;
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

/** Replaces a primary that is about to leave: pauses writes until a replica has caught up, and promotes it. */
const switchOver = async (context: FailoverCoordinatorContext, group: SyncedGroup, leader: Target, state: PrimaryCheckState): Promise<boolean> => {
	const {runtime, owner} = context;
	const replicas = listReplicas(context, leader.id).filter(({isDraining}) => !isDraining);
	if (mustAwaitSuccessor(context, leader)) {
		return false;
	}

	if (replicas.length === 0) {
		if (state.irreplaceableLeader !== leader.id) {
			state.irreplaceableLeader = leader.id;
			context.onEvent({
				kind: 'failed', target: leader.id, reason: 'the primary is leaving; no replica promoted because no target that stays is registered', ageMs: 0,
			});
		}

		return false;
	}

	const startedAt = runtime.now();
	const deadline = createDeadline(startedAt, SWITCHOVER_TIMEOUT_MS);
	context.onEvent({
		kind: 'started', target: leader.id, reason: 'the primary is leaving', ageMs: 0,
	});
	owner.pauseWrites(true);
	try {
		while (!isPast(deadline, runtime.now())) {
			const [leaderReport] = await requestStatuses(context, [leader]);
			const reports = rankReplicas(await requestStatuses(context, replicas));
			const bestReport = reports[0];
			if (leaderReport && bestReport && comparePositions(bestReport.status.received, leaderReport.status.received) >= 0 && owner.components.transactions.getWriterCount() === 0) {
				break;
			}

			await runtime.sleep(SWITCHOVER_CHECK_INTERVAL_MS);
		}

		const reason = 'the primary is leaving';
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
	const replicas = listReplicas(context, leader);
	const stayingReplicas = replicas.filter(({isDraining}) => !isDraining);
	const isReplaced = context.isSynchronouslyReplicated()
		? await group.promote({primary: leader, reason, isPlanned: false})
		: await promoteBestReplica(context, stayingReplicas.length > 0 ? stayingReplicas : replicas, reason);
	if (isReplaced && leaderTarget) {
		await stepDown(context, leaderTarget);
	}
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

		if (signal.aborted || !context.isCoordinator() || owner.components.listTargets().length === 0) {
			continue;
		}

		const {appointments} = owner.components.context;
		if (appointments.isDecisive && appointments.getAppointed() === undefined) {
			await appointPresentLeader(context);
		}

		const leader = owner.components.leaderTracker.getLeader();
		const leaderTarget = leader === undefined ? undefined : owner.components.getTarget(leader);
		if (leaderTarget?.isDraining && await switchOver(context, group, leaderTarget, state)) {
			continue;
		}

		if (context.isSynchronouslyReplicated() && await group.check()) {
			await group.promote({primary: leader, reason: 'an earlier order to promote a replica may still be executed', isPlanned: true});
			continue;
		}

		const reason = await checkPrimary(context, state);
		if (reason !== undefined && context.isCoordinator()) {
			await replacePrimary(context, group, reason);
			state = {...createPrimaryCheckState(), hasSeenLeader: state.hasSeenLeader, irreplaceableLeader: state.irreplaceableLeader};
		}
	}
};
