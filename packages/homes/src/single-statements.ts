/** Statements outside a transaction. */

import {
	createDeadline, isPast, type Deadline, type TargetId,
} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementResponse, type StatementRequest,
} from '@guavapitch/sessions';
import {
	createResponse, createBusyRefusal, evaluateReply, recordDialFailure, recordReply, recordVerifiedPosition, type Verdict,
} from './replies.js';
import type {ConnectionHandle} from './connections.js';
import type {DatabaseOwnerComponents} from './database-owner.js';
import {
	chooseTarget, computeSlotDeadline, createPlan, type Plan,
} from './plans.js';
import type {Command} from './targets.js';

/** Attempts that end without having run, at most; each takes another target or a later moment. */
const MOST_ATTEMPTS = 5;
/** Pause before an attempt at the same target, in milliseconds; about the time of one statement. */
const RETRY_PAUSE_MS = 10;
/** Time after which a caller should come back when no leader is known, in milliseconds; about the time of a promotion. */
const LEADER_RETRY_MS = 800;

/** Creates the statement's command. */
export const createStatementCommand = (request: StatementRequest, preparedName: string, plan: Plan | undefined): Command => ({
	kind: 'statement',
	id: request.id,
	statement: request.statement,
	preparedName,
	after: plan?.kind === 'anywhere' ? plan.after : undefined,
});

/** One attempt to run a statement: where, how and until when. */
type Attempt = Readonly<{
	request: StatementRequest;
	plan: Plan;
	target: TargetId;
	loan: ConnectionHandle;
	deadline: Deadline;
}>;

/** Runs a read that needs the newest state: inside a transaction, which only a leader accepts. */
const runVerifiedRead = async (parts: DatabaseOwnerComponents, {
	request, target, loan, deadline,
}: Attempt): Promise<Verdict> => {
	const {commands, preparedName} = loan.createSetupCommands(request.values, request.statement);
	const begun = await loan.connection.execute([...commands, {kind: 'begin', readOnly: false, after: undefined}], deadline);
	const beginReply = begun.replies[commands.length];
	if (!beginReply || beginReply.result.kind === 'error') {
		loan.release(begun.ended === 'no' && beginReply?.status === 'idle');
		const code = beginReply?.result.kind === 'error' ? beginReply.result.code : 'lost';
		return {kind: 'notRun', code};
	}

	const askedAt = parts.context.readClock();
	const execution = await loan.connection.execute([createStatementCommand(request, preparedName, undefined), {kind: 'rollback'}], deadline);
	const verdict = evaluateReply(execution, 0, request);
	if (verdict.kind === 'final' && verdict.outcome.kind === 'done' && verdict.reply) {
		recordVerifiedPosition(parts, target, verdict.reply, askedAt);
	}

	if (verdict.kind === 'notRun' && verdict.code === 'noStatement') {
		loan.discardPrepared();
	}

	loan.release(execution.ended === 'no' && execution.replies[1]?.status === 'idle');
	return verdict;
};

/** Runs a statement by itself. */
const runPlain = async (parts: DatabaseOwnerComponents, {
	request, plan, target, loan, deadline,
}: Attempt): Promise<Verdict> => {
	const {commands, preparedName} = loan.createSetupCommands(request.values, request.statement);
	const askedAt = parts.context.readClock();
	const execution = await loan.connection.execute([...commands, createStatementCommand(request, preparedName, plan)], deadline);
	const verdict = evaluateReply(execution, commands.length, request);
	if (verdict.kind === 'final' && verdict.outcome.kind === 'done' && verdict.reply && plan.kind === 'leader') {
		recordVerifiedPosition(parts, target, verdict.reply, askedAt);
	}

	if (verdict.kind === 'notRun' && verdict.code === 'noStatement') {
		loan.discardPrepared();
	}

	loan.release(execution.ended === 'no' && execution.replies.at(-1)?.status === 'idle');
	return verdict;
};

const computeRetryAfter = (parts: DatabaseOwnerComponents, plan: Plan): number => plan.kind === 'leader' && parts.leaderTracker.getLeader() === undefined
	? LEADER_RETRY_MS
	: RETRY_PAUSE_MS * (1 + parts.scheduler.getWaitingCount());

/** Serves a statement outside a transaction. */
export const serveSingleStatement = async (parts: DatabaseOwnerComponents, request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
	const {context, scheduler: placement} = parts;
	const {world} = context;
	const arrivedAt = world.now();
	const promptUntil = createDeadline(arrivedAt, request.promptMs);
	const tried = new Set<TargetId>();
	let reason = 'no target can run the statement now';

	for (let attempt = 0; attempt < MOST_ATTEMPTS && !isPast(deadline, world.now()); attempt++) {
		const plan = await createPlan(parts, request, deadline);
		if (!plan) {
			return createResponse(createRefusal('busy', 'no leader has proved its position', LEADER_RETRY_MS), world.now() - arrivedAt);
		}

		const slot = await placement.acquire({
			customer: request.customer,
			priority: request.priority,
			latencyDeadline: promptUntil,
			deadline: computeSlotDeadline(parts, plan, deadline),
			isPinned: false,
			chooseTarget: free => chooseTarget(parts, {plan, request, tried}, free),
		});
		if (slot.err) {
			return createResponse(createBusyRefusal(slot.val.message, computeRetryAfter(parts, plan)), world.now() - arrivedAt);
		}

		const {target, release} = slot.val;
		const connections = parts.getConnections(target);
		const loan = await connections?.acquire(request.customer, request.values, deadline);
		if (!loan || loan.err) {
			release();
			recordDialFailure(parts, target, loan?.err ? loan.val : undefined);
			tried.add(target);
			reason = loan ? loan.val.message : 'the target has left';
			context.onDecision({
				kind: 'retried', requestId: request.id, target, reason, ageMs: world.now() - arrivedAt,
			});
			continue;
		}

		const startedAt = world.now();
		const run = plan.kind === 'leader' && !plan.isWrite ? runVerifiedRead : runPlain;
		parts.healthTracker.recordStatementSent(target);
		const forget = getAccess(request.statement) === 'read' ? parts.onTargetDown(target, loan.val.connection.close) : undefined;
		const verdict = await run(parts, {
			request, plan, target, loan: loan.val, deadline,
		});
		forget?.();
		parts.healthTracker.recordStatementEnded(target);
		release(world.now() - startedAt);
		if (verdict.kind === 'final') {
			recordReply(parts, target, verdict.reply ? undefined : 'lost');
			return {
				outcome: verdict.outcome, status: 'idle', position: verdict.reply?.position, target, waitedMs: startedAt - arrivedAt,
			};
		}

		recordReply(parts, target, verdict.code);
		reason = `the target answered ${verdict.code}`;
		context.onDecision({
			kind: 'retried', requestId: request.id, target, reason, ageMs: world.now() - arrivedAt,
		});
		if (verdict.code === 'busy') {
			await world.sleep(RETRY_PAUSE_MS * (1 + world.random()));
		} else if (verdict.code !== 'noStatement') {
			tried.add(target);
		}
	}

	return createResponse(createBusyRefusal(reason, RETRY_PAUSE_MS * (1 + placement.getWaitingCount())), world.now() - arrivedAt);
};
