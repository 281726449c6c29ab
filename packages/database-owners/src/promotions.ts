/** Orders of promotions, and the choice of a replica where commits are acknowledged without one. */

import {
	createDeadline, isPast, type DatabaseId, type Deadline, type Instant, type TargetId, type Runtime,
} from '@guavapitch/core';
import {comparePositions} from '@guavapitch/sessions';
import type {DatabaseOwner} from './database-owner.js';
import type {GroupStore, TargetReport} from './replication-groups.js';
import type {Command, RegisteredTarget, Target} from './targets.js';

/** Outcome of a request to promote a target. */
export type PromotionOutcome
	/** The request was carried out. */
	= 'done'
	/** The request was refused because of a newer fencing token, or because the target is not running. */
		| 'refused'
	/** The request got no response; it may still be carried out. */
		| 'unknown';

/** A step in a change of primary, for the logs and metrics; `appointed` tells that the present primary was recorded, `ordered` that a promotion is requested, `membersChanged` that the record of a group with synchronous replication was written. */
export type FailoverCoordinatorEvent = Readonly<{
	kind: 'started' | 'appointed' | 'ordered' | 'finished' | 'failed' | 'membersChanged' | 'resumed';
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
	requestPromotion: (target: RegisteredTarget, fencingToken: number) => Promise<PromotionOutcome>;
	/** Asks other vms whether any of them reaches a target that this vm does not reach. */
	isReachableFromPeers: (target: TargetId) => Promise<boolean>;
	/** Tells whether commits are acknowledged only once a replica has them. */
	isSynchronouslyReplicated: () => boolean;
	groupStore: GroupStore;
	onEvent: (event: FailoverCoordinatorEvent) => void;
}>;

/** Timeout of the status queries before a promotion. */
export const STATUS_TIMEOUT_MS = 300;
/** How long a target may take to prove that it leads after the request: several times the duration of a promotion. */
const PROMOTION_TIMEOUT_MS = 3000;
const LEADING_CHECK_INTERVAL_MS = 50;
/** Number of orders to one target, where late orders are not fenced, before another one is tried. */
const MAX_UNFENCED_ORDERS = 3;

/** Queries the status of targets, after running `precedingCommand` if given; omits those that do not respond or refuse that command. */
export const requestStatuses = async (context: FailoverCoordinatorContext, targets: readonly Target[], precedingCommand?: Command): Promise<readonly TargetReport[]> => {
	const deadline = createDeadline(context.runtime.now(), STATUS_TIMEOUT_MS);
	const reports = await Promise.all(targets.map(async target => {
		const status = await context.owner.queryStatus(target, deadline, precedingCommand);
		return status.ok ? [{target, status: status.val}] : [];
	}));
	return reports.flat();
};

/** Ranks replicas for promotion: the longest log first, then those that are not draining. */
export const rankReplicas = (reports: readonly TargetReport[]): readonly TargetReport[] => reports.toSorted((a, b) =>
	comparePositions(b.status.received, a.status.received)
	|| Number(a.target.isDraining) - Number(b.target.isDraining)
	|| (a.target.id < b.target.id ? -1 : 1));

/** Tells whether a target says that it leads; one that the registry does not list is asked where it was last. */
const isLeading = async ({owner}: FailoverCoordinatorContext, target: RegisteredTarget, deadline: Deadline): Promise<boolean> => {
	if (owner.components.getTarget(target.id)) {
		return await owner.ping(target.id, deadline) === 'leads';
	}

	const status = await owner.queryStatus(target, deadline);
	return status.ok && status.val.role === 'primary';
};

/** Waits until a target says that it leads; `false` if it does not in time. */
export const waitUntilLeading = async (context: FailoverCoordinatorContext, target: RegisteredTarget): Promise<boolean> => {
	const {runtime} = context;
	const deadline = createDeadline(runtime.now(), PROMOTION_TIMEOUT_MS);
	while (!isPast(deadline, runtime.now())) {
		if (await isLeading(context, target, deadline)) {
			return true;
		}

		await runtime.sleep(LEADING_CHECK_INTERVAL_MS);
	}

	return false;
};

/** An order to promote a target: why, and when the change of primary began. */
export type PromotionOrder = Readonly<{target: RegisteredTarget; reason: string; startedAt: Instant}>;

/** Appoints a target and orders its promotion; `undefined` if no order was sent, because the role may be lost or `mayOrder` does not hold once the target is appointed. */
export const requestOrder = async (context: FailoverCoordinatorContext, {target, reason, startedAt}: PromotionOrder, mayOrder: () => Promise<boolean>): Promise<PromotionOutcome | undefined> => {
	const fencingToken = await context.drawFencingToken(target.id);
	// Drawing the token may have taken until after the end of the authority under which it was drawn.
	if (fencingToken === undefined || !await mayOrder() || !context.isCoordinator()) {
		context.onEvent({
			kind: 'failed', target: target.id, reason: 'no order was sent: the store did not respond, the role was lost or the replicas changed', ageMs: context.runtime.now() - startedAt,
		});
		return undefined;
	}

	context.onEvent({
		kind: 'ordered', target: target.id, reason: `${reason}; fencing token ${fencingToken}`, ageMs: context.runtime.now() - startedAt,
	});
	return context.requestPromotion(target, fencingToken);
};

/**
 * Orders the promotion of a target until it leads or the order is refused; `undefined` if an order could not be sent.
 * Where nothing checks the token of an order that is executed late, an order without a response is sent again to the same target,
 * as another target would be replaced by the late one.
 */
const promoteTarget = async (context: FailoverCoordinatorContext, order: PromotionOrder): Promise<boolean | undefined> => {
	const maxOrders = context.owner.components.context.appointments.isDecisive ? MAX_UNFENCED_ORDERS : 1;
	for (let count = 0; count < maxOrders; count++) {
		const outcome = await requestOrder(context, order, async () => true);
		if (outcome === undefined) {
			return undefined;
		}

		if (outcome === 'refused') {
			return false;
		}

		if (await waitUntilLeading(context, order.target)) {
			return true;
		}
	}

	return false;
};

/** Promotes the replicas one after another until one leads; `false` if none does. */
export const promoteBestReplica = async (context: FailoverCoordinatorContext, replicas: readonly Target[], reason: string): Promise<boolean> => {
	const startedAt = context.runtime.now();
	const appointed = context.owner.components.context.appointments.getAppointed();
	const ranked = rankReplicas(await requestStatuses(context, replicas));
	// An earlier order for the appointed target may still be executed, so that target goes first.
	const reports = context.owner.components.leaderTracker.getLeader() === undefined ? ranked.toSorted((a, b) => Number(b.target.id === appointed) - Number(a.target.id === appointed)) : ranked;
	if (reports.length === 0) {
		context.onEvent({
			kind: 'failed', target: '', reason: `${reason}; no replica promoted because the replicas do not respond`, ageMs: 0,
		});
		return false;
	}

	for (const {target} of reports) {
		// The data centre may have been evacuated since the first attempt.
		if (context.owner.components.getTarget(target.id)?.isEvacuated) {
			continue;
		}

		const isPromoted = await promoteTarget(context, {target, reason, startedAt});
		if (isPromoted === undefined) {
			return false;
		}

		if (isPromoted) {
			context.onEvent({
				kind: 'finished', target: target.id, reason, ageMs: context.runtime.now() - startedAt,
			});
			return true;
		}
	}

	return false;
};
