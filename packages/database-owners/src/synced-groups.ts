/**
 * Changes of the primary where a commit is acknowledged once one replica has received it, so that any replica may hold the only copy beside the primary.
 *
 * A replica is promoted only after every member of the group has stopped to receive and been compared, or has been shown to hold no commit alone.
 * While an order may still be carried out, the replicas stay paused, and the same target is ordered again: an order to another target could replace it
 * after it has acknowledged commits of its own.
 */

import {
	createDeadline, Err, getRemainingMs, isPast, Ok, PAST, type Deadline, type Failure, type Instant, type Result, type TargetId,
} from '@guavapitch/core';
import {comparePositions, type LogPosition} from '@guavapitch/sessions';
import type {StatusFailure} from './database-owner.js';
import {
	requestOrder, STATUS_TIMEOUT_MS, waitUntilLeading, type FailoverCoordinatorContext,
} from './promotions.js';
import {
	isAtAddressOf, isPaused, isPreferred, isSameRun, isSuperseded, mergeRuns, rankMembers, removeEnded, type GroupRecord, type StoredGroup, type TargetReport,
} from './replication-groups.js';
import type {Command, RegisteredTarget, TargetStatus} from './targets.js';

/** A change of primary; `primary` is the target that leads or led last, if it is known. It is `planned` if that target still works. */
export type SyncedPromotion = Readonly<{primary: TargetId | undefined; reason: string; isPlanned: boolean}>;

/** The group of a database with synchronous replication, as its coordinator sees it since it took the role. */
export type SyncedGroup = Readonly<{
	/** Keeps the record of the members up to date and resumes replicas that were left paused; resolves to `true` if a change of primary must be carried on, as its order may still be executed. */
	check: () => Promise<boolean>;
	/** Promotes the member with the longest log; resolves to whether it leads. */
	promote: (promotion: SyncedPromotion) => Promise<boolean>;
}>;

/** Interval between checks of a group that does not change. */
const CHECK_INTERVAL_MS = 1000;
/** How long an unregistered member must refuse connections until its run counts as ended: a restart of its listener is not an end. */
const ENDED_AFTER_REFUSING_MS = 2000;
/** Time after which an order without a response is no longer expected to be executed; that may happen seconds later. */
const MAX_ORDER_DELAY_MS = 30_000;
/** How long replicas that should lead may take to receive what the paused ones have, while the primary works; replication usually takes tens of milliseconds. */
const CATCH_UP_TIMEOUT_MS = 1000;
const CATCH_UP_CHECK_INTERVAL_MS = 20;
/** Time after which commands of an earlier coordinator no longer arrive at a target, in milliseconds: several times their timeout. One that resumed a replica late would undo a pause. */
const LATE_COMMAND_MS = 1000;
/** Interval between looks for members that register while an order is being executed. */
const JOIN_CHECK_INTERVAL_MS = 50;
/** Number of removed runs that are still asked whether they are back. */
const MAX_FORMER_MEMBERS = 8;
/** Number of times that members which have just registered are paused too before a change of primary is given up. */
const MAX_PAUSE_ROUNDS = 4;

type MemberReport = TargetReport<RegisteredTarget>;
type MemberResult = Readonly<{target: RegisteredTarget; result: Result<TargetStatus, StatusFailure>}>;
type GroupFailure = Failure<'memberMissing' | 'otherPrimary'>;
type PausedGroup = Readonly<{reports: readonly MemberReport[]; stored: StoredGroup}>;

const listReports = (results: readonly MemberResult[]): readonly MemberReport[] => results.flatMap(({target, result}) => result.ok ? [{target, status: result.val}] : []);

/** Creates the group of a database for a vm that has just become its coordinator. */
export const createSyncedGroup = (context: FailoverCoordinatorContext): SyncedGroup => {
	const {runtime, owner, groupStore} = context;
	const {leaderTracker, listTargets} = owner.components;
	const commandsSettledAt = createDeadline(runtime.now(), LATE_COMMAND_MS);
	let recorded: GroupRecord | undefined;
	let nextCheckAt: Deadline = PAST;
	/** Until when an order without a response may be executed. */
	let outstandingUntil: Deadline = PAST;
	/** Whether it is known whether an earlier coordinator left an order that may still be executed. */
	let hasFoundOrders = false;
	const refusingSince = new Map<string, Instant>();

	const reportFailure = (reason: string) => {
		context.onEvent({
			kind: 'failed', target: '', reason, ageMs: 0,
		});
	};

	const query = async (targets: readonly RegisteredTarget[], precedingCommand?: Command): Promise<readonly MemberResult[]> => {
		const deadline = createDeadline(runtime.now(), STATUS_TIMEOUT_MS);
		return Promise.all(targets.map(async target => ({target, result: await owner.queryStatus(target, deadline, precedingCommand)})));
	};

	/** Lists every run that may be a member, those that the registry lists first. */
	const listMembers = (stored: StoredGroup): readonly RegisteredTarget[] => mergeRuns(stored.registered, listTargets(), stored.record.members, recorded?.members ?? []);

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

	/**
	 * Finds out once, from replicas that were left paused, whether an earlier coordinator has sent an order that may still be executed:
	 * orders are sent, and replicas resumed, only by the holder of the role.
	 */
	const findOrders = (stored: StoredGroup, results: readonly MemberResult[]) => {
		if (hasFoundOrders) {
			return;
		}

		const hasPaused = listReports(results).some(({status}) => isPaused(status));
		hasFoundOrders = hasPaused || results.every(({result}) => result.ok);
		if (hasPaused && stored.appointed !== undefined && stored.appointed !== leaderTracker.getLeader()) {
			outstandingUntil = createDeadline(runtime.now(), MAX_ORDER_DELAY_MS);
		}
	};

	const mayResume = (): boolean => hasFoundOrders && isPast(outstandingUntil, runtime.now()) && context.isCoordinator();

	const resume = async (members: readonly RegisteredTarget[], reason: string): Promise<void> => {
		if (members.length > 0 && mayResume()) {
			await query(members, {kind: 'resume'});
			context.onEvent({
				kind: 'resumed', target: members.map(({id}) => id).join(' '), reason, ageMs: 0,
			});
		}
	};

	/**
	 * Queries every member that must be paused and is not yet: all but the primary, and that too if it says that it is a replica.
	 * Fails if one of them cannot be asked, or leads.
	 */
	const queryUnpaused = async (stored: StoredGroup, primary: TargetId | undefined, paused: readonly MemberReport[]): Promise<Result<readonly MemberReport[], GroupFailure>> => {
		const runs = listMembers(stored).filter(run => !paused.some(({target}) => isSameRun(target, run)));
		const [memberResults, formerResults] = await Promise.all([query(runs), query(listFormer(stored))]);
		const results = [...memberResults, ...formerResults.filter(({target, result}) => result.ok && !paused.some(report => isSameRun(report.target, target)))];
		findOrders(stored, results.filter(({target}) => target.id !== primary));
		const lost = results.find(({target, result}) => target.id !== primary && (result.err || isSuperseded(target, runs)));
		if (lost) {
			const cause = lost.result.err ? lost.result.val.message : 'it has started again since';
			return Err({code: 'memberMissing', message: `${lost.target.id} may hold acknowledged commits and cannot be asked: ${cause}`});
		}

		const reports = listReports(results).filter(({target, status}) => target.id !== primary || status.role === 'replica');
		const other = reports.find(({status}) => status.role === 'primary');
		return other ? Err({code: 'otherPrimary', message: `${other.target.id} leads`}) : Ok(reports);
	};

	/** Pauses members that have reported their status; fails if one does not confirm it. */
	const pause = async (reports: readonly MemberReport[], term: number): Promise<Result<readonly MemberReport[], GroupFailure>> => {
		const results = context.isCoordinator() ? await query(reports.map(({target}) => target), {kind: 'pause', term}) : [];
		return results.length === reports.length && results.every(({result}) => result.ok)
			? Ok(listReports(results))
			: Err({code: 'memberMissing', message: 'a replica did not stop receiving, or the role was lost'});
	};

	/** Waits until one of the targets has received the log up to a position, or the time is up; returns the last reports. */
	const waitForCatchUp = async (targets: readonly RegisteredTarget[], position: LogPosition): Promise<readonly MemberReport[]> => {
		const deadline = createDeadline(runtime.now(), CATCH_UP_TIMEOUT_MS);
		let reports = listReports(await query(targets));
		while (targets.length > 0 && !isPast(deadline, runtime.now()) && !reports.some(({status}) => comparePositions(status.received, position) >= 0)) {
			await runtime.sleep(CATCH_UP_CHECK_INTERVAL_MS);
			reports = listReports(await query(targets));
		}

		return reports;
	};

	/** Pauses all members but the primary, those first that should not lead: while the primary works, the others then receive all that these have. */
	const pauseMembers = async ({primary: leader, isPlanned}: SyncedPromotion): Promise<Result<PausedGroup, Failure>> => {
		const paused: MemberReport[] = [];
		await runtime.sleep(getRemainingMs(commandsSettledAt, runtime.now()));
		for (let round = 0; round < MAX_PAUSE_ROUNDS; round++) {
			const stored = await groupStore.read();
			if (stored.err) {
				return stored;
			}

			await recordMembers(stored.val, []);
			const unpaused = await queryUnpaused(stored.val, leader ?? stored.val.record.primary, paused);
			if (unpaused.err) {
				return unpaused;
			}

			if (unpaused.val.length === 0) {
				return Ok({reports: paused, stored: stored.val});
			}

			const terms = [...unpaused.val, ...paused].flatMap(({status}) => [status.term, status.heldTerm]);
			const term = Math.max(...terms, owner.components.positionHistory.getLatest()?.term ?? 0) + 1;
			const mayLead = ({target}: MemberReport) => isPreferred(target, stored.val.registered);
			const others = await pause(unpaused.val.filter(report => !mayLead(report)), term);
			if (others.err) {
				return others;
			}

			paused.push(...others.val);
			const candidates = unpaused.val.filter(report => mayLead(report));
			const [longest] = paused.map(({status}) => status.received).toSorted(comparePositions).toReversed();
			if (isPlanned && longest) {
				await waitForCatchUp(candidates.map(({target}) => target), longest);
			}

			const pausedCandidates = await pause(candidates, term);
			if (pausedCandidates.err) {
				return pausedCandidates;
			}

			paused.push(...pausedCandidates.val);
		}

		return Err({code: 'memberMissing', message: 'new members keep registering'});
	};

	/** Tells whether members are still paused where they were; a command to resume them may have been executed late. */
	const areUnchanged = async (reports: readonly MemberReport[]): Promise<boolean> => {
		const results = await query(reports.map(({target}) => target));
		return results.every(({result}, index) => {
			const before = reports[index]?.status.received;
			return result.ok && before !== undefined && isPaused(result.val) && comparePositions(result.val.received, before) === 0;
		});
	};

	/** Pauses members that register while an order is being executed, until the signal aborts: the old primary could go on acknowledging commits that only they have. */
	const pauseNewMembers = async (paused: readonly MemberReport[], primary: TargetId | undefined, signal: AbortSignal): Promise<void> => {
		const known = [...paused];
		const term = Math.max(...paused.map(({status}) => status.heldTerm));
		const listJoined = ({registered}: StoredGroup) => registered.filter(target => target.id !== primary && !known.some(({target: other}) => isSameRun(other, target)));
		while (!signal.aborted) {
			await runtime.sleep(JOIN_CHECK_INTERVAL_MS, signal).catch(() => undefined);
			const stored = signal.aborted ? undefined : await groupStore.read();
			const reports = stored?.ok ? listReports(await query(listJoined(stored.val))).filter(({status}) => status.role === 'replica') : [];
			// An order that has been executed resumes all replicas.
			const joined = signal.aborted ? Ok([]) : await pause(reports, term);
			known.push(...joined.unwrapOr([]));
		}
	};

	const promote = async (promotion: SyncedPromotion): Promise<boolean> => {
		const {reason, isPlanned} = promotion;
		const startedAt = runtime.now();
		const paused = await pauseMembers(promotion);
		const {stored, reports} = paused.ok ? paused.val : {stored: undefined, reports: []};
		const [best] = stored ? rankMembers(reports, stored) : [];
		const members = recorded?.members ?? listTargets();
		if (!best || !stored || (isPlanned && mayResume() && !isPreferred(best.target, stored.registered))) {
			const cause = paused.err ? paused.val.message : (best ? `${best.target.id} has the longest log and is leaving or not registered` : 'there is no replica');
			reportFailure(`${reason}; no replica promoted because ${cause}`);
			await resume(members, 'no replica was promoted');
			return false;
		}

		const {target} = best;
		const ended = new AbortController();
		const watching = pauseNewMembers(reports, promotion.primary ?? stored.record.primary, ended.signal);
		const outcome = await requestOrder(context, {target, reason, startedAt}, async () => areUnchanged(reports));
		const isOutstanding = outcome === 'done' || outcome === 'unknown';
		outstandingUntil = isOutstanding ? createDeadline(runtime.now(), MAX_ORDER_DELAY_MS) : outstandingUntil;
		const isPromoted = isOutstanding && await waitUntilLeading(context, target);
		ended.abort();
		await watching;
		if (!isPromoted) {
			await resume(members, 'no replica was promoted');
			return false;
		}

		outstandingUntil = PAST;
		nextCheckAt = PAST;
		context.onEvent({
			kind: 'finished', target: target.id, reason, ageMs: runtime.now() - startedAt,
		});
		return true;
	};

	/**
	 * Returns the runs that have certainly ended, of members that the registry does not list: another registered target has their address,
	 * they have started again, or nothing accepts connections there. An unknown target at their address may be their successor, which has their log.
	 */
	const findEnded = async (members: readonly RegisteredTarget[], {registered, unrelated}: StoredGroup): Promise<readonly RegisteredTarget[]> => {
		const results = await query(members);
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

	/** Removes members that have ended, and adds former ones that are back. */
	const reviewMembers = async (leader: RegisteredTarget): Promise<void> => {
		const before = await groupStore.read();
		if (before.err) {
			return;
		}

		const returned = listReports(await query(listFormer(before.val))).map(({target}) => target);
		if (returned.length > 0) {
			await recordMembers(before.val, returned);
			return;
		}

		const ended = await findEnded(before.val.record.members.filter(member => !listTargets().some(target => isSameRun(target, member))), before.val);
		if (ended.length === 0) {
			return;
		}

		const [primaryReport] = listReports(await query([leader]));
		const reports = primaryReport ? await waitForCatchUp(listTargets().filter(({id}) => id !== leader.id), primaryReport.status.received) : [];
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

	return {
		async check() {
			const stale = isRecordCurrent() ? undefined : await groupStore.read();
			if (stale?.ok) {
				await recordMembers(stale.val, []);
			}

			const leaderId = leaderTracker.getLeader();
			const leader = leaderId === undefined ? undefined : owner.components.getTarget(leaderId);
			if (!leader || !isPast(nextCheckAt, runtime.now())) {
				return false;
			}

			nextCheckAt = createDeadline(runtime.now(), CHECK_INTERVAL_MS);
			const replicas = mergeRuns(listTargets(), recorded?.members ?? []).filter(({id}) => id !== leader.id);
			const results = await query(replicas);
			const paused = listReports(results).filter(({status}) => isPaused(status)).map(({target}) => target);
			if (paused.length > 0 || !hasFoundOrders) {
				const stored = await groupStore.read();
				if (stored.ok) {
					findOrders(stored.val, results);
				}
			}

			if (paused.length > 0 && !isPast(outstandingUntil, runtime.now())) {
				return true;
			}

			await resume(paused, 'replicas were left paused');
			const hasUnlisted = replicas.some(member => !listTargets().some(target => isSameRun(target, member)));
			if (hasUnlisted || (recorded?.former.length ?? 0) > 0) {
				await reviewMembers(leader);
			}

			return false;
		},
		promote,
	};
};
