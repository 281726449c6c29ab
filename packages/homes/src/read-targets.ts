/** Which target a read goes to. */

import type {TargetId} from '@guavapitch/core';
import type {TargetLoad} from './slot-scheduler.js';

/** What is known of the targets when a read is placed. */
export type ReadContext = Readonly<{
	leader: TargetId | undefined;
	/** Tells whether a target may serve the read. */
	isEligible: (target: TargetId) => boolean;
	/** Every target of the database, free or not. */
	targetIds: readonly TargetId[];
}>;

/** Factor by which the leader's time counts for reads: writes have nowhere else to go. */
const LEADER_FACTOR = 1.5;

/** Estimates how long a statement would take at a target, in milliseconds. */
const estimateMs = (load: TargetLoad): number => load.meanMs * (1 + (load.busy / load.slots));

/**
 * Chooses the target that is likely to answer a read first.
 * The last free slot of the leader is kept for writes while another target can serve the read.
 */
export const chooseReadTarget = (free: readonly TargetLoad[], situation: ReadContext): TargetId | undefined => {
	const {leader, isEligible, targetIds: all} = situation;
	const hasFollower = all.some(id => id !== leader && isEligible(id));
	let chosen: TargetId | undefined;
	let leastMs = Number.POSITIVE_INFINITY;
	for (const load of free) {
		const isLeader = load.id === leader;
		if (!isEligible(load.id) || (isLeader && hasFollower && load.busy >= load.slots - 1)) {
			continue;
		}

		const ms = estimateMs(load) * (isLeader ? LEADER_FACTOR : 1);
		if (ms < leastMs) {
			chosen = load.id;
			leastMs = ms;
		}
	}

	return chosen;
};
