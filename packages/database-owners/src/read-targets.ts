/** Chooses the target of a read. */

import type {TargetId} from '@guavapitch/core';
import type {TargetLoad} from './slot-scheduler.js';

/** State of a database's targets when a read is placed. */
export type ReadContext = Readonly<{
	leader: TargetId | undefined;
	/** Tells whether a target may serve the read. */
	isEligible: (target: TargetId) => boolean;
	/** All targets of the database, whether or not they have a free slot. */
	targetIds: readonly TargetId[];
	/** Estimates the time until a connection of the customer to a target is available, in milliseconds; 0 if one is idle. */
	estimateConnectMs: (target: TargetId) => number;
}>;

/** Factor on the leader's estimated time, so that reads prefer replicas: writes can run only on the leader. */
const LEADER_FACTOR = 1.5;

/** Estimates how long a statement would take on a target, in milliseconds. */
const estimateDurationMs = (load: TargetLoad): number => load.meanMs * (1 + (load.busyCount / load.slotCount));

/**
 * Chooses the target with the shortest estimated time for a read, including that of opening a connection; `undefined` if none of the free ones is eligible.
 * The last free slot of the leader is reserved for writes while another target can serve the read.
 */
export const chooseReadTarget = (freeTargets: readonly TargetLoad[], context: ReadContext): TargetId | undefined => {
	const {leader, isEligible, targetIds, estimateConnectMs} = context;
	const hasEligibleReplica = targetIds.some(id => id !== leader && isEligible(id));
	// An idle connection to the leader is no reason to read there: the next write needs it.
	const maxConnectMs = Math.max(0, ...freeTargets.map(({id}) => estimateConnectMs(id)));
	let chosen: TargetId | undefined;
	let minMs = Number.POSITIVE_INFINITY;
	for (const load of freeTargets) {
		const isLeader = load.id === leader;
		if (!isEligible(load.id) || (isLeader && hasEligibleReplica && load.busyCount >= load.slotCount - 1)) {
			continue;
		}

		const estimatedMs = isLeader
			? (estimateDurationMs(load) * LEADER_FACTOR) + maxConnectMs
			: estimateDurationMs(load) + estimateConnectMs(load.id);
		if (estimatedMs < minMs) {
			chosen = load.id;
			minMs = estimatedMs;
		}
	}

	return chosen;
};
