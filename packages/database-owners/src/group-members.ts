/** Keeps the record of the members of a synchronously replicated group: every run of a target that may hold the only copy of an acknowledged commit beside the primary. */

import {
	createDeadline, isPast, PAST, type Deadline, type Instant,
} from '@guavapitch/core';
import {filterReports, requestMemberStatuses, waitForCatchUp} from './member-statuses.js';
import type {FailoverCoordinatorContext} from './promotions.js';
import {
	isAtAddressOf, isSameRun, isSuperseded, mergeRuns, removeEnded, type GroupRecord, type StoredGroup,
} from './replication-groups.js';
import type {RegisteredTarget} from './targets.js';

/** Members of a group, as a coordinator knows them since it took the role. */
export type GroupMembers = Readonly<{
	/** Returns the record as this vm last read or wrote it; `undefined` if it has not. */
	getRecord: () => GroupRecord | undefined;
	/** Returns every run that may be a member, those that the registry lists first. */
	listMembers: (stored: StoredGroup) => readonly RegisteredTarget[];
	/** Returns removed runs of targets that are not registered now; those that respond have started again. */
	listFormer: (stored: StoredGroup) => readonly RegisteredTarget[];
	/** Adds targets that have registered to the record, and those that have returned. */
	record: (stored: StoredGroup, returned: readonly RegisteredTarget[]) => Promise<void>;
	/** Records new members as soon as they are known. */
	keepCurrent: () => Promise<void>;
	/** Adds former members that are back, and removes those that have ended, given the target that leads. */
	review: (leader: RegisteredTarget) => Promise<void>;
}>;

/** Interval between attempts to write the record after a failure, in milliseconds. */
const RETRY_INTERVAL_MS = 1000;
/** How long an unregistered member must refuse connections until its run counts as ended: a restart of its listener is not an end. */
const ENDED_AFTER_REFUSING_MS = 2000;
/** Number of removed runs that are still asked whether they are back. */
const MAX_FORMER_MEMBERS = 8;

/** Creates the members of a group for a vm that has just become its coordinator. */
export const createGroupMembers = (context: FailoverCoordinatorContext): GroupMembers => {
	const {runtime, owner, groupStore} = context;
	const {leaderTracker, listTargets} = owner.components;
	let recorded: GroupRecord | undefined;
	let nextRecordingAt: Deadline = PAST;
	const refusingSince = new Map<string, Instant>();

	const writeRecord = async (record: GroupRecord, revision: number, reason: string): Promise<void> => {
		if (context.isCoordinator() && await groupStore.write(record, revision)) {
			recorded = record;
			context.onEvent({
				kind: 'membersChanged', target: record.members.map(({id}) => id).join(' '), reason, ageMs: 0,
			});
		}
	};

	/** Adds targets that have registered to the record, and the target that leads if it is known: one that was seen once may later confirm commits without an entry. */
	const recordMembers = async ({record, revision, registered}: StoredGroup, returned: readonly RegisteredTarget[]): Promise<void> => {
		const members = mergeRuns(registered, listTargets(), record.members, recorded?.members ?? [], returned);
		const former = record.former.filter(run => !members.some(member => isSameRun(member, run)));
		const primary = leaderTracker.getLeader() ?? record.primary;
		if (members.length > record.members.length || record.primary !== primary) {
			await writeRecord({members, former, primary}, revision, 'a target registered or is back, or another one leads');
		} else {
			recorded = record;
		}
	};

	/** Lists removed runs of targets that are not registered now; those that respond have started again. */
	const listFormer = ({record, registered}: StoredGroup): readonly RegisteredTarget[] => record.former
		.filter(run => !registered.some(({id}) => id === run.id) && !record.members.some(member => isSameRun(member, run)));

	/** Lists every run that may be a member, those that the registry lists first. */
	const listMembers = (stored: StoredGroup): readonly RegisteredTarget[] => mergeRuns(stored.registered, listTargets(), stored.record.members, recorded?.members ?? []);

	/**
	 * Returns the runs that have certainly ended, of members that the registry does not list: another registered target has their address,
	 * they have started again, or nothing accepts connections there. An unknown target at their address may be their successor, which has their log.
	 */
	const findEnded = async (members: readonly RegisteredTarget[], {registered, unrelated}: StoredGroup): Promise<readonly RegisteredTarget[]> => {
		const results = await requestMemberStatuses(context, members);
		return results.filter(({target, result}) => {
			const run = `${target.id} ${target.startedAtMs}`;
			const isRefusing = result.err && result.val.code === 'refused';
			const since = isRefusing ? refusingSince.get(run) ?? runtime.now() : undefined;
			if (since === undefined) {
				refusingSince.delete(run);
			} else {
				refusingSince.set(run, since);
			}

			return isSuperseded(target, listTargets())
				|| (result.err && result.val.code === 'misrouted' && [...registered, ...unrelated].some(other => isAtAddressOf(other, target)))
				|| (since !== undefined && runtime.now() - since >= ENDED_AFTER_REFUSING_MS);
		}).map(({target}) => target);
	};

	/** Adds former members that are back. */
	const restoreFormer = async (): Promise<void> => {
		const former = recorded?.former.filter(run => !listTargets().some(({id}) => id === run.id)) ?? [];
		const returned = filterReports(await requestMemberStatuses(context, former)).map(({target}) => target);
		const stored = returned.length > 0 ? await groupStore.read() : undefined;
		if (stored?.ok) {
			await recordMembers(stored.val, returned);
		}
	};

	/** Removes members that have ended. */
	const removeEndedMembers = async (leader: RegisteredTarget): Promise<void> => {
		const before = await groupStore.read();
		if (before.err) {
			return;
		}

		const ended = await findEnded(before.val.record.members.filter(member => !listTargets().some(target => isSameRun(target, member))), before.val);
		if (ended.length === 0) {
			return;
		}

		const [primaryReport] = filterReports(await requestMemberStatuses(context, [leader]));
		const reports = primaryReport ? await waitForCatchUp(context, listTargets().filter(({id}) => id !== leader.id), primaryReport.status.received) : [];
		const stored = await groupStore.read();
		if (!primaryReport || stored.err) {
			return;
		}

		const {record, revision} = stored.val;
		const members = removeEnded(record.members, ended, primaryReport.status, reports);
		if (members.length < record.members.length) {
			const former = [...record.former, ...record.members.filter(member => !members.includes(member))].slice(-MAX_FORMER_MEMBERS);
			await writeRecord({members, former, primary: leader.id}, revision, 'runs have ended, and the replicas have all that they may have confirmed');
		}
	};

	const isRecordCurrent = (): boolean => recorded !== undefined
		&& recorded.primary === (leaderTracker.getLeader() ?? recorded.primary)
		&& listTargets().every(target => recorded?.members.some(member => isSameRun(member, target)));

	/** Records new members as soon as they are known; after a failure, once in each interval. */
	const keepRecordCurrent = async (): Promise<void> => {
		if (isRecordCurrent() || !isPast(nextRecordingAt, runtime.now())) {
			return;
		}

		const stored = await groupStore.read();
		if (stored.ok) {
			await recordMembers(stored.val, []);
		}

		nextRecordingAt = isRecordCurrent() ? PAST : createDeadline(runtime.now(), RETRY_INTERVAL_MS);
	};

	return {
		getRecord: () => recorded,
		listMembers,
		listFormer,
		record: recordMembers,
		keepCurrent: keepRecordCurrent,
		async review(leader) {
			await restoreFormer();
			if (recorded?.members.some(member => !listTargets().some(target => isSameRun(target, member)))) {
				await removeEndedMembers(leader);
			}
		},
	};
};
