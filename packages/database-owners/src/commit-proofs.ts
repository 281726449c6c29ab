/**
 * Proofs that no promotion can remove a commit which its target confirmed, in a group with synchronous replication.
 *
 * A target that joins or starts again while an order to promote another one is being executed confirms commits of the old primary,
 * which the promoted target lacks. The target's confirmation is therefore passed on only if no order was recorded until after it,
 * so that the coordinator still compares every replica that may have confirmed the commit, or if every member has the commit.
 */

import {
	createSingleFlight, isPast, type Deadline, type Result, type Runtime, type TargetId,
} from '@guavapitch/core';
import {comparePositions, type LogPosition} from '@guavapitch/sessions';
import type {Appointments} from './appointments.js';
import {mergeRuns} from './replication-groups.js';
import type {RegisteredTarget, TargetStatus} from './targets.js';

/** A synchronously replicated group, as this vm knows it. */
export type KnownGroup = Readonly<{
	/** Recorded appointments, which here only prove commits: the targets refuse work themselves once they were replaced. */
	appointments: Appointments;
	/** Recorded members; empty if no record is known. */
	members: readonly RegisteredTarget[];
}>;

/** Proof for a commit that is about to be sent to a target. */
export type CommitProof = Readonly<{
	/** Resolves to whether a commit that the target has confirmed up to a log position may be acknowledged; waits until the deadline at most for the members to receive it. */
	confirm: (position: LogPosition | undefined, deadline: Deadline) => Promise<boolean>;
}>;

/** Proofs of commits for one database. */
export type CommitProofs = Readonly<{start: (target: TargetId) => CommitProof}>;

/** Dependencies of the proofs of commits. */
export type CommitProofsContext = Readonly<{
	runtime: Runtime;
	/** Returns the group; `undefined` where the confirmation of the target is proof enough. */
	getKnownGroup: () => KnownGroup | undefined;
	/** Lists the targets of the database that count as registered. */
	listTargets: () => readonly RegisteredTarget[];
	/** Queries the status of a target. */
	queryStatus: (target: RegisteredTarget) => Promise<Result<TargetStatus, unknown>>;
}>;

/** Interval between queries of members that lack a commit, in milliseconds; replication usually takes tens of milliseconds. */
const MEMBER_CHECK_INTERVAL_MS = 20;

const CERTAIN_COMMIT: CommitProof = {confirm: async () => true};

/** Tells whether a replica has the log of the primary up to a position; positions of different terms may belong to different logs. */
const hasReceived = ({role, received}: TargetStatus, position: LogPosition): boolean => role === 'replica' && received.term === position.term && comparePositions(received, position) >= 0;

/** Creates the proofs of commits for a database owner. */
export const createCommitProofs = (context: CommitProofsContext): CommitProofs => {
	const {runtime, getKnownGroup, listTargets, queryStatus} = context;

	/** Queries every member; one request to each serves all proofs that wait. */
	const queryMembers = createSingleFlight(async () => {
		const members = mergeRuns(listTargets(), getKnownGroup()?.members ?? []);
		return Promise.all(members.map(async target => ({target, result: await queryStatus(target)})));
	});

	/** Waits until every member but the primary has the log up to a position: whichever of them is promoted then has the commit. */
	const waitForMembers = async (primary: TargetId, position: LogPosition, deadline: Deadline): Promise<boolean> => {
		while (!isPast(deadline, runtime.now()) && (getKnownGroup()?.members.length ?? 0) > 0) {
			const replicas = (await queryMembers()).filter(({target}) => target.id !== primary);
			if (replicas.length > 0 && replicas.every(({result}) => result.ok && hasReceived(result.val, position))) {
				return true;
			}

			await runtime.sleep(MEMBER_CHECK_INTERVAL_MS);
		}

		return false;
	};

	return {
		start(target) {
			const group = getKnownGroup();
			if (!group) {
				return CERTAIN_COMMIT;
			}

			const leadProof = group.appointments.startProof(target);
			return {
				async confirm(position, deadline) {
					const check = group.appointments.canConfirm() ? await leadProof.check() : 'unreadable';
					return check === 'unchanged' || (check === 'unreadable' && position !== undefined && waitForMembers(target, position, deadline));
				},
			};
		},
	};
};
