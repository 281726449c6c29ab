/** What a target's replies mean for a request. */

import type {Instant, TargetId, TransactionStatus} from '@guavapitch/core';
import {
	createRefusal, getAccess, type StatementResponse, type StatementRequest, type StatementOutcome,
} from '@guavapitch/sessions';
import type {SharedComponents} from './database-owner.js';
import type {
	DialFailure, Execution, Reply, TargetErrorCode,
} from './targets.js';

/** Creates an answer that needed no target, or got none. */
export const createResponse = (outcome: StatementOutcome, waitedMs = 0, status: TransactionStatus = 'idle'): StatementResponse => ({
	outcome, status, position: undefined, target: undefined, waitedMs,
});

/** Meaning of the end of a statement. */
export type Verdict
	/** The outcome stands. */
	= | Readonly<{kind: 'final'; outcome: StatementOutcome; reply: Reply | undefined}>
	/** It has not run, and may run elsewhere or later. */
		| Readonly<{kind: 'notRun'; code: TargetErrorCode | 'lost'}>;

/** Codes by which a target says that a statement has not run. */
const NOT_RUN: ReadonlySet<TargetErrorCode> = new Set(['busy', 'noStatement', 'lagging', 'readOnly', 'misrouted', 'tooMany']);

const createLostOutcome = (execution: Execution, request: StatementRequest): StatementOutcome => execution.ended === 'timeout'
	? {kind: 'timeout', reason: 'the target did not answer in time'}
	: {kind: 'unknown', reason: `the connection was lost while the target ran a ${getAccess(request.statement)}`};

/** Judges the reply to the statement, which stands at `index` among the commands. */
export const evaluateReply = (execution: Execution, index: number, request: StatementRequest): Verdict => {
	const reply = execution.replies[index];
	if (!reply) {
		// A read may run twice; anything else may have taken effect.
		return getAccess(request.statement) === 'read' && execution.ended === 'lost'
			? {kind: 'notRun', code: 'lost'}
			: {kind: 'final', outcome: createLostOutcome(execution, request), reply: undefined};
	}

	const {result} = reply;
	if (result.kind === 'done') {
		return {kind: 'final', outcome: result, reply};
	}

	if (NOT_RUN.has(result.code)) {
		return {kind: 'notRun', code: result.code};
	}

	const outcome: StatementOutcome = result.code === 'timeout'
		? {kind: 'timeout', reason: result.text}
		: {kind: 'failed', reason: result.text};
	return {kind: 'final', outcome, reply};
};

/** Takes note of what a reply says about its target. */
export const recordReply = (parts: SharedComponents, target: TargetId, code: TargetErrorCode | 'lost' | undefined): void => {
	if (code === 'lost') {
		parts.healthTracker.markSuspect(target, 'a statement got no answer');
	} else if (code === 'lagging') {
		parts.healthTracker.markLagging(target);
	} else {
		parts.healthTracker.recordResponse(target);
	}

	if (code === 'readOnly') {
		parts.leaderTracker.markFollowing(target, parts.context.world.now());
	}
};

/** Takes note that a target proved that it leads, with the position that it gave to a question of an instant. */
export const recordVerifiedPosition = (parts: SharedComponents, target: TargetId, reply: Reply, askedAt: Instant): void => {
	if (reply.position) {
		parts.positionHistory.record(askedAt, reply.position);
		parts.leaderTracker.markLeading(target, parts.context.world.now());
	}
};

/** Refusal after everything that could be tried. */
export const createBusyRefusal = (reason: string, retryAfterMs: number): StatementOutcome => createRefusal('busy', reason, retryAfterMs);

/** Takes note that no connection could be had; a full target is not down. */
export const recordDialFailure = (parts: SharedComponents, target: TargetId, failure: DialFailure | undefined): void => {
	if (failure && failure.code !== 'tooMany') {
		parts.healthTracker.markSuspect(target, failure.message);
	}
};
