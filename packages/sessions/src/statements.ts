/** Statements of callers and their outcomes, independent of the wire encoding. */

import type {
	CustomerId, DatabaseId, RegionId, TransactionStatus,
} from '@guavapitch/core';

/** Position in the log of a database: positions of a later term follow all positions of an earlier one. */
export type LogPosition = Readonly<{term: number; number: number}>;

/** Which writes a read must include. */
export type Consistency
	/** All writes acknowledged before the read started. */
	= | Readonly<{kind: 'latest'}>
	/** All writes acknowledged more than `maxStalenessMs` ago. */
		| Readonly<{kind: 'bounded'; maxStalenessMs: number}>
	/** As `bounded`, and all writes acknowledged to the same session. */
		| Readonly<{kind: 'ownWrites'; maxStalenessMs: number}>;

/** Whether a statement may change data. */
export type Access = 'read' | 'write';

/** Definition of a statement that a caller has prepared: its access, and in `shape` its text. */
export type PreparedDefinition = Readonly<{access: Access; shape: string}>;

/** A statement to run at a target; `text` is the whole statement, `rest` the text that follows the name of a prepared one. */
export type TargetStatement
	= | Readonly<{kind: 'text'; access: Access; text: string}>
		| Readonly<{kind: 'prepared'; prepared: PreparedDefinition; rest: string}>
		| Readonly<{kind: 'commit'; text: string}>;

/** A statement as received from a caller; `text` is the whole statement, `rest` the text that follows the name of a prepared one. */
export type CallerStatement
	= | Readonly<{kind: 'begin'; readOnly: boolean}>
		| Readonly<{kind: 'commit'; text: string}>
		| Readonly<{kind: 'rollback'}>
		| Readonly<{kind: 'text'; access: Access; text: string}>
		| Readonly<{kind: 'set'; name: string; value: string}>
		| Readonly<{kind: 'prepare'; name: string; prepared: PreparedDefinition}>
		| Readonly<{kind: 'execute'; name: string; rest: string}>
		| Readonly<{kind: 'deallocate'; name: string}>;

/** Why a statement was not run, or was rolled back. `overShare`: the customer has exceeded its quota; `aborted`: the transaction was rolled back. */
export type StatementRefusalCode = 'busy' | 'overShare' | 'aborted' | 'lagging' | 'readOnly' | 'tooMany' | 'noKey' | 'noDatabase' | 'malformed' | 'noStatement';

/** Outcome of a statement. */
export type StatementOutcome
	/** The statement ran; `signature` is the proof given by the target, empty if no target was needed. */
	= | Readonly<{kind: 'done'; rows: readonly string[]; signature: string}>
	/** The statement has no effect: it was not run or was rolled back. The caller may try again after `retryAfterMs`; 0 if no time is known. */
		| Readonly<{kind: 'refused'; code: StatementRefusalCode; reason: string; retryAfterMs: number}>
	/** The statement ran at the target and failed there. */
		| Readonly<{kind: 'failed'; reason: string}>
	/** The statement timed out; it may have run. */
		| Readonly<{kind: 'timeout'; reason: string}>
	/** The outcome is unknown: the statement may have run. */
		| Readonly<{kind: 'unknown'; reason: string}>;

/** Log position that includes every write acknowledged more than `ageMs` milliseconds ago. */
export type VerifiedPosition = Readonly<{position: LogPosition; ageMs: number}>;

/** Request of an entry to the owner of a database to run a statement. */
export type StatementRequest = Readonly<{
	/** Identifier given by the caller. */
	id: string;
	database: DatabaseId;
	customer: CustomerId;
	statement: TargetStatement;
	consistency: Consistency;
	/** Minimum log position that a read must include: that of the last write acknowledged to the session. */
	floor: LogPosition | undefined;
	/** Session variables to set at the target. */
	values: ReadonlyArray<readonly [name: string, value: string]>;
	/** Transaction to which the statement belongs, if any; `isFirst` tells that the statement begins it at the owner. */
	transaction: Readonly<{id: string; readOnly: boolean; isFirst: boolean}> | undefined;
	/** Time left for the statement when it was sent, in milliseconds; a duration, because the clocks of vms are not synchronized. */
	remainingMs: number;
	/** Time left of the latency objective when the request was sent, in milliseconds. */
	promptMs: number;
	/** Statements with a smaller number run first. */
	priority: number;
	/** Regions at whose targets the request may run; absent if it may run at any. */
	allowedRegions?: readonly RegionId[];
	/** Position reported by another owner of the database, as of when the request was sent. */
	verified?: VerifiedPosition | undefined;
	/** Whether the entry has acquired a token of the customer's quota for the request. */
	isTokenAcquired?: boolean;
}>;

/** Response of the owner of a database. */
export type StatementResponse = Readonly<{
	outcome: StatementOutcome;
	/** Status of the transaction after the statement. */
	status: TransactionStatus;
	/** Log position of the target, from which the session takes its minimum position. */
	position: LogPosition | undefined;
	/** Target that ran the statement, for logging. */
	target: string | undefined;
	/** Time from the arrival of the request at the owner until it was sent to a target, in milliseconds. */
	waitedMs: number;
	/** Position that the owner verified last, as of when the response was sent. */
	verified?: VerifiedPosition | undefined;
	/** Whether the statement was refused because the owner has no quota allocator; the entry may acquire a token itself and send the request again. */
	isUnallocated?: boolean;
}>;

/** Compares two log positions, as for `Array.sort`. */
export const comparePositions = (a: LogPosition, b: LogPosition): number => a.term - b.term || a.number - b.number;

/** Returns the later of two log positions, or the one that is defined. */
export const chooseLaterPosition = (a: LogPosition | undefined, b: LogPosition | undefined): LogPosition | undefined => {
	if (!a || !b) {
		return a ?? b;
	}

	return comparePositions(a, b) >= 0 ? a : b;
};

/** Creates the outcome of a refused statement. */
export const createRefusal = (code: StatementRefusalCode, reason: string, retryAfterMs = 0): StatementOutcome => ({
	kind: 'refused', code, reason, retryAfterMs,
});

/** Returns the access that a statement needs. */
export const getAccess = (statement: TargetStatement): Access | 'commit' => {
	if (statement.kind === 'commit') {
		return 'commit';
	}

	return statement.kind === 'text' ? statement.access : statement.prepared.access;
};

/** Computes how many bytes the texts of a request have. */
export const computeRequestBytes = ({id, statement, values}: StatementRequest): number => {
	let bytes = id.length + (statement.kind === 'prepared' ? statement.prepared.shape.length + statement.rest.length : statement.text.length);
	for (const [name, value] of values) {
		bytes += name.length + value.length;
	}

	return bytes;
};
