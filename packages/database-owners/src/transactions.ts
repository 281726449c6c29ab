/** Open transactions of a database owner, each on a connection of its own. */

import {
	createDeadline, isPast, type Deadline, type TargetId,
} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import {
	createResponse, createBusyRefusal, evaluateReply, getNotRunCode, getServedMs, recordPace, recordReply, recordVerifiedPosition, type Verdict,
} from './replies.js';
import type {LeadProof} from './appointments.js';
import type {CommitProof} from './commit-proofs.js';
import type {ConnectionHandle} from './connections.js';
import type {SharedComponents} from './database-owner.js';
import {
	chooseTarget, computeSlotDeadline, createPlan, type Plan,
} from './plans.js';
import {
	createLeaderRefusal, createSlotRefusal, createStatementCommand, takeConnection,
} from './single-statements.js';
import {createStatementKind, type StatementKind} from './service-times.js';
import type {Slot} from './slot-scheduler.js';
import type {Reply} from './targets.js';

/** Open transactions of a database owner. */
export type Transactions = Readonly<{
	/** Runs a statement of a transaction; begins the transaction if it is the first one. */
	serve: (request: StatementRequest, deadline: Deadline) => Promise<StatementResponse>;
	/** Rolls a transaction back, after its running statement has ended if there is one; does nothing if it is not open. */
	rollBack: (id: string) => void;
	getOpenCount: () => number;
	/** Counts the open transactions that may write. */
	getWriterCount: () => number;
}>;

type OpenTransaction = {
	readonly target: TargetId;
	/** Kind of all its statements, as its objective was when it was begun. */
	readonly kind: StatementKind;
	readonly handle: ConnectionHandle;
	/** Proof that its target has led since it was begun; `undefined` if it is read-only and may run anywhere. */
	readonly leadProof: LeadProof | undefined;
	/** Whether a write was sent in it. */
	hasWritten: boolean;
	/** Cancels the timer that enforces the idle limit. */
	cancelIdleTimer: () => void;
	isBusy: boolean;
	/** Whether it was ended while a statement was running: it is rolled back when that statement ends. */
	isRollbackPending: boolean;
};

/** A statement of a transaction with its deadline and arrival time. */
type TransactionStatement = Readonly<{request: StatementRequest; deadline: Deadline; arrivedAt: number}>;

/** Maximum number of attempts to begin a transaction, or to run one of its statements. */
const MAX_ATTEMPTS = 4;
/** Pause before another attempt on a busy target: about the duration of one statement. */
const RETRY_PAUSE_MS = 10;
/** Timeout of a rollback; after it the connection is closed. */
const ROLLBACK_TIMEOUT_MS = 1000;

/** Placeholder for `cancelIdleTimer` while no timer is running. */
const doNothing = () => undefined;

const createAbortedRefusal = (reason: string): StatementOutcome => createRefusal('aborted', reason);

/** Describes the outcome of a statement that did not succeed, and the status of its transaction. Unless a commit may have run, the transaction has no effect: its connection is rolled back or closed. */
const describeUnfinished = (verdict: Verdict, isCommit: boolean): readonly [outcome: StatementOutcome, status: StatementResponse['status']] => {
	if (verdict.kind === 'notRun') {
		return [createAbortedRefusal(`the target did not run the statement: ${verdict.code}`), 'failed'];
	}

	const {outcome} = verdict;
	if (!isCommit) {
		return [createAbortedRefusal('reason' in outcome ? outcome.reason : ''), 'failed'];
	}

	return [outcome.kind === 'timeout' ? {kind: 'unknown', reason: outcome.reason} : outcome, 'idle'];
};

/** Creates an empty set of open transactions. */
export const createTransactions = (components: SharedComponents): Transactions => {
	const {context, scheduler} = components;
	const {runtime} = context;
	const openTransactions = new Map<string, OpenTransaction>();

	const rollBackAndRelease = async (transaction: OpenTransaction) => {
		if (transaction.handle.connection.isEnded()) {
			transaction.handle.release(false);
			return;
		}

		const {replies, ended} = await transaction.handle.connection.execute([{kind: 'rollback'}], createDeadline(runtime.now(), ROLLBACK_TIMEOUT_MS));
		transaction.handle.release(ended === 'no' && replies[0]?.status === 'idle');
	};

	const rollBack = (id: string) => {
		const transaction = openTransactions.get(id);
		if (!transaction) {
			return;
		}

		openTransactions.delete(id);
		transaction.cancelIdleTimer();
		if (transaction.isBusy) {
			transaction.isRollbackPending = true;
		} else {
			void rollBackAndRelease(transaction);
		}
	};

	const startIdleTimer = (id: string): (() => void) => runtime.schedule(context.getIdleTransactionMs(), () => {
		context.onDecision({
			kind: 'transactionExpired', requestId: id, target: openTransactions.get(id)?.target ?? '', reason: 'the transaction exceeded its idle limit', ageMs: context.getIdleTransactionMs(),
		});
		rollBack(id);
	});

	const reportUnproven = (request: StatementRequest, target: TargetId, ageMs: number) => {
		context.onDecision({
			kind: 'unproven', requestId: request.id, customer: request.customer, target, reason: 'the target may have been replaced before it replied', ageMs,
		});
	};

	/** Acquires a slot on the target of a transaction. */
	const acquirePinnedSlot = async (request: StatementRequest, transaction: OpenTransaction, deadline: Deadline) => scheduler.acquire({
		customer: request.customer,
		kind: transaction.kind,
		priority: request.priority,
		latencyDeadline: createDeadline(runtime.now(), request.promptMs),
		deadline,
		answerDeadline: deadline,
		isPinned: true,
		chooseTarget: freeTargets => freeTargets.find(load => load.id === transaction.target)?.id,
	});

	/** Resolves to whether a commit that a target confirmed may be acknowledged: it wrote nothing, or the target has led all along and the commit is kept. */
	const isCommitProven = async ({hasWritten, leadProof}: OpenTransaction, commitProof: CommitProof, reply: Reply | undefined, deadline: Deadline): Promise<boolean> => {
		if (!hasWritten || !leadProof) {
			return true;
		}

		const hasLed = await leadProof.confirm();
		return hasLed && commitProof.confirm(reply?.position, deadline);
	};

	/** Runs a statement of an open transaction in an acquired slot; `again` if it has not run and can be retried. */
	const runInTransaction = async (transaction: OpenTransaction, slot: Slot, {request, deadline, arrivedAt}: TransactionStatement): Promise<StatementResponse | 'again'> => {
		const {handle, target} = transaction;
		const isCommit = request.statement.kind === 'commit';
		const startedAt = runtime.now();
		components.healthTracker.recordStatementSent(target);
		const setup = await handle.setUp(request.values, request.statement, deadline);
		if (setup.err) {
			components.healthTracker.recordStatementEnded(target);
			recordPace(components, target, {kind: 'notRun', code: setup.val.code}, {ms: runtime.now() - startedAt, request});
			slot.release();
			recordReply(components, target, setup.val.code);
			return createResponse(createAbortedRefusal(setup.val.message), startedAt - arrivedAt, 'failed');
		}

		const sentAt = context.readSuspensionClock();
		const commitProof = components.commitProofs.start(target);
		transaction.hasWritten ||= getAccess(request.statement) === 'write';
		const execution = await handle.connection.execute([createStatementCommand(request, setup.val, undefined)], deadline);
		components.healthTracker.recordStatementEnded(target);
		const [reply] = execution.replies;
		const verdict = evaluateReply(execution, 0, request);
		const tookMs = runtime.now() - startedAt;
		recordPace(components, target, verdict, {ms: tookMs, request});
		slot.release(getServedMs(verdict, tookMs));
		recordReply(components, target, getNotRunCode(verdict));
		const waitedMs = startedAt - arrivedAt;
		const respond = (outcome: StatementOutcome, status: StatementResponse['status']): StatementResponse => ({
			outcome, status, position: reply?.position, target, waitedMs,
		});

		if (verdict.kind === 'final' && verdict.outcome.kind === 'done') {
			if (isCommit && !await isCommitProven(transaction, commitProof, reply, deadline)) {
				reportUnproven(request, target, runtime.now() - startedAt);
				return respond({kind: 'unknown', reason: 'the target may have been replaced before it replied to the commit'}, 'idle');
			}

			if (transaction.leadProof?.isCertain() && reply) {
				recordVerifiedPosition(components, target, reply, sentAt);
			}

			return respond(verdict.outcome, reply?.status ?? 'failed');
		}

		if (verdict.kind === 'notRun' && reply?.status === 'open' && (verdict.code === 'busy' || verdict.code === 'noStatement')) {
			if (verdict.code === 'noStatement') {
				handle.discardPrepared();
			}

			return 'again';
		}

		return respond(...describeUnfinished(verdict, isCommit));
	};

	/** Starts the idle timer of a transaction that stays open, or ends it. */
	const finishStatement = (id: string, transaction: OpenTransaction, response: StatementResponse): StatementResponse => {
		transaction.isBusy = false;
		if (response.status === 'open' && !transaction.isRollbackPending) {
			transaction.cancelIdleTimer = startIdleTimer(id);
			return response;
		}

		openTransactions.delete(id);
		if (response.status === 'idle') {
			transaction.handle.release(!transaction.handle.connection.isEnded());
		} else {
			void rollBackAndRelease(transaction);
		}

		return response;
	};

	const continueTransaction = async (id: string, transaction: OpenTransaction, {request, deadline, arrivedAt}: TransactionStatement, firstSlot?: Slot): Promise<StatementResponse> => {
		transaction.cancelIdleTimer();
		transaction.isBusy = true;
		if (transaction.leadProof && context.appointments.isDecisive && context.appointments.getAppointed() !== transaction.target) {
			firstSlot?.release();
			return finishStatement(id, transaction, createResponse(createAbortedRefusal('another target was appointed primary'), runtime.now() - arrivedAt, 'failed'));
		}

		let slot = firstSlot;
		for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			if (!slot) {
				const acquired = await acquirePinnedSlot(request, transaction, deadline);
				if (acquired.err) {
					return finishStatement(id, transaction, createResponse(createAbortedRefusal(acquired.val.message), runtime.now() - arrivedAt, 'failed'));
				}

				slot = acquired.val;
			}

			const response = await runInTransaction(transaction, slot, {request, deadline, arrivedAt});
			slot = undefined;
			if (response !== 'again') {
				return finishStatement(id, transaction, response);
			}

			await runtime.sleep(RETRY_PAUSE_MS * (1 + runtime.random()));
		}

		return finishStatement(id, transaction, createResponse(createAbortedRefusal('the target was busy on every attempt'), runtime.now() - arrivedAt, 'failed'));
	};

	/** Begins a transaction on a connection; `undefined` if the target refused or did not reply. */
	const beginTransaction = async (plan: Plan, handle: ConnectionHandle, {request, deadline}: TransactionStatement, target: TargetId): Promise<OpenTransaction | undefined> => {
		const isReadOnly = plan.kind === 'anywhere';
		const startedAt = runtime.now();
		// A commit needs no prepared statement, so this sets only the session variables.
		const setup = await handle.setUp(request.values, {kind: 'commit', text: ''}, deadline);
		if (setup.err) {
			recordReply(components, target, setup.val.code);
			recordPace(components, target, {kind: 'notRun', code: setup.val.code}, {ms: runtime.now() - startedAt, request});
			handle.release(false);
			return undefined;
		}

		const sentAt = context.readSuspensionClock();
		const leadProof = isReadOnly ? undefined : context.appointments.startProof(target);
		const execution = await handle.connection.execute([{kind: 'begin', readOnly: isReadOnly, after: isReadOnly ? plan.after : undefined}], deadline);
		const [reply] = execution.replies;
		if (reply?.result.kind !== 'done' || reply.status !== 'open') {
			const code = reply?.result.kind === 'error' ? reply.result.code : 'lost';
			recordReply(components, target, code);
			recordPace(components, target, {kind: 'notRun', code}, {ms: runtime.now() - startedAt, request});
			handle.release(execution.ended === 'no' && reply?.status === 'idle');
			return undefined;
		}

		if (leadProof) {
			if (!await leadProof.confirm()) {
				reportUnproven(request, target, context.readSuspensionClock() - sentAt);
				handle.release(false);
				return undefined;
			}

			recordVerifiedPosition(components, target, reply, sentAt);
		}

		return {
			target, kind: createStatementKind(request), handle, leadProof, hasWritten: false, cancelIdleTimer: doNothing, isBusy: true, isRollbackPending: false,
		};
	};

	const startTransaction = async (id: string, request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		const arrivedAt = runtime.now();
		const kind = createStatementKind(request);
		const triedTargets = new Set<TargetId>();
		for (let attempt = 0; attempt < MAX_ATTEMPTS && !isPast(deadline, runtime.now()); attempt++) {
			const plan = await createPlan(components, request, deadline);
			if (!plan) {
				break;
			}

			const refusal = createLeaderRefusal(components, plan);
			if (refusal) {
				return createResponse(refusal, runtime.now() - arrivedAt, 'failed');
			}

			const slot = await scheduler.acquire({
				customer: request.customer,
				kind,
				priority: request.priority,
				latencyDeadline: createDeadline(arrivedAt, request.promptMs),
				deadline: computeSlotDeadline(components, plan, deadline),
				answerDeadline: deadline,
				isPinned: false,
				chooseTarget: freeTargets => chooseTarget(components, {plan, request, tried: triedTargets}, freeTargets),
			});
			if (slot.err) {
				return createResponse(createSlotRefusal(components, plan, request, slot.val), runtime.now() - arrivedAt, 'failed');
			}

			const {target} = slot.val;
			const handle = await takeConnection(components, {
				plan, target, request, deadline,
			});
			const transaction = handle.ok ? await beginTransaction(plan, handle.val, {request, deadline, arrivedAt}, target) : undefined;
			if (transaction) {
				openTransactions.set(id, transaction);
				return continueTransaction(id, transaction, {request, deadline, arrivedAt}, slot.val);
			}

			slot.val.release();
			triedTargets.add(target);
		}

		return createResponse(createBusyRefusal('no target could begin the transaction', RETRY_PAUSE_MS), runtime.now() - arrivedAt, 'failed');
	};

	return {
		async serve(request, deadline) {
			const id = request.transaction?.id ?? '';
			const transaction = openTransactions.get(id);
			if (transaction) {
				return transaction.isBusy
					? createResponse(createAbortedRefusal('another statement of the transaction is still running'), 0, 'failed')
					: continueTransaction(id, transaction, {request, deadline, arrivedAt: runtime.now()});
			}

			return request.transaction?.isFirst
				? startTransaction(id, request, deadline)
				: createResponse(createAbortedRefusal('the transaction has ended'), 0, 'failed');
		},
		rollBack,
		getOpenCount: () => openTransactions.size,
		getWriterCount: () => [...openTransactions.values()].filter(({leadProof}) => leadProof !== undefined).length,
	};
};
