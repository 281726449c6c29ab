/** Interprets the replies of targets. */

import type {TargetId, TransactionStatus} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import type {SharedComponents} from './database-owner.js';
import type {
	DialFailure, Execution, Reply, TargetErrorCode,
} from './targets.js';

/** Creates the response to a statement without a reply from a target. `waitedMs` is the time since the statement arrived. */
export const createResponse = (outcome: StatementOutcome, waitedMs = 0, status: TransactionStatus = 'idle'): StatementResponse => ({
	outcome, status, position: undefined, target: undefined, waitedMs,
});

/** Why a statement has not run, or is a read that must run again: an error code of the target, a lost reply, or a target that may have been replaced before it replied. */
export type NotRunCode = TargetErrorCode | 'lost' | 'replaced';

/** What the execution of a statement means for its request. */
export type Verdict
	/** The outcome is final. */
	= | Readonly<{kind: 'final'; outcome: StatementOutcome; reply: Reply | undefined}>
	/** The statement has not run, or is a read: it may be retried on another target or later. */
		| Readonly<{kind: 'notRun'; code: NotRunCode}>;

/** Error codes of targets that guarantee that the statement has not run. */
const NOT_RUN_CODES: ReadonlySet<TargetErrorCode> = new Set(['busy', 'noStatement', 'lagging', 'readOnly', 'misrouted', 'tooMany']);

const createLostOutcome = (execution: Execution, request: StatementRequest): StatementOutcome => execution.ended === 'timeout'
	? {kind: 'timeout', reason: 'the target did not respond before the deadline'}
	: {kind: 'unknown', reason: `the connection to the target was lost while it ran a ${getAccess(request.statement)}`};

/** Creates the outcome of a statement that the target may have run; a write whose answer was too long took effect, but its answer is lost. */
const createErrorOutcome = (code: TargetErrorCode, reason: string, request: StatementRequest): StatementOutcome => {
	if (code === 'timeout') {
		return {kind: 'timeout', reason};
	}

	return {kind: code === 'tooLong' && getAccess(request.statement) !== 'read' ? 'unknown' : 'failed', reason};
};

/** Evaluates the reply to a statement, which is at `index` in the list of commands. */
export const evaluateReply = (execution: Execution, index: number, request: StatementRequest): Verdict => {
	const reply = execution.replies[index];
	if (!reply) {
		// A read can be run again, but a write or a commit may have taken effect.
		return getAccess(request.statement) === 'read' && execution.ended === 'lost'
			? {kind: 'notRun', code: 'lost'}
			: {kind: 'final', outcome: createLostOutcome(execution, request), reply: undefined};
	}

	const {result} = reply;
	if (result.kind === 'done') {
		return {kind: 'final', outcome: result, reply};
	}

	if (NOT_RUN_CODES.has(result.code)) {
		return {kind: 'notRun', code: result.code};
	}

	return {kind: 'final', outcome: createErrorOutcome(result.code, result.text, request), reply};
};

/** Returns why a statement has not run, and `lost` if the target did not reply; `undefined` after any other reply. */
export const getNotRunCode = (verdict: Verdict): NotRunCode | undefined => verdict.kind === 'notRun' ? verdict.code : (verdict.reply ? undefined : 'lost');

/** Tells whether the target replied to a statement. */
export const isAnswered = (verdict: Verdict): boolean => getNotRunCode(verdict) !== 'lost';

/** Updates the health and the role of a target after a reply; `code` is `lost` if there was none. */
export const recordReply = (components: SharedComponents, target: TargetId, code: NotRunCode | undefined): void => {
	if (code === 'lost') {
		components.healthTracker.markSuspect(target, 'a statement got no reply');
	} else if (code === 'lagging') {
		components.healthTracker.markLagging(target);
	} else {
		components.healthTracker.recordResponse(target);
	}

	if (code === 'readOnly') {
		components.leaderTracker.markFollowing(target, components.context.runtime.now());
	}
};

/** A statement or a dial that ended `ms` milliseconds after it was sent. */
export type TimedRequest = Readonly<{ms: number; request: StatementRequest}>;

/** Updates the pace of a target after a statement. Refusals and failed statements tell nothing about the speed of a target, and neither does a timeout that left it less than half of the caller's time. */
export const recordPace = ({targetPaces}: SharedComponents, target: TargetId, verdict: Verdict, {ms, request}: TimedRequest): void => {
	if (verdict.kind === 'notRun') {
		if (verdict.code === 'lost') {
			targetPaces.recordFailure(target, ms);
		}
	} else if (!verdict.reply) {
		if (verdict.outcome.kind !== 'timeout' || ms >= request.remainingMs / 2) {
			targetPaces.recordFailure(target, ms);
		}
	} else if (verdict.outcome.kind === 'done' || verdict.outcome.kind === 'timeout') {
		targetPaces.recordAnswer(target, ms, request);
	}
};

/** Creates the refusal for a statement that no target could run. */
export const createBusyRefusal = (reason: string, retryAfterMs: number): StatementOutcome => createRefusal('busy', reason, retryAfterMs);

/** Records that no connection could be opened within `ms` milliseconds; a target that has reached its connection limit, or that nothing was sent to, is not considered down. */
export const recordDialFailure = (components: SharedComponents, target: TargetId, failure: DialFailure, ms: number): void => {
	if (failure.code === 'tooMany' || failure.code === 'unsendable') {
		return;
	}

	components.healthTracker.markSuspect(target, failure.message);
	// A dial that was cut short by the caller's deadline tells nothing about the speed of the target.
	if (failure.code !== 'silent' || ms > 2 * (components.getConnections(target)?.getDialMs() ?? 0)) {
		components.targetPaces.recordFailure(target, ms);
	}
};
