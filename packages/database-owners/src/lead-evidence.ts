/**
 * Which successes prove that a target leads, and what is recorded then.
 *
 * A success is a proof only if a target that does not lead would have refused the work. Targets promise to refuse writes, the begin of a transaction
 * that may write, and the statements of such a transaction, but not its commit if it wrote nothing. What changes only the state
 * of a session (variables, prepared statements, a rollback) is no proof either: it need not touch the log.
 */

import type {Instant, TargetId} from '@guavapitch/core';
import {getAccess, type TargetStatement} from '@guavapitch/sessions';
import type {SharedComponents} from './database-owner.js';
import type {Reply} from './targets.js';

/** Work that a target has carried out. `read` is one outside a transaction that may write; `emptyCommit` ends a transaction in which nothing was written. */
export type Work = 'beginForWriting' | 'beginForReading' | 'readForWriting' | 'read' | 'write' | 'commit' | 'emptyCommit' | 'sessionChange';

/** Whether only a target that leads carries out a kind of work. */
const NEEDS_LEADER: Readonly<Record<Work, boolean>> = {
	beginForWriting: true,
	beginForReading: false,
	readForWriting: true,
	read: false,
	write: true,
	commit: true,
	emptyCommit: false,
	sessionChange: false,
};

/** The transaction in which a statement ran: whether it may write, and whether a write was sent in it. */
export type TransactionState = Readonly<{mayWrite: boolean; hasWritten: boolean}>;

/** Classifies a statement by what its success tells about the target. */
export const classifyWork = (statement: TargetStatement, {mayWrite, hasWritten}: TransactionState): Work => {
	switch (getAccess(statement)) {
		case 'write': {
			return 'write';
		}

		case 'commit': {
			return hasWritten ? 'commit' : 'emptyCommit';
		}

		default: {
			return mayWrite ? 'readForWriting' : 'read';
		}
	}
};

/** Tells whether the success of a kind of work proves that its target leads. */
export const isLeadProof = (work: Work): boolean => NEEDS_LEADER[work];

/** Work that a target has carried out, with its reply; `sentAt` is when it was sent, an instant of the suspension clock. */
export type CompletedWork = Readonly<{work: Work; reply: Reply; sentAt: Instant}>;

/** What is needed to record that a target leads. */
export type LeadEvidenceComponents = Pick<SharedComponents, 'context' | 'positionHistory' | 'leaderTracker'>;

/** Records the log position of completed work, and that its target leads, if that work proves it. A position that no leader can have is reported and not recorded. */
export const recordLeadEvidence = ({context, positionHistory, leaderTracker}: LeadEvidenceComponents, target: TargetId, {work, reply, sentAt}: CompletedWork): void => {
	const {position} = reply;
	if (!position || !isLeadProof(work)) {
		return;
	}

	const receivedAt = context.readSuspensionClock();
	const conflict = positionHistory.record(sentAt, position, receivedAt);
	if (conflict) {
		context.onDecision({
			kind: 'positionRefused',
			requestId: '',
			target,
			reason: `the position ${position.term}.${position.number} after ${work} is behind ${conflict.term}.${conflict.number}, which was verified before`,
			ageMs: receivedAt - sentAt,
		});
		return;
	}

	leaderTracker.markLeading(target, context.runtime.now());
};
