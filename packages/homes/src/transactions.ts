/** Transactions held open at a home, each on a connection of its own. */

import {
	createDeadline, isPast, type Deadline, type TargetId,
} from '@guavapitch/core';
import {
	createRefusal, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import {
	createResponse, createBusyRefusal, evaluateReply, recordDialFailure, recordReply, recordVerifiedPosition,
} from './replies.js';
import type {ConnectionHandle} from './connections.js';
import type {SharedComponents} from './database-owner.js';
import {
	chooseTarget, computeSlotDeadline, createPlan, type Plan,
} from './plans.js';
import {createStatementCommand} from './single-statements.js';
import type {Slot} from './slot-scheduler.js';

/** Open transactions of a home. */
export type Transactions = Readonly<{
	serve: (request: StatementRequest, deadline: Deadline) => Promise<StatementResponse>;
	rollBack: (id: string) => void;
	getOpenCount: () => number;
	/** Counts the open transactions that may write. */
	getWriterCount: () => number;
}>;

type Open = {
	readonly target: TargetId;
	readonly loan: ConnectionHandle;
	readonly isLeaders: boolean;
	/** Cancels the timer of the idle limit. */
	cancelIdle: () => void;
	isBusy: boolean;
	/** Ended while a statement was under way: it is rolled back when that ends. */
	isAbandoned: boolean;
};

/** A statement of a transaction and its times. */
type Turn = Readonly<{request: StatementRequest; deadline: Deadline; arrivedAt: number}>;

const MOST_ATTEMPTS = 4;
const RETRY_PAUSE_MS = 10;
/** Time for rolling back before the connection is given up, in milliseconds. */
const ROLLBACK_TIMEOUT_MS = 1000;

/** Stands for the timer that does not run yet. */
const doNothing = () => undefined;

const createAborted = (reason: string): StatementOutcome => createRefusal('aborted', reason);

/** Creates the transactions of a home. */
export const createTransactions = (parts: SharedComponents): Transactions => {
	const {context, scheduler: placement} = parts;
	const {world} = context;
	const open = new Map<string, Open>();

	const finishLoan = async (transaction: Open) => {
		if (transaction.loan.connection.isEnded()) {
			transaction.loan.release(false);
			return;
		}

		const {replies, ended} = await transaction.loan.connection.execute([{kind: 'rollback'}], createDeadline(world.now(), ROLLBACK_TIMEOUT_MS));
		transaction.loan.release(ended === 'no' && replies[0]?.status === 'idle');
	};

	const rollBack = (id: string) => {
		const transaction = open.get(id);
		if (!transaction) {
			return;
		}

		open.delete(id);
		transaction.cancelIdle();
		if (transaction.isBusy) {
			transaction.isAbandoned = true;
		} else {
			void finishLoan(transaction);
		}
	};

	const startIdleTimer = (id: string): (() => void) => world.schedule(context.getIdleTransactionMs(), () => {
		context.onDecision({
			kind: 'transactionExpired', requestId: id, target: open.get(id)?.target ?? '', reason: 'the transaction stayed idle too long', ageMs: context.getIdleTransactionMs(),
		});
		rollBack(id);
	});

	/** Takes a slot of the transaction's target. */
	const enterPinned = async (request: StatementRequest, transaction: Open, deadline: Deadline) => placement.acquire({
		customer: request.customer,
		priority: request.priority,
		latencyDeadline: createDeadline(world.now(), request.promptMs),
		deadline,
		isPinned: true,
		chooseTarget: free => free.find(load => load.id === transaction.target)?.id,
	});

	/** Runs a statement of an open transaction in a slot that it has. */
	const run = async (transaction: Open, slot: Slot, {request, deadline, arrivedAt}: Turn): Promise<StatementResponse | 'again'> => {
		const {loan, target} = transaction;
		const isCommit = request.statement.kind === 'commit';
		const {commands, preparedName} = loan.createSetupCommands(request.values, request.statement);
		const askedAt = context.readClock();
		const startedAt = world.now();
		parts.healthTracker.recordStatementSent(target);
		const execution = await loan.connection.execute([...commands, createStatementCommand(request, preparedName, undefined)], deadline);
		parts.healthTracker.recordStatementEnded(target);
		slot.release(world.now() - startedAt);
		const reply = execution.replies[commands.length];
		const verdict = evaluateReply(execution, commands.length, request);
		recordReply(parts, target, verdict.kind === 'notRun' ? verdict.code : (reply ? undefined : 'lost'));
		const waitedMs = startedAt - arrivedAt;
		const answer = (outcome: StatementOutcome, status: StatementResponse['status']): StatementResponse => ({
			outcome, status, position: reply?.position, target, waitedMs,
		});

		if (verdict.kind === 'final' && verdict.outcome.kind === 'done') {
			if (transaction.isLeaders && reply) {
				recordVerifiedPosition(parts, target, reply, askedAt);
			}

			return answer(verdict.outcome, reply?.status ?? 'failed');
		}

		if (verdict.kind === 'notRun' && reply?.status === 'open' && (verdict.code === 'busy' || verdict.code === 'noStatement')) {
			if (verdict.code === 'noStatement') {
				loan.discardPrepared();
			}

			return 'again';
		}

		// Without a commit at the target nothing is kept, since the connection is rolled back or closed.
		if (!isCommit || verdict.kind === 'notRun') {
			const reason = verdict.kind === 'notRun' ? `the target answered ${verdict.code}` : ('reason' in verdict.outcome ? verdict.outcome.reason : '');
			return answer(createAborted(reason), 'failed');
		}

		return answer(verdict.outcome.kind === 'timeout' ? {kind: 'unknown', reason: verdict.outcome.reason} : verdict.outcome, 'idle');
	};

	/** Puts an open transaction aside until its next statement, or ends it. */
	const settle = (id: string, transaction: Open, answer: StatementResponse): StatementResponse => {
		transaction.isBusy = false;
		if (answer.status === 'open' && !transaction.isAbandoned) {
			transaction.cancelIdle = startIdleTimer(id);
			return answer;
		}

		open.delete(id);
		if (answer.status === 'idle') {
			transaction.loan.release(!transaction.loan.connection.isEnded());
		} else {
			void finishLoan(transaction);
		}

		return answer;
	};

	const continueTransaction = async (id: string, transaction: Open, {request, deadline, arrivedAt}: Turn, firstSlot?: Slot): Promise<StatementResponse> => {
		transaction.cancelIdle();
		transaction.isBusy = true;
		let slot = firstSlot;
		for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
			if (!slot) {
				const entered = await enterPinned(request, transaction, deadline);
				if (entered.err) {
					return settle(id, transaction, createResponse(createAborted(entered.val.message), world.now() - arrivedAt, 'failed'));
				}

				slot = entered.val;
			}

			const answer = await run(transaction, slot, {request, deadline, arrivedAt});
			slot = undefined;
			if (answer !== 'again') {
				return settle(id, transaction, answer);
			}

			await world.sleep(RETRY_PAUSE_MS * (1 + world.random()));
		}

		return settle(id, transaction, createResponse(createAborted('the target stayed busy'), world.now() - arrivedAt, 'failed'));
	};

	/** Begins a transaction at a target on a connection; `undefined` if the target refused. */
	const begin = async (plan: Plan, loan: ConnectionHandle, {request, deadline}: Turn, target: TargetId): Promise<Open | undefined> => {
		const readOnly = plan.kind === 'anywhere';
		const {commands} = loan.createSetupCommands(request.values, {kind: 'commit', text: ''});
		const askedAt = context.readClock();
		const execution = await loan.connection.execute([...commands, {kind: 'begin', readOnly, after: readOnly ? plan.after : undefined}], deadline);
		const reply = execution.replies[commands.length];
		if (reply?.result.kind !== 'done' || reply.status !== 'open') {
			recordReply(parts, target, reply?.result.kind === 'error' ? reply.result.code : 'lost');
			loan.release(execution.ended === 'no' && reply?.status === 'idle');
			return undefined;
		}

		if (!readOnly) {
			recordVerifiedPosition(parts, target, reply, askedAt);
		}

		return {
			target, loan, isLeaders: !readOnly, cancelIdle: doNothing, isBusy: true, isAbandoned: false,
		};
	};

	const startTransaction = async (id: string, request: StatementRequest, deadline: Deadline): Promise<StatementResponse> => {
		const arrivedAt = world.now();
		const tried = new Set<TargetId>();
		for (let attempt = 0; attempt < MOST_ATTEMPTS && !isPast(deadline, world.now()); attempt++) {
			const plan = await createPlan(parts, request, deadline);
			if (!plan) {
				break;
			}

			const slot = await placement.acquire({
				customer: request.customer,
				priority: request.priority,
				latencyDeadline: createDeadline(arrivedAt, request.promptMs),
				deadline: computeSlotDeadline(parts, plan, deadline),
				isPinned: false,
				chooseTarget: free => chooseTarget(parts, {plan, request, tried}, free),
			});
			if (slot.err) {
				return createResponse(createBusyRefusal(slot.val.message, RETRY_PAUSE_MS), world.now() - arrivedAt, 'failed');
			}

			const {target} = slot.val;
			const loan = await parts.getConnections(target)?.acquire(request.customer, request.values, deadline);
			const transaction = loan?.ok ? await begin(plan, loan.val, {request, deadline, arrivedAt}, target) : undefined;
			if (transaction) {
				open.set(id, transaction);
				return continueTransaction(id, transaction, {request, deadline, arrivedAt}, slot.val);
			}

			slot.val.release();
			if (!loan?.ok) {
				recordDialFailure(parts, target, loan?.val);
			}

			tried.add(target);
		}

		return createResponse(createBusyRefusal('no target accepts the transaction now', RETRY_PAUSE_MS), world.now() - arrivedAt, 'failed');
	};

	return {
		async serve(request, deadline) {
			const id = request.transaction?.id ?? '';
			const transaction = open.get(id);
			if (transaction) {
				return transaction.isBusy
					? createResponse(createAborted('two statements of one transaction at once'), 0, 'failed')
					: continueTransaction(id, transaction, {request, deadline, arrivedAt: world.now()});
			}

			return request.transaction?.isFirst
				? startTransaction(id, request, deadline)
				: createResponse(createAborted('the transaction has ended'), 0, 'failed');
		},
		rollBack,
		getOpenCount: () => open.size,
		getWriterCount: () => [...open.values()].filter(({isLeaders}) => isLeaders).length,
	};
};
