/**
 * Changes of the primary where a commit is acknowledged once one replica has received it, so that any replica may hold the only copy beside the primary.
 *
 * A replica is promoted only after every member of the group has stopped to receive and been compared, or has been shown to hold no commit alone.
 * A target that joins or starts again after that confirms commits of the old primary until it is paused too. Owners don't acknowledge these (`commit-proofs`),
 * as the appointment of the replica is recorded before the members are checked for the last time.
 * While an order may still be carried out, the replicas stay paused, and the same target is ordered again: an order to another target could replace it
 * after it has acknowledged commits of its own.
 */

import {
	createDeadline, Err, getRemainingMs, isPast, Ok, PAST, type Deadline, type Failure, type Result, type TargetId,
} from '@guavapitch/core';
import {comparePositions} from '@guavapitch/sessions';
import {createGroupMembers} from './group-members.js';
import {
	filterReports, requestMemberStatuses, waitForCatchUp, type MemberReport, type MemberResult,
} from './member-statuses.js';
import {
	requestOrder, waitUntilLeading, type FailoverCoordinatorContext, type PromotionOrder,
} from './promotions.js';
import {
	isPaused, isPreferred, isSameRun, isSuperseded, mergeRuns, rankMembers, type StoredGroup,
} from './replication-groups.js';
import type {RegisteredTarget} from './targets.js';

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
/** Time after which an order without a response is no longer expected to be executed; that may happen seconds later. */
const MAX_ORDER_DELAY_MS = 30_000;
/** Time after which commands of an earlier coordinator no longer arrive at a target, in milliseconds: several times their timeout. One that resumed a replica late would undo a pause. */
const LATE_COMMAND_MS = 1000;
/** Interval between looks for members that register while an order is being executed. */
const JOIN_CHECK_INTERVAL_MS = 50;
/** Number of times that members which have just registered are paused too before a change of primary is given up. */
const MAX_PAUSE_ROUNDS = 4;

type GroupFailure = Failure<'memberMissing' | 'otherPrimary'>;
type PausedGroup = Readonly<{reports: readonly MemberReport[]; stored: StoredGroup}>;

/** Creates the group of a database for a vm that has just become its coordinator. */
export const createSyncedGroup = (context: FailoverCoordinatorContext): SyncedGroup => {
	const {runtime, owner, groupStore} = context;
	const {leaderTracker, listTargets} = owner.components;
	const members = createGroupMembers(context);
	const commandsSettledAt = createDeadline(runtime.now(), LATE_COMMAND_MS);
	let nextCheckAt: Deadline = PAST;
	/** Until when an order without a response may be executed. */
	let outstandingUntil: Deadline = PAST;
	/** Until when an order of an earlier coordinator may be executed, whatever the replicas tell. */
	const earlierOrdersUntil = createDeadline(runtime.now(), MAX_ORDER_DELAY_MS);
	/** Whether it is known whether an earlier coordinator left an order that may still be executed. */
	let hasFoundOrders = false;

	const reportFailure = (reason: string) => {
		context.onEvent({
			kind: 'failed', target: '', reason, ageMs: 0,
		});
	};

	/**
	 * Finds out once, from replicas that were left paused, whether an earlier coordinator has sent an order that may still be executed:
	 * orders are sent, and replicas resumed, only by the holder of the role.
	 */
	const findOrders = (stored: StoredGroup, results: readonly MemberResult[]) => {
		if (hasFoundOrders) {
			return;
		}

		const hasPaused = filterReports(results).some(({status}) => isPaused(status));
		hasFoundOrders = hasPaused || results.every(({result}) => result.ok);
		if (hasPaused && stored.appointed !== undefined && stored.appointed !== leaderTracker.getLeader()) {
			outstandingUntil = createDeadline(runtime.now(), MAX_ORDER_DELAY_MS);
		}
	};

	const mayResume = (): boolean => hasFoundOrders && isPast(outstandingUntil, runtime.now()) && context.isCoordinator();

	const resume = async (replicas: readonly RegisteredTarget[], reason: string): Promise<void> => {
		if (replicas.length > 0 && mayResume()) {
			await requestMemberStatuses(context, replicas, {kind: 'resume'});
			context.onEvent({
				kind: 'resumed', target: replicas.map(({id}) => id).join(' '), reason, ageMs: 0,
			});
		}
	};

	/** Records the target that leads as the appointed one where another one or none is recorded, once no order to another one may be executed: commits cannot be proved until then. */
	const appointLeader = async (): Promise<void> => {
		const appointments = owner.components.context.getKnownGroup()?.appointments;
		const appointed = appointments?.getAppointed();
		const leader = leaderTracker.getLeader();
		const areOrdersSettled = isPast(outstandingUntil, runtime.now()) && (appointed === undefined || isPast(earlierOrdersUntil, runtime.now()));
		if (!appointments || leader === undefined || appointed === leader || !areOrdersSettled || !context.isCoordinator()) {
			return;
		}

		const fencingToken = await context.drawFencingToken(leader);
		context.onEvent({
			kind: fencingToken === undefined ? 'failed' : 'appointed', target: leader, reason: 'this target leads, and another one or none was appointed', ageMs: 0,
		});
	};

	/**
	 * Queries every member that must be paused and is not yet: all but the primary, and that too if it says that it is a replica.
	 * Fails if one of them cannot be asked, or leads.
	 */
	const queryUnpaused = async (stored: StoredGroup, primary: TargetId | undefined, paused: readonly MemberReport[]): Promise<Result<readonly MemberReport[], GroupFailure>> => {
		const runs = members.listMembers(stored).filter(run => !paused.some(({target}) => isSameRun(target, run)));
		const [memberResults, formerResults] = await Promise.all([requestMemberStatuses(context, runs), requestMemberStatuses(context, members.listFormer(stored))]);
		const results = [...memberResults, ...formerResults.filter(({target, result}) => result.ok && !paused.some(report => isSameRun(report.target, target)))];
		findOrders(stored, results.filter(({target}) => target.id !== primary));
		const lost = results.find(({target, result}) => target.id !== primary && (result.err || isSuperseded(target, runs)));
		if (lost) {
			const cause = lost.result.err ? lost.result.val.message : 'it has started again since';
			return Err({code: 'memberMissing', message: `${lost.target.id} may hold acknowledged commits and cannot be asked: ${cause}`});
		}

		const reports = filterReports(results).filter(({target, status}) => target.id !== primary || status.role === 'replica');
		const other = reports.find(({status}) => status.role === 'primary');
		return other ? Err({code: 'otherPrimary', message: `${other.target.id} leads`}) : Ok(reports);
	};

	/** Pauses members that have reported their status; fails if one does not confirm it. */
	const pause = async (reports: readonly MemberReport[], term: number): Promise<Result<readonly MemberReport[], GroupFailure>> => {
		const results = context.isCoordinator() ? await requestMemberStatuses(context, reports.map(({target}) => target), {kind: 'pause', term}) : [];
		return results.length === reports.length && results.every(({result}) => result.ok)
			? Ok(filterReports(results))
			: Err({code: 'memberMissing', message: 'a replica did not stop receiving, or the role was lost'});
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

			await members.record(stored.val, []);
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
				await waitForCatchUp(context, candidates.map(({target}) => target), longest);
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
		const results = await requestMemberStatuses(context, reports.map(({target}) => target));
		return results.every(({result}, index) => {
			const before = reports[index]?.status.received;
			return result.ok && before !== undefined && isPaused(result.val) && comparePositions(result.val.received, before) === 0;
		});
	};

	/**
	 * Tells whether the members that were paused are still all that may have confirmed commits, and unchanged. Checked once the appointment is recorded:
	 * whoever joined before that is found here, and what a later one confirms is not acknowledged.
	 */
	const isGroupUnchanged = async (reports: readonly MemberReport[], primary: TargetId | undefined): Promise<boolean> => {
		const stored = await groupStore.read();
		const unpaused = stored.ok ? await queryUnpaused(stored.val, primary, reports) : undefined;
		return unpaused?.ok === true && unpaused.val.length === 0 && areUnchanged(reports);
	};

	/** Pauses members that register while an order is being executed, until the signal aborts: the old primary could go on confirming commits that only they have. */
	const pauseNewMembers = async (paused: readonly MemberReport[], primary: TargetId | undefined, signal: AbortSignal): Promise<void> => {
		const known = [...paused];
		const term = Math.max(...paused.map(({status}) => status.heldTerm));
		const listJoined = ({registered}: StoredGroup) => registered.filter(target => target.id !== primary && !known.some(({target: other}) => isSameRun(other, target)));
		while (!signal.aborted) {
			await runtime.sleep(JOIN_CHECK_INTERVAL_MS, signal).catch(() => undefined);
			const stored = signal.aborted ? undefined : await groupStore.read();
			const reports = stored?.ok ? filterReports(await requestMemberStatuses(context, listJoined(stored.val))).filter(({status}) => status.role === 'replica') : [];
			// An order that has been executed resumes all replicas.
			const joined = signal.aborted ? Ok([]) : await pause(reports, term);
			known.push(...joined.unwrapOr([]));
		}
	};

	/** Orders the promotion of the best of the paused members, and waits until it leads. */
	const orderWhilePausing = async (order: PromotionOrder, paused: readonly MemberReport[], primary: TargetId | undefined): Promise<boolean> => {
		const ended = new AbortController();
		const watching = pauseNewMembers(paused, primary, ended.signal);
		try {
			const outcome = await requestOrder(context, order, async () => isGroupUnchanged(paused, primary));
			if (outcome === undefined || outcome === 'refused') {
				return false;
			}

			outstandingUntil = createDeadline(runtime.now(), MAX_ORDER_DELAY_MS);
			return await waitUntilLeading(context, order.target);
		} finally {
			ended.abort();
			await watching;
		}
	};

	const promote = async (promotion: SyncedPromotion): Promise<boolean> => {
		const {reason, isPlanned} = promotion;
		const startedAt = runtime.now();
		const paused = await pauseMembers(promotion);
		const {stored, reports} = paused.ok ? paused.val : {stored: undefined, reports: []};
		const [best] = stored ? rankMembers(reports, stored) : [];
		const pausable = members.getRecord()?.members ?? listTargets();
		if (!best || !stored || (isPlanned && mayResume() && !isPreferred(best.target, stored.registered))) {
			const cause = paused.err ? paused.val.message : (best ? `${best.target.id} has the longest log and is leaving or not registered` : 'there is no replica');
			reportFailure(`${reason}; no replica promoted because ${cause}`);
			await resume(pausable, 'no replica was promoted');
			await appointLeader();
			return false;
		}

		const {target} = best;
		const isPromoted = await orderWhilePausing({target, reason, startedAt}, reports, promotion.primary ?? stored.record.primary);
		if (!isPromoted) {
			await resume(pausable, 'no replica was promoted');
			await appointLeader();
			return false;
		}

		outstandingUntil = PAST;
		nextCheckAt = PAST;
		context.onEvent({
			kind: 'finished', target: target.id, reason, ageMs: runtime.now() - startedAt,
		});
		return true;
	};

	return {
		async check() {
			await members.keepCurrent();
			const leaderId = leaderTracker.getLeader();
			const leader = leaderId === undefined ? undefined : owner.components.getTarget(leaderId);
			if (!leader || !isPast(nextCheckAt, runtime.now())) {
				return false;
			}

			nextCheckAt = createDeadline(runtime.now(), CHECK_INTERVAL_MS);
			const replicas = mergeRuns(listTargets(), members.getRecord()?.members ?? []).filter(({id}) => id !== leader.id);
			const results = await requestMemberStatuses(context, replicas);
			const paused = filterReports(results).filter(({status}) => isPaused(status)).map(({target}) => target);
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
			await appointLeader();
			await members.review(leader);

			return false;
		},
		promote,
	};
};
