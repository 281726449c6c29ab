/** Open transactions of a database owner, each on a connection of its own. */

import {
	chooseEarliest, createDeadline, isPast, type DataCentreId, type Deadline, type TargetId,
} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import {
	createResponse, createBusyRefusal, evaluateReply, getNotRunCode, isAnswered, recordPace, recordReply, type Verdict,
} from './replies.js';
import {BEGINNING_REQUESTS, takePacedSlot} from './cold-targets.js';
import type {LeadProof} from './appointments.js';
import {classifyWork, recordLeadEvidence} from './lead-evidence.js';
import type {CommitProof} from './commit-proofs.js';
import type {ConnectionHandle} from './connections.js';
import type {SharedComponents} from './database-owner.js';
import {
	chooseTarget, computeSlotDeadline, createPlan, type Plan,
} from './plans.js';
import {
	createLeaderRefusal, createSlotRefusal, createStatementCommand, takeConnection,
} from './single-statements.js';
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
	/** Ends the transactions on targets of evacuated data centres before nothing may be sent there any longer; called when the targets have changed. */
	limitToEvacuations: () => void;
}>;

type OpenTransaction = {
	readonly target: TargetId;
	readonly dataCentre: DataCentreId | undefined;
	readonly handle: ConnectionHandle;
	/** Proof that its target has led since it was begun; `undefined` if it is read-only and may run anywhere. */
	readonly leadProof: LeadProof | undefined;
	/** Whether a write was sent in it. */
	hasWritten: boolean;
	/** Cancels the timer that enforces the idle limit. */
	cancelIdleTimer: () => void;
	isBusy: boolean;
	/** Whether a timer will end it because the data centre of its target is evacuated. */
	isLimited: boolean;
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

/** Reason for ending a transaction on a target of an evacuated data centre. */
const EVACUATED_REASON = 'the data centre of its target is evacuated';

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
	const {context} = components;
	const {runtime} = context;
	const openTransactions = new Map<string, OpenTransaction>();

	/** Returns how long statements may still be sent in a transaction, in milliseconds; infinite unless the data centre of its target is evacuated. */
	const getSendingMs = ({dataCentre}: OpenTransaction): number => dataCentre === undefined ? Number.POSITIVE_INFINITY : components.getSendingMs(dataCentre);

	const rollBackAndRelease = async (transaction: OpenTransaction) => {
		// A target rolls back the transaction of a connection that ends.
		if (transaction.handle.connection.isEnded() || getSendingMs(transaction) <= 0) {
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

	/** Ends a transaction when nothing may be sent to its target any longer, if that is in an evacuated data centre. */
	const limitToEvacuation = (id: string, transaction: OpenTransaction) => {
		const sendingMs = getSendingMs(transaction);
		if (transaction.isLimited || sendingMs === Number.POSITIVE_INFINITY) {
			return;
		}

		transaction.isLimited = true;
		runtime.schedule(Math.max(0, sendingMs), () => {
			transaction.isLimited = false;
			if (openTransactions.get(id) !== transaction) {
				return;
			}

			if (getSendingMs(transaction) > 0) {
				limitToEvacuation(id, transaction);
				return;
			}

			context.onDecision({
				kind: 'transactionExpired', requestId: id, target: transaction.target, reason: EVACUATED_REASON, ageMs: 0,
			});
			rollBack(id);
		});
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
	const acquirePinnedSlot = async (request: StatementRequest, transaction: OpenTransaction, deadline: Deadline) => takePacedSlot(components, {
		customer: request.customer,
		priority: request.priority,
		latencyDeadline: createDeadline(runtime.now(), request.promptMs),
		deadline: chooseEarliest([deadline, createDeadline(runtime.now(), getSendingMs(transaction))]),
		isPinned: true,
		chooseTarget: freeTargets => freeTargets.find(load => load.id === transaction.target)?.id,
	}, 1);

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
		slot.release(isAnswered(verdict) ? tookMs : undefined);
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
				recordLeadEvidence(components, target, {work: classifyWork(request.statement, {mayWrite: true, hasWritten: transaction.hasWritten}), reply, sentAt});
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

			if (getSendingMs(transaction) <= 0) {
				slot.release();
				return finishStatement(id, transaction, createResponse(createAbortedRefusal(EVACUATED_REASON), runtime.now() - arrivedAt, 'failed'));
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

			recordLeadEvidence(components, target, {work: 'beginForWriting', reply, sentAt});
		}

		return {
			target, dataCentre: components.getTarget(target)?.dataCentre, handle, leadProof, hasWritten: false, cancelIdleTimer: doNothing, isBusy: true, isLimited: false, isRollbackPending: false,
		};
	};

	const startTransaction = async (id: string, request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		const arrivedAt = runtime.now();
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

			const slot = await takePacedSlot(components, {
				customer: request.customer,
				priority: request.priority,
				latencyDeadline: createDeadline(arrivedAt, request.promptMs),
				deadline: computeSlotDeadline(components, plan, deadline),
				isPinned: false,
				chooseTarget: freeTargets => chooseTarget(components, {plan, request, tried: triedTargets}, freeTargets),
			}, BEGINNING_REQUESTS);
			if (slot.err) {
				return createResponse(createSlotRefusal(components, plan, slot.val.message), runtime.now() - arrivedAt, 'failed');
			}

			const {target} = slot.val;
			const handle = await takeConnection(components, {
				plan, target, request, deadline,
			});
			const transaction = handle.ok ? await beginTransaction(plan, handle.val, {request, deadline, arrivedAt}, target) : undefined;
			if (transaction) {
				openTransactions.set(id, transaction);
				limitToEvacuation(id, transaction);
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
		limitToEvacuations() {
			for (const [id, transaction] of openTransactions) {
				limitToEvacuation(id, transaction);
			}
		},
		getOpenCount: () => openTransactions.size,
		getWriterCount: () => [...openTransactions.values()].filter(({leadProof}) => leadProof !== undefined).length,
	};
};
