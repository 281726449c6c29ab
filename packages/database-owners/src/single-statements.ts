/** Runs statements outside a transaction. */

import {
	createDeadline, Err, isPast, type Deadline, type Failure, type Instant, type Result, type TargetId,
} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementOutcome, type StatementResponse, type StatementRequest,
} from '@guavapitch/sessions';
import {
	createResponse, createBusyRefusal, evaluateReply, isAnswered, recordDialFailure, recordPace, recordReply, type Verdict,
} from './replies.js';
import {takePacedSlot} from './cold-targets.js';
import type {LeadProof} from './appointments.js';
import {classifyWork, recordLeadEvidence} from './lead-evidence.js';
import type {CommitProof} from './commit-proofs.js';
import type {ConnectionHandle} from './connections.js';
import type {DatabaseOwnerComponents, SharedComponents} from './database-owner.js';
import {
	chooseTarget, computeSlotDeadline, createPlan, getPlanAcceptingMs, type Plan,
} from './plans.js';
import type {Command, DialFailure} from './targets.js';

/** Maximum number of attempts for a statement that has not run; each uses another target or happens later. */
const MAX_ATTEMPTS = 5;
/** Pause before another attempt on a busy target: about the duration of one statement. */
const RETRY_PAUSE_MS = 10;
/** Retry-after time for callers while no leader is known: about the duration of a promotion. */
const LEADER_RETRY_AFTER_MS = 800;

/** Creates the command that runs a request's statement on a target. */
export const createStatementCommand = (request: StatementRequest, preparedName: string, plan: Plan | undefined): Command => ({
	kind: 'statement',
	id: request.id,
	statement: request.statement,
	preparedName,
	after: plan?.kind === 'anywhere' ? plan.after : undefined,
});

/** One attempt to run a statement on a target. */
type Attempt = Readonly<{
	request: StatementRequest;
	plan: Plan;
	handle: ConnectionHandle;
	deadline: Deadline;
}>;

/** Result of an attempt; `sentAt` is when the statement was sent. */
type AttemptResult = Readonly<{verdict: Verdict; sentAt: Instant}>;

/** Tells whether a statement is a read that needs the latest state; it takes two requests to the target, the first of which begins a transaction. */
const isVerifiedRead = (plan: Plan): boolean => plan.kind === 'leader' && !plan.isWrite;

/** Runs a read that needs the latest state, in a write transaction, which only a leader accepts. */
const runVerifiedRead = async (components: DatabaseOwnerComponents, {request, handle, deadline}: Attempt): Promise<AttemptResult> => {
	const begunAt = components.context.readSuspensionClock();
	const setup = await handle.setUp(request.values, request.statement, deadline);
	if (setup.err) {
		handle.release(false);
		return {verdict: {kind: 'notRun', code: setup.val.code}, sentAt: begunAt};
	}

	const beginExecution = await handle.connection.execute([{kind: 'begin', readOnly: false, after: undefined}], deadline);
	const [beginReply] = beginExecution.replies;
	if (!beginReply || beginReply.result.kind === 'error') {
		handle.release(beginExecution.ended === 'no' && beginReply?.status === 'idle');
		const code = beginReply?.result.kind === 'error' ? beginReply.result.code : 'lost';
		return {verdict: {kind: 'notRun', code}, sentAt: begunAt};
	}

	const sentAt = components.context.readSuspensionClock();
	const execution = await handle.connection.execute([createStatementCommand(request, setup.val, undefined), {kind: 'rollback'}], deadline);
	const verdict = evaluateReply(execution, 0, request);
	if (verdict.kind === 'notRun' && verdict.code === 'noStatement') {
		handle.discardPrepared();
	}

	handle.release(execution.ended === 'no' && execution.replies[1]?.status === 'idle');
	return {verdict, sentAt};
};

/** Runs a statement without a transaction. */
const runStatement = async (components: DatabaseOwnerComponents, {
	request, plan, handle, deadline,
}: Attempt): Promise<AttemptResult> => {
	const setup = await handle.setUp(request.values, request.statement, deadline);
	const sentAt = components.context.readSuspensionClock();
	if (setup.err) {
		handle.release(false);
		return {verdict: {kind: 'notRun', code: setup.val.code}, sentAt};
	}

	const execution = await handle.connection.execute([createStatementCommand(request, setup.val, plan)], deadline);
	const verdict = evaluateReply(execution, 0, request);
	if (verdict.kind === 'notRun' && verdict.code === 'noStatement') {
		handle.discardPrepared();
	}

	handle.release(execution.ended === 'no' && execution.replies.at(-1)?.status === 'idle');
	return {verdict, sentAt};
};

/** A statement that has run on a target, with the proofs that the target led and that a write is kept; a proof is `undefined` if the statement needs none. */
type ProvableAttempt = AttemptResult & Readonly<{request: StatementRequest; target: TargetId; deadline: Deadline; proof: LeadProof | undefined; commitProof: CommitProof | undefined}>;

/** Withholds success from a statement whose target may have been replaced before it replied, or is being replaced: a write may be lost with that target's log, a read may lack acknowledged writes. */
const checkProof = async (components: SharedComponents, {
	verdict, sentAt, request, target, deadline, proof, commitProof,
}: ProvableAttempt): Promise<Verdict> => {
	if (!proof || verdict.kind !== 'final' || verdict.outcome.kind !== 'done' || !verdict.reply) {
		return verdict;
	}

	if (await proof.confirm() && (!commitProof || await commitProof.confirm(verdict.reply.position, deadline))) {
		// A read that needs a proof runs in a transaction that may write.
		const work = classifyWork(request.statement, {mayWrite: true, hasWritten: false});
		recordLeadEvidence(components, target, {work, reply: verdict.reply, sentAt});
		return verdict;
	}

	const reason = 'the target may have been replaced before it replied';
	components.context.onDecision({
		kind: 'unproven', requestId: request.id, customer: request.customer, target, reason, ageMs: components.context.readSuspensionClock() - sentAt,
	});
	return getAccess(request.statement) === 'read'
		? {kind: 'notRun', code: 'replaced'}
		: {kind: 'final', outcome: {kind: 'unknown', reason}, reply: undefined};
};

const hasNoLeader = (components: SharedComponents, plan: Plan): boolean => plan.kind === 'leader' && components.leaderTracker.getLeader() === undefined;

/** Creates the refusal of a statement that got no slot, with the reason if it is that no target that could run it accepts it. */
export const createSlotRefusal = (components: SharedComponents, plan: Plan, message: string): StatementOutcome => {
	const isDrained = getPlanAcceptingMs(components, plan) <= 0;
	return createBusyRefusal(
		isDrained ? 'every target that could run the statement is leaving, in an evacuated data centre or outside the allowed regions' : message,
		isDrained || hasNoLeader(components, plan) ? LEADER_RETRY_AFTER_MS : RETRY_PAUSE_MS * (1 + components.scheduler.getWaitingCount()),
	);
};

/** Creates the refusal of a statement that needs the leader while that cannot be reached, or while its success could not be proved; `undefined` if the plan may be carried out. */
export const createLeaderRefusal = (components: SharedComponents, plan: Plan): StatementOutcome | undefined => {
	if (plan.kind !== 'leader') {
		return undefined;
	}

	const leader = components.leaderTracker.getLeader();
	if (leader !== undefined && !components.isReachable(leader)) {
		return createBusyRefusal('the data centre of the target that leads cannot be reached', LEADER_RETRY_AFTER_MS);
	}

	return components.context.appointments.canConfirm() ? undefined : createBusyRefusal('the store does not confirm which target leads', LEADER_RETRY_AFTER_MS);
};

/** Failure to take a connection to a target: it could not be opened, or the target has left, accepts no new work, or no longer leads although the plan needs the leader. */
export type TakeFailure = DialFailure | Failure<'notRegistered' | 'leaving' | 'notLeading'>;

/** A request that was placed on a target. */
export type Placement = Readonly<{plan: Plan; target: TargetId; request: StatementRequest; deadline: Deadline}>;

/** Takes a connection on which a statement or a transaction may begin. Nothing has run if that fails. */
export const takeConnection = async (components: SharedComponents, {plan, target, request, deadline}: Placement): Promise<Result<ConnectionHandle, TakeFailure>> => {
	const startedAt = components.context.runtime.now();
	components.targetPaces.recordSent(target);
	const mustDial = (components.getConnections(target)?.estimateConnectMs(request.customer) ?? 0) > 0;
	const handle = await components.getConnections(target)?.acquire(request.customer, request.values, deadline);
	if (!handle) {
		return Err({code: 'notRegistered', message: 'the target is no longer registered'});
	}

	const tookMs = components.context.runtime.now() - startedAt;
	if (handle.err) {
		recordDialFailure(components, target, handle.val, tookMs);
		return handle;
	}

	if (mustDial) {
		components.targetPaces.recordDial(target, tookMs, request);
	}

	// Opening the connection may have taken until after the drain time of a leaving target, or the time left for an evacuation.
	if (components.getAcceptingMs(target) <= 0) {
		handle.val.release(true);
		return Err({code: 'leaving', message: 'the target is leaving or evacuated and accepts no new work'});
	}

	if (plan.kind === 'leader' && components.leaderTracker.getLeader() !== target) {
		handle.val.release(true);
		return Err({code: 'notLeading', message: 'the target no longer leads'});
	}

	return handle;
};

/** Runs a statement outside a transaction; retries it only if it is certain that it has not run, or if it is a read. */
export const serveSingleStatement = async (components: DatabaseOwnerComponents, request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
	const {context, scheduler} = components;
	const {runtime} = context;
	const arrivedAt = runtime.now();
	const latencyDeadline = createDeadline(arrivedAt, request.promptMs);
	const triedTargets = new Set<TargetId>();
	let reason = 'no target can run the statement now';

	for (let attempt = 0; attempt < MAX_ATTEMPTS && !isPast(deadline, runtime.now()); attempt++) {
		const plan = await createPlan(components, request, deadline);
		if (!plan) {
			return createResponse(createRefusal('busy', 'no leader confirmed its log position in time', LEADER_RETRY_AFTER_MS), runtime.now() - arrivedAt);
		}

		const refusal = createLeaderRefusal(components, plan);
		if (refusal) {
			return createResponse(refusal, runtime.now() - arrivedAt);
		}

		const slot = await takePacedSlot(components, {
			customer: request.customer,
			priority: request.priority,
			latencyDeadline,
			deadline: computeSlotDeadline(components, plan, deadline),
			isPinned: false,
			chooseTarget: freeTargets => chooseTarget(components, {plan, request, tried: triedTargets}, freeTargets),
		}, isVerifiedRead(plan) ? 2 : 1);
		if (slot.err) {
			return createResponse(createSlotRefusal(components, plan, slot.val.message), runtime.now() - arrivedAt);
		}

		const {target, release} = slot.val;
		const handle = await takeConnection(components, {
			plan, target, request, deadline,
		});
		if (handle.err) {
			release();
			triedTargets.add(target);
			reason = handle.val.message;
			context.onDecision({
				kind: 'retried', requestId: request.id, target, reason, ageMs: runtime.now() - arrivedAt,
			});
			continue;
		}

		const startedAt = runtime.now();
		const runAttempt = isVerifiedRead(plan) ? runVerifiedRead : runStatement;
		components.healthTracker.recordStatementSent(target);
		const unsubscribe = getAccess(request.statement) === 'read' ? components.onTargetDown(target, handle.val.connection.close) : undefined;
		const proof = plan.kind === 'leader' ? context.appointments.startProof(target) : undefined;
		const commitProof = plan.kind === 'leader' && plan.isWrite ? components.commitProofs.start(target) : undefined;
		const result = await runAttempt(components, {
			request, plan, handle: handle.val, deadline,
		});
		unsubscribe?.();
		components.healthTracker.recordStatementEnded(target);
		const tookMs = runtime.now() - startedAt;
		recordPace(components, target, result.verdict, {ms: tookMs, request});
		release(isAnswered(result.verdict) ? tookMs : undefined);
		const verdict = await checkProof(components, {
			...result, request, target, deadline, proof, commitProof,
		});
		if (verdict.kind === 'final') {
			recordReply(components, target, verdict.reply ? undefined : 'lost');
			return {
				outcome: verdict.outcome, status: 'idle', position: verdict.reply?.position, target, waitedMs: startedAt - arrivedAt,
			};
		}

		recordReply(components, target, verdict.code);
		reason = `the target did not run the statement: ${verdict.code}`;
		context.onDecision({
			kind: 'retried', requestId: request.id, target, reason, ageMs: runtime.now() - arrivedAt,
		});
		if (verdict.code === 'busy') {
			await runtime.sleep(RETRY_PAUSE_MS * (1 + runtime.random()));
		} else if (verdict.code !== 'noStatement') {
			triedTargets.add(target);
		}
	}

	return createResponse(createBusyRefusal(reason, RETRY_PAUSE_MS * (1 + scheduler.getWaitingCount())), runtime.now() - arrivedAt);
};
