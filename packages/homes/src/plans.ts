/** Where a statement may run, and which position it must see there. */

import {
	createDeadline, type Deadline, type TargetId,
} from '@guavapitch/core';
import {
	chooseLaterPosition, getAccess, type StatementRequest, type LogPosition,
} from '@guavapitch/sessions';
import {chooseReadTarget} from './read-targets.js';
import type {SharedComponents} from './database-owner.js';
import type {TargetLoad} from './slot-scheduler.js';

/** How a statement or a transaction is to be placed. */
export type Plan
	/** At the leader; `proves` tells whether the statement itself is refused elsewhere. */
	= | Readonly<{kind: 'leader'; isWrite: boolean}>
	/** At any target that holds a position. */
		| Readonly<{kind: 'anywhere'; after: LogPosition}>;

/** Reserve for the time between computing a floor and running the read, in milliseconds; the read itself counts from its first byte, which is earlier. */
const STALENESS_MARGIN_MS = 100;

/** Waiting for a leader to appear, in milliseconds: longer than reconnecting takes, shorter than a promotion. */
const LEADER_WAIT_MS = 250;

/** Makes the plan of a statement that may run anywhere once its floor is known; `undefined` if no leader proves a position in time. */
const createFloorPlan = async (parts: SharedComponents, request: StatementRequest, maxStalenessMs: number, deadline: Deadline): Promise<Plan | undefined> => {
	const {positionHistory: floors, context} = parts;
	const allowedMs = Math.max(0, maxStalenessMs - STALENESS_MARGIN_MS);
	let base = floors.getMinimumPosition(allowedMs, context.readClock());
	if (!base) {
		await parts.verifyPosition(deadline);
		base = floors.getMinimumPosition(allowedMs, context.readClock());
	}

	const after = base && chooseLaterPosition(base, floors.translateToLatestTerm(request.floor));
	return after && {kind: 'anywhere', after};
};

/** Makes the plan of a statement outside a transaction, or of a transaction's begin. */
export const createPlan = async (parts: SharedComponents, request: StatementRequest, deadline: Deadline): Promise<Plan | undefined> => {
	const isReadOnly = request.transaction ? request.transaction.readOnly : getAccess(request.statement) === 'read';
	if (!isReadOnly || request.consistency.kind === 'latest') {
		return {kind: 'leader', isWrite: !isReadOnly};
	}

	return createFloorPlan(parts, request, request.consistency.maxStalenessMs, deadline);
};

/** A search for a target. */
export type Search = Readonly<{plan: Plan; request: StatementRequest; tried: ReadonlySet<TargetId>}>;

/** Chooses a target with a free slot for a plan; the `tried` ones come last. */
export const chooseTarget = (parts: SharedComponents, {plan, request, tried}: Search, free: readonly TargetLoad[]): TargetId | undefined => {
	const {leaderTracker: leadership, healthTracker: reach, getConnections, getTarget} = parts;
	const leader = leadership.getLeader();
	const hasRoom = (id: TargetId): boolean => reach.isUsable(id) && (getConnections(id)?.canAcquire(request.customer) ?? false);
	if (plan.kind === 'leader') {
		const mayGo = leader !== undefined && !(plan.isWrite && parts.areWritesPaused()) && hasRoom(leader);
		return mayGo ? free.find(load => load.id === leader)?.id : undefined;
	}

	const isEligible = (id: TargetId): boolean => hasRoom(id)
		&& !tried.has(id)
		&& (id === leader || reach.isCaughtUp(id))
		&& (getTarget(id)?.isDraining === false || id === leader);
	return chooseReadTarget(free, {leader, isEligible, targetIds: parts.listTargets().map(({id}) => id)});
};

/** Computes until when a request may wait for a slot. */
export const computeSlotDeadline = (parts: SharedComponents, plan: Plan, deadline: Deadline): Deadline => {
	const {leaderTracker: leadership, healthTracker: reach, context} = parts;
	const leader = leadership.getLeader();
	const now = context.world.now();
	const hasLeader = leader !== undefined && reach.isUsable(leader);
	return plan.kind === 'leader' && !hasLeader
		? Math.min(deadline, createDeadline(now, LEADER_WAIT_MS)) as Deadline
		: deadline;
};
