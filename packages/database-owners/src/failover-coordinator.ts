/** Failover coordinator of a database: detects that its primary has failed or is leaving, and promotes a replica. */

import {
	createDeadline, isPast, type DatabaseId, type Instant, type TargetId, type Runtime,
} from '@guavapitch/core';
import {comparePositions} from '@guavapitch/sessions';
import {isPingAnswered, type DatabaseOwner} from './database-owner.js';
import type {Command, Target, TargetStatus} from './targets.js';

/** Outcome of a request to promote a target. */
export type PromotionOutcome
	/** The request was carried out. */
	= 'done'
	/** The request was refused because of a newer fencing token, or because the target is not running. */
		| 'refused'
	/** The request got no response; it may still be carried out. */
		| 'unknown';

/** A step in a change of primary, for the logs and metrics; `appointed` tells that the present primary was recorded, `ordered` that a promotion is requested. */
export type FailoverCoordinatorEvent = Readonly<{
	kind: 'started' | 'appointed' | 'ordered' | 'finished' | 'failed';
	target: string;
	reason: string;
	/** Time since the change of primary began or, for `started`, since the primary last responded, in milliseconds; 0 where neither applies. */
	ageMs: number;
}>;

/** Dependencies of a failover coordinator. */
export type FailoverCoordinatorContext = Readonly<{
	runtime: Runtime;
	database: DatabaseId;
	owner: DatabaseOwner;
	/** Tells whether this vm is confirmed to hold the coordinator role now. */
	isCoordinator: () => boolean;
	/** Draws a fencing token higher than all before, and records in the store that the target is appointed primary under it; `undefined` if the store does not respond or the role is lost. */
	drawFencingToken: (appointed: TargetId) => Promise<number | undefined>;
	/** Requests the promotion of a target to primary. */
	requestPromotion: (target: TargetId, fencingToken: number) => Promise<PromotionOutcome>;
	/** Asks other vms whether any of them reaches a target that this vm does not reach. */
	isReachableFromPeers: (target: TargetId) => Promise<boolean>;
	/** Tells whether commits are acknowledged only once a replica has them. */
	isSynchronouslyReplicated: () => boolean;
	onEvent: (event: FailoverCoordinatorEvent) => void;
}>;

/** Interval between checks of the primary. */
const CHECK_INTERVAL_MS = 100;
/** Silence after which the primary is pinged; also the timeout of that ping. */
const PING_AFTER_MS = 300;
/** How long a primary may refuse connections before it is replaced: a restart of its listener is not a crash. */
const REFUSAL_GRACE_MS = 150;
/** Silence after which the primary counts as failed: long enough for several pings. */
const SILENCE_TIMEOUT_MS = 800;
/** How long no target may lead before one is promoted: the registry lags behind a promotion. */
const LEADERLESS_GRACE_MS = 600;
/** The same for a coordinator that has not seen a leader yet: its entry may have lapsed with the store, and is back about two seconds after the store's return. */
const UNSEEN_LEADER_GRACE_MS = 4000;
/** Timeout of the status queries before a promotion. */
const STATUS_TIMEOUT_MS = 300;
/** How long a target may take to prove that it leads after the request: several times the duration of a promotion. */
const PROMOTION_TIMEOUT_MS = 3000;
/** Number of orders to one target, where late orders are not fenced, before another one is tried. */
const MAX_UNFENCED_ORDERS = 3;
/** How long writes are paused, at most, for a replica to catch up before a planned change of primary. */
const SWITCHOVER_TIMEOUT_MS = 1500;
const SWITCHOVER_CHECK_INTERVAL_MS = 20;

type TargetReport = Readonly<{target: Target; status: TargetStatus}>;

/** Queries the status of targets, after running `precedingCommand` if given; omits those that do not respond or refuse that command. */
const queryStatuses = async (context: FailoverCoordinatorContext, targets: readonly Target[], precedingCommand?: Command): Promise<readonly TargetReport[]> => {
	const deadline = createDeadline(context.runtime.now(), STATUS_TIMEOUT_MS);
	const reports = await Promise.all(targets.map(async target => {
		const status = await context.owner.queryStatus(target.id, deadline, precedingCommand);
		return status ? [{target, status}] : [];
	}));
	return reports.flat();
};

/** Ranks replicas for promotion: the longest log first, then those that are not draining. */
export const rankReplicas = (reports: readonly TargetReport[]): readonly TargetReport[] => reports.toSorted((a, b) =>
	comparePositions(b.status.received, a.status.received)
	|| Number(a.target.isDraining) - Number(b.target.isDraining)
	|| (a.target.id < b.target.id ? -1 : 1));

/** Waits until a target says that it leads; `false` if it does not in time. */
const waitUntilLeading = async (context: FailoverCoordinatorContext, target: TargetId): Promise<boolean> => {
	const {runtime, owner} = context;
	const deadline = createDeadline(runtime.now(), PROMOTION_TIMEOUT_MS);
	while (!isPast(deadline, runtime.now())) {
		if (await owner.ping(target, deadline) === 'leads') {
			return true;
		}

		await runtime.sleep(CHECK_INTERVAL_MS / 2);
	}

	return false;
};

/**
 * Queries the log positions of the replicas, ranked for promotion; an empty list if none may be promoted.
 * With synchronous replication, the replicas first stop receiving, so that the old primary can acknowledge nothing more,
 * and all of them must respond: one that is missing may be the only one with an acknowledged commit.
 */
const queryReplicas = async (context: FailoverCoordinatorContext, replicas: readonly Target[]): Promise<readonly TargetReport[]> => {
	if (!context.isSynchronouslyReplicated()) {
		return rankReplicas(await queryStatuses(context, replicas));
	}

	const initialReports = await queryStatuses(context, replicas);
	const term = Math.max(0, ...initialReports.map(({status}) => status.term), context.owner.components.positionHistory.getLatest()?.term ?? 0) + 1;
	const pausedReports = await queryStatuses(context, replicas, {kind: 'pause', term});
	if (pausedReports.length === replicas.length) {
		return rankReplicas(pausedReports);
	}

	await queryStatuses(context, replicas, {kind: 'resume'});
	return [];
};

/** Appoints a target and orders its promotion; `undefined` if the order could not be sent, as this vm may have lost its role. */
const orderPromotion = async (context: FailoverCoordinatorContext, {id}: Target, reason: string, startedAt: Instant): Promise<PromotionOutcome | undefined> => {
	const fencingToken = await context.drawFencingToken(id);
	// Drawing the token may have taken until after the end of the authority under which it was drawn.
	if (fencingToken === undefined || !context.isCoordinator()) {
		context.onEvent({
			kind: 'failed', target: id, reason: 'no fencing token, because the store did not respond or the role was lost; no replica promoted', ageMs: context.runtime.now() - startedAt,
		});
		return undefined;
	}

	context.onEvent({
		kind: 'ordered', target: id, reason: `${reason}; fencing token ${fencingToken}`, ageMs: context.runtime.now() - startedAt,
	});
	return context.requestPromotion(id, fencingToken);
};

/**
 * Orders the promotion of a target until it leads or the order is refused; `undefined` if an order could not be sent.
 * Where nothing checks the token of an order that is executed late, an order without a response is sent again to the same target,
 * as another target would be replaced by the late one.
 */
const promoteTarget = async (context: FailoverCoordinatorContext, target: Target, reason: string, startedAt: Instant): Promise<boolean | undefined> => {
	const maxOrders = context.owner.components.context.appointments.isDecisive ? MAX_UNFENCED_ORDERS : 1;
	for (let order = 0; order < maxOrders; order++) {
		const outcome = await orderPromotion(context, target, reason, startedAt);
		if (outcome === undefined) {
			return undefined;
		}

		if (outcome === 'refused') {
			return false;
		}

		if (await waitUntilLeading(context, target.id)) {
			return true;
		}
	}

	return false;
};

/** Makes a replaced primary a replica if it can be reached, where it would otherwise go on leading for a while. */
const stepDown = async (context: FailoverCoordinatorContext, replaced: Target): Promise<void> => {
	const {owner} = context;
	const term = owner.components.positionHistory.getLatest()?.term;
	if (owner.components.context.appointments.isDecisive && term !== undefined && owner.components.leaderTracker.getLeader() !== replaced.id) {
		await queryStatuses(context, [replaced], {kind: 'stepDown', term});
	}
};

/** Promotes the replicas one after another until one leads; `false` if none does. With synchronous replication, only the first is tried. */
const promoteBestReplica = async (context: FailoverCoordinatorContext, replicas: readonly Target[], reason: string): Promise<boolean> => {
	const startedAt = context.runtime.now();
	const appointed = context.owner.components.context.appointments.getAppointed();
	const ranked = await queryReplicas(context, replicas);
	// An earlier order for the appointed target may still be executed, so that target goes first.
	const reports = context.owner.components.leaderTracker.getLeader() === undefined ? ranked.toSorted((a, b) => Number(b.target.id === appointed) - Number(a.target.id === appointed)) : ranked;
	if (reports.length === 0) {
		context.onEvent({
			kind: 'failed', target: '', reason: `${reason}; no replica promoted because ${context.isSynchronouslyReplicated() ? 'at least one replica does' : 'the replicas do'} not respond`, ageMs: 0,
		});
		return false;
	}

	for (const {target} of reports) {
		const isPromoted = await promoteTarget(context, target, reason, startedAt);
		if (isPromoted === undefined) {
			return false;
		}

		if (isPromoted) {
			context.onEvent({
				kind: 'finished', target: target.id, reason, ageMs: context.runtime.now() - startedAt,
			});
			return true;
		}

		// With synchronous replication, only the longest log is certain to contain every acknowledged commit.
		if (context.isSynchronouslyReplicated()) {
			break;
		}
	}

	if (context.isSynchronouslyReplicated()) {
		await queryStatuses(context, replicas, {kind: 'resume'});
	}

	return false;
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

/** Replaces a primary that is about to leave: pauses writes until a replica has caught up, and promotes it. */
const switchOver = async (context: FailoverCoordinatorContext, leader: Target, state: PrimaryCheckState): Promise<boolean> => {
	const {runtime, owner} = context;
	const replicas = listReplicas(context, leader.id).filter(({isDraining}) => !isDraining);
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
			const [leaderReport] = await queryStatuses(context, [leader]);
			const reports = rankReplicas(await queryStatuses(context, replicas));
			const bestReport = reports[0];
			if (leaderReport && bestReport && comparePositions(bestReport.status.received, leaderReport.status.received) >= 0 && owner.components.transactions.getWriterCount() === 0) {
				break;
			}

			await runtime.sleep(SWITCHOVER_CHECK_INTERVAL_MS);
		}

		const isReplaced = await promoteBestReplica(context, context.isSynchronouslyReplicated() ? listReplicas(context, leader.id) : replicas, 'the primary is leaving');
		if (isReplaced) {
			await stepDown(context, leader);
		}

		return isReplaced;
	} finally {
		owner.pauseWrites(false);
	}
};

/** Checks the primary once; returns the reason to replace it, or `undefined`. */
const checkPrimary = async (context: FailoverCoordinatorContext, state: PrimaryCheckState): Promise<string | undefined> => {
	const {runtime, owner} = context;
	const {leaderTracker, healthTracker} = owner.components;
	const leader = leaderTracker.getLeader();
	const now = runtime.now();
	if (leader === undefined || !owner.components.getTarget(leader)) {
		state.leaderlessSince ??= now;
		const appointed = owner.components.context.appointments.getAppointed();
		if (appointed !== undefined && owner.components.getTarget(appointed) && await owner.ping(appointed, createDeadline(now, PING_AFTER_MS)) === 'leads') {
			return undefined;
		}

		return runtime.now() - state.leaderlessSince >= (state.hasSeenLeader ? LEADERLESS_GRACE_MS : UNSEEN_LEADER_GRACE_MS) ? 'no target acts as primary' : undefined;
	}

	state.leaderlessSince = undefined;
	state.hasSeenLeader = true;
	const lastResponseAt = healthTracker.getLastResponseAt(leader) ?? state.watchedSince ?? now;
	state.watchedSince ??= now;
	if (now - lastResponseAt < PING_AFTER_MS && healthTracker.isUsable(leader)) {
		state.refusingSince = undefined;
		return undefined;
	}

	const pingResult = await owner.ping(leader, createDeadline(now, PING_AFTER_MS));
	if (isPingAnswered(pingResult)) {
		state.refusingSince = undefined;
		return undefined;
	}

	state.refusingSince = pingResult === 'refused' ? state.refusingSince ?? now : undefined;
	if (state.refusingSince !== undefined && runtime.now() - state.refusingSince >= REFUSAL_GRACE_MS) {
		return 'the primary refuses connections';
	}

	const isSilent = runtime.now() - lastResponseAt >= SILENCE_TIMEOUT_MS;
	return isSilent && !await context.isReachableFromPeers(leader) ? 'the primary does not respond' : undefined;
};

/** Records which target leads if no appointment is known, as at the first start of a fleet: the primary of the highest term. */
const appointPresentLeader = async (context: FailoverCoordinatorContext): Promise<void> => {
	const reports = await queryStatuses(context, context.owner.components.listTargets());
	const [leader] = reports.filter(({status}) => status.role === 'primary').toSorted((a, b) => b.status.term - a.status.term);
	if (leader && context.isCoordinator()) {
		const fencingToken = await context.drawFencingToken(leader.target.id);
		context.onEvent({
			kind: fencingToken === undefined ? 'failed' : 'appointed', target: leader.target.id, reason: 'no appointment was recorded', ageMs: 0,
		});
	}
};

/** Monitors the primary of a database until the signal aborts; acts only while this vm holds the coordinator role. */
export const runFailoverCoordinator = async (context: FailoverCoordinatorContext, signal: AbortSignal): Promise<void> => {
	const {runtime, owner} = context;
	let state = createPrimaryCheckState();
	while (!signal.aborted) {
		await runtime.sleep(CHECK_INTERVAL_MS, signal).catch(() => undefined);
		if (!context.isCoordinator()) {
			// What was seen before this vm lost the role says nothing about the primary when it has the role again.
			state = createPrimaryCheckState();
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
		if (leaderTarget?.isDraining && await switchOver(context, leaderTarget, state)) {
			continue;
		}

		const reason = await checkPrimary(context, state);
		if (reason !== undefined && context.isCoordinator()) {
			context.onEvent({
				kind: 'started', target: leader ?? '', reason, ageMs: leader === undefined ? 0 : runtime.now() - (owner.components.healthTracker.getLastResponseAt(leader) ?? runtime.now()),
			});
			const replicas = listReplicas(context, leader);
			const stayingReplicas = replicas.filter(({isDraining}) => !isDraining);
			const isReplaced = await promoteBestReplica(context, stayingReplicas.length > 0 && !context.isSynchronouslyReplicated() ? stayingReplicas : replicas, reason);
			if (isReplaced && leaderTarget) {
				await stepDown(context, leaderTarget);
			}

			state.refusingSince = undefined;
			state.leaderlessSince = undefined;
			state.watchedSince = undefined;
		}
	}
};
