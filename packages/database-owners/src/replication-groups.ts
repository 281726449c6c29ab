/** Groups of synchronously replicated targets: who may hold the only copy of an acknowledged commit, beside the primary. */

import {
	Ok, type Failure, type Result, type TargetId,
} from '@guavapitch/core';
import {comparePositions} from '@guavapitch/sessions';
import type {RegisteredTarget, Target, TargetStatus} from './targets.js';

/** Record of a group in the store. A member is one run of a target; it stays in the record until it is shown that no commit is on it alone. */
export type GroupRecord = Readonly<{
	members: readonly RegisteredTarget[];
	/** The last runs that were removed. One that responds again, started anew without an entry, is a member again. */
	former: readonly RegisteredTarget[];
	/** Target that led when the record was written; `undefined` if none was known. */
	primary: TargetId | undefined;
}>;

/** What the store holds about a group, with every change that was completed before it was read. */
export type StoredGroup = Readonly<{
	record: GroupRecord;
	/** Revision of the record; 0 if there is none. */
	revision: number;
	/** Target that was ordered last to lead; `undefined` if none was. */
	appointed: TargetId | undefined;
	/** Targets of the database that the registry lists. */
	registered: readonly RegisteredTarget[];
	/** Targets of other databases that it lists. */
	unrelated: readonly RegisteredTarget[];
}>;

/** Access to what the store holds about one group. */
export type GroupStore = Readonly<{
	read: () => Promise<Result<StoredGroup, Failure>>;
	/** Replaces the record if it still has the given revision; resolves to whether it did. */
	write: (record: GroupRecord, revision: number) => Promise<boolean>;
}>;

/** Record of a group of which nothing is known. */
export const EMPTY_RECORD: GroupRecord = {members: [], former: [], primary: undefined};

/** Group store where replication is never synchronous. */
export const NO_GROUP_STORE: GroupStore = {
	read: async () => Ok({
		record: EMPTY_RECORD, revision: 0, appointed: undefined, registered: [], unrelated: [],
	}),
	write: async () => true,
};

/** A target and the status that it reported. */
export type TargetReport<Reporting extends RegisteredTarget = Target> = Readonly<{target: Reporting; status: TargetStatus}>;

/** Tells whether a replica receives nothing until it is resumed or promoted. */
export const isPaused = ({heldTerm, term}: TargetStatus): boolean => heldTerm > term;

/** Tells whether two descriptions denote the same target without a restart in between. */
export const isSameRun = (a: RegisteredTarget, b: RegisteredTarget): boolean => a.id === b.id && a.startedAtMs === b.startedAtMs && a.host === b.host && a.port === b.port;

/** Tells whether a target has the address of a run. */
export const isAtAddressOf = (target: RegisteredTarget, run: RegisteredTarget): boolean => target.host === run.host && target.port === run.port;

/** Merges lists of targets; of the descriptions of one run, the first is kept. */
export const mergeRuns = (...lists: ReadonlyArray<readonly RegisteredTarget[]>): readonly RegisteredTarget[] => {
	const merged: RegisteredTarget[] = [];
	for (const target of lists.flat()) {
		if (!merged.some(known => isSameRun(known, target))) {
			merged.push(target);
		}
	}

	return merged;
};

/** Tells whether a later run of the same target is among the given ones. */
export const isSuperseded = (run: RegisteredTarget, others: readonly RegisteredTarget[]): boolean => others.some(({id, startedAtMs}) => id === run.id && startedAtMs > run.startedAtMs);

/** Ranks members for promotion: the longest log first, then targets that stay and are registered, then the one that was ordered last to lead. */
export const rankMembers = (reports: ReadonlyArray<TargetReport<RegisteredTarget>>, {registered, appointed}: StoredGroup): ReadonlyArray<TargetReport<RegisteredTarget>> => {
	const rank = ({target}: TargetReport<RegisteredTarget>): number => (isPreferred(target, registered) ? 0 : 2) + (target.id === appointed ? 0 : 1);
	return reports.toSorted((a, b) => comparePositions(b.status.received, a.status.received) || rank(a) - rank(b) || (a.target.id < b.target.id ? -1 : 1));
};

/** Tells whether a target is registered and stays, so that it can lead for longer. */
export const isPreferred = (target: RegisteredTarget, registered: readonly RegisteredTarget[]): boolean => registered.some(other => isSameRun(other, target) && !other.isDraining);

/**
 * Removes runs that have ended from the members, if the rest of the group holds all that they may have confirmed.
 * `ended` had stopped before the primary reported its position, and `reports` came after that: what was acknowledged before is on one of the reporting replicas, what came later cannot be on the ended runs.
 */
export const removeEnded = (
	members: readonly RegisteredTarget[],
	ended: readonly RegisteredTarget[],
	primary: TargetStatus,
	reports: ReadonlyArray<TargetReport<RegisteredTarget>>,
): readonly RegisteredTarget[] => {
	const hasEverything = ({role, received}: TargetStatus) => role === 'replica' && received.term === primary.received.term && comparePositions(received, primary.received) >= 0;
	return primary.role === 'primary' && reports.some(({status}) => hasEverything(status))
		? members.filter(member => !ended.some(run => isSameRun(run, member)))
		: members;
};
