/** Plans where a statement may run and which log position it must see there. */

import {
	chooseEarliest, createDeadline, NEVER, type Deadline, type TargetId,
} from '@guavapitch/core';
import {
	chooseLaterPosition, getAccess, type StatementRequest, type LogPosition,
} from '@guavapitch/sessions';
import {chooseReadTarget} from './read-targets.js';
import type {SharedComponents} from './database-owner.js';
import type {TargetLoad} from './slot-scheduler.js';

/** Placement constraint of a statement or a transaction. */
export type Plan
	/** On the leader. If `isWrite`, a target that is not the leader refuses the statement, so a proof that it leads is not needed. */
	= | Readonly<{kind: 'leader'; isWrite: boolean}>
	/** On any target whose log has reached a position. */
		| Readonly<{kind: 'anywhere'; after: LogPosition}>;

/** Margin for the time between computing the minimum position and running the read, in milliseconds. The caller measures staleness from the first byte of its request, which is earlier still. */
const STALENESS_MARGIN_MS = 100;

/** How long a request waits for a leader, or for any target, to appear: longer than reconnecting takes, shorter than a promotion. */
const MAX_TARGET_WAIT_MS = 250;

/** Creates the plan of a read that may run on any target once its minimum position is known; `undefined` if no leader confirms a position in time. */
const createBoundedStalenessPlan = async (components: SharedComponents, request: StatementRequest, maxStalenessMs: number, deadline: Deadline): Promise<Plan | undefined> => {
	const {positionHistory, context} = components;
	const allowedMs = Math.max(0, maxStalenessMs - STALENESS_MARGIN_MS);
	const known = request.verified && request.verified.ageMs <= allowedMs ? positionHistory.translateToLatestTerm(request.verified.position) : undefined;
	let verifiedPosition = positionHistory.getMinimumPosition(allowedMs, context.readSuspensionClock()) ?? known;
	const leader = components.leaderTracker.getLeader();
	if (!verifiedPosition && (leader === undefined || components.isReachable(leader))) {
		await components.verifyPosition(deadline);
		verifiedPosition = positionHistory.getMinimumPosition(allowedMs, context.readSuspensionClock());
	}

	const after = verifiedPosition && chooseLaterPosition(verifiedPosition, positionHistory.translateToLatestTerm(request.floor));
	return after && {kind: 'anywhere', after};
};

/** Creates the plan of a statement outside a transaction, or of the begin of a transaction; `undefined` if no leader confirms a position in time. */
export const createPlan = async (components: SharedComponents, request: StatementRequest, deadline: Deadline): Promise<Plan | undefined> => {
	const isReadOnly = request.transaction ? request.transaction.readOnly : getAccess(request.statement) === 'read';
	if (!isReadOnly || request.consistency.kind === 'latest') {
		return {kind: 'leader', isWrite: !isReadOnly};
	}

	return createBoundedStalenessPlan(components, request, request.consistency.maxStalenessMs, deadline);
};

/** Criteria for choosing a target; `tried` are the targets on which this request has already failed. */
export type TargetCriteria = Readonly<{plan: Plan; request: StatementRequest; tried: ReadonlySet<TargetId>}>;

/** Chooses a target with a free slot for a plan; `undefined` if none can run it now. Targets in `tried` get no reads. */
export const chooseTarget = (components: SharedComponents, {plan, request, tried}: TargetCriteria, freeTargets: readonly TargetLoad[]): TargetId | undefined => {
	const {leaderTracker, healthTracker, getConnections, getTarget} = components;
	const leader = leaderTracker.getLeader();
	const canAcquire = (id: TargetId): boolean => healthTracker.isUsable(id) && components.isReachable(id) && (getConnections(id)?.canAcquire(request.customer) ?? false);
	if (plan.kind === 'leader') {
		const canRun = leader !== undefined && components.getAcceptingMs(leader) > 0 && !(plan.isWrite && components.areWritesPaused()) && canAcquire(leader);
		return canRun ? freeTargets.find(load => load.id === leader)?.id : undefined;
	}

	const isEligible = (id: TargetId): boolean => canAcquire(id)
		&& !tried.has(id)
		&& (id === leader || healthTracker.isCaughtUp(id))
		&& (getTarget(id)?.isDraining === false || (id === leader && components.getAcceptingMs(id) > 0));
	const estimateConnectMs = (id: TargetId): number => getConnections(id)?.estimateConnectMs(request.customer) ?? 0;
	return chooseReadTarget(components.targetPaces.filterReadTargets(freeTargets, {request, isEligible, estimateConnectMs}), {
		leader,
		isEligible,
		targetIds: components.listTargets().map(({id}) => id),
		estimateConnectMs,
	});
};

/** Returns how long a request with this plan may still begin on any known target, in milliseconds; infinite unless all that could run it are leaving, or none is known. */
export const getPlanAcceptingMs = (components: SharedComponents, plan: Plan): number => {
	const leader = components.leaderTracker.getLeader();
	const targets = components.listTargets();
	if (targets.length === 0 || (plan.kind === 'leader' && leader === undefined)) {
		return Number.POSITIVE_INFINITY;
	}

	const candidates = targets.filter(({id, isDraining}) => id === leader || (plan.kind === 'anywhere' && !isDraining));
	return Math.max(0, ...candidates.map(({id}) => components.getAcceptingMs(id)));
};

/** Computes until when a request waits for a slot: it is refused early if no target is registered or it needs a leader and none is usable, and once all targets that could run it are leaving and accept no new work. */
export const computeSlotDeadline = (components: SharedComponents, plan: Plan, deadline: Deadline): Deadline => {
	const {leaderTracker, healthTracker, context} = components;
	const leader = leaderTracker.getLeader();
	const now = context.runtime.now();
	const hasTarget = plan.kind === 'leader' ? leader !== undefined && healthTracker.isUsable(leader) : components.listTargets().some(({id}) => components.isReachable(id));
	return chooseEarliest([
		deadline,
		createDeadline(now, getPlanAcceptingMs(components, plan)),
		hasTarget ? NEVER : createDeadline(now, MAX_TARGET_WAIT_MS),
	]);
};
