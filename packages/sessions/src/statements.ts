/** Statements of callers and what becomes of them, without an encoding. */

import type {CustomerId, DatabaseId, TransactionStatus} from '@guavapitch/core';

/** Place in the log of a database. */
export type LogPosition = Readonly<{term: number; number: number}>;

/** What a read must have seen. */
export type Consistency
	/** Everything acknowledged before it began. */
	= | Readonly<{kind: 'latest'}>
	/** Everything acknowledged longer ago than the age. */
		| Readonly<{kind: 'bounded'; maxStalenessMs: number}>
	/** The same, and everything acknowledged to the session itself. */
		| Readonly<{kind: 'ownWrites'; maxStalenessMs: number}>;

/** Whether a statement may change data. */
export type Access = 'read' | 'write';

/** A statement prepared by a caller: its access and the text that defines it. */
export type PreparedDefinition = Readonly<{access: Access; shape: string}>;

/** A statement that a target must run. */
export type TargetStatement
	= | Readonly<{kind: 'text'; access: Access; text: string}>
		| Readonly<{kind: 'prepared'; prepared: PreparedDefinition; rest: string}>
		| Readonly<{kind: 'commit'; text: string}>;

/** A statement as a caller sends it. */
export type CallerStatement
	= | Readonly<{kind: 'begin'; readOnly: boolean}>
		| Readonly<{kind: 'commit'; text: string}>
		| Readonly<{kind: 'rollback'}>
		| Readonly<{kind: 'text'; access: Access; text: string}>
		| Readonly<{kind: 'set'; name: string; value: string}>
		| Readonly<{kind: 'prepare'; name: string; prepared: PreparedDefinition}>
		| Readonly<{kind: 'execute'; name: string; rest: string}>
		| Readonly<{kind: 'deallocate'; name: string}>;

/** Why a statement was not run, or nothing of it is kept. */
export type StatementRefusalCode = 'busy' | 'overShare' | 'aborted' | 'lagging' | 'readOnly' | 'tooMany' | 'noKey' | 'noDatabase' | 'malformed' | 'noStatement';

/** Outcome of a statement. */
export type StatementOutcome
	/** It ran; `signature` is the target's proof, empty when no target was needed. */
	= | Readonly<{kind: 'done'; rows: readonly string[]; signature: string}>
	/** Nothing of the caller's attempt is kept. */
		| Readonly<{kind: 'refused'; code: StatementRefusalCode; reason: string; retryAfterMs: number}>
	/** It ran at the target and failed there. */
		| Readonly<{kind: 'failed'; reason: string}>
	/** Its time ran out; it may have run. */
		| Readonly<{kind: 'timeout'; reason: string}>
	/** It may have run; nobody can tell. */
		| Readonly<{kind: 'unknown'; reason: string}>;

/** What an entry asks of the home of a database. */
export type StatementRequest = Readonly<{
	/** Identifier that the caller gave. */
	id: string;
	database: DatabaseId;
	customer: CustomerId;
	statement: TargetStatement;
	consistency: Consistency;
	/** Last position acknowledged to the session. */
	floor: LogPosition | undefined;
	/** Session values that must be set at the target. */
	values: ReadonlyArray<readonly [name: string, value: string]>;
	/** Transaction that the statement belongs to. */
	transaction: Readonly<{id: string; readOnly: boolean; isFirst: boolean}> | undefined;
	/** Time left for the statement when it was sent; clocks are not shared. */
	remainingMs: number;
	/** Time left in which an answer counts as prompt when it was sent. */
	promptMs: number;
	/** Smaller goes first. */
	priority: number;
}>;

/** What a home answers. */
export type StatementResponse = Readonly<{
	outcome: StatementOutcome;
	/** State of the transaction afterwards. */
	status: TransactionStatus;
	/** Position of the target's log, for the session's floor. */
	position: LogPosition | undefined;
	/** Target that answered, for the logs. */
	target: string | undefined;
	/** Time from the request's arrival at the home to its target, in milliseconds. */
	waitedMs: number;
}>;

/** Compares two positions. */
export const comparePositions = (a: LogPosition, b: LogPosition): number => a.term - b.term || a.number - b.number;

/** Chooses the later of two positions. */
export const chooseLaterPosition = (a: LogPosition | undefined, b: LogPosition | undefined): LogPosition | undefined => {
	if (!a || !b) {
		return a ?? b;
	}

	return comparePositions(a, b) >= 0 ? a : b;
};

/** Creates a refusal. */
export const createRefusal = (code: StatementRefusalCode, reason: string, retryAfterMs = 0): StatementOutcome => ({
	kind: 'refused', code, reason, retryAfterMs,
});

/** Gets the access that a statement needs. */
export const getAccess = (statement: TargetStatement): Access | 'commit' => {
	if (statement.kind === 'commit') {
		return 'commit';
	}

	return statement.kind === 'text' ? statement.access : statement.prepared.access;
};
