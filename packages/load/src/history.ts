/** History of a concurrent run: the operations of each session and the outcomes reported to it. */

/**
 * Outcome of an operation as reported to the caller.
 *
 * - `done`: the operation completed.
 * - `notRun`: the operation was refused and had no effect.
 * - `unknown`: the operation may or may not have taken effect.
 * - `rolledBack`: the transaction of the operation was rolled back.
 */
export type Outcome = 'done' | 'notRun' | 'unknown' | 'rolledBack';

/** Operation of a session. */
export type Operation = Readonly<{
	/** Sequence number of the operation in the run. */
	number: number;
	/** Name of the session; the identifiers of the rows that it inserts begin with this name and a dot. */
	session: string;
	customer: string;
	/** `lodge` inserts a row, `transfer` moves an amount between two accounts, `read` reads the rows of its session, `stale` reads a value that may be outdated, such as the sum of all balances. */
	kind: 'lodge' | 'transfer' | 'read' | 'stale';
	/** Identifier of the row or value that was written or read. */
	id: string;
	/** Start and end in milliseconds of wall-clock time, read in one process for all operations. */
	startedAt: number;
	endedAt: number;
	outcome: Outcome;
	/** SQLSTATE of a failure. */
	sqlState?: string;
	/** Identifiers or values that a read returned. */
	found?: readonly string[];
	/** Proxy that served the operation. */
	vm: string;
}>;

/** SQLSTATEs that report an unknown outcome. */
const UNKNOWN_OUTCOME_SQLSTATES: ReadonlySet<string> = new Set(['08007']);

/** Classifies a failure by the SQLSTATE and the message reported to the caller. Without an SQLSTATE the connection was lost, and the statement may have run: the outcome is unknown. */
export const classifyFailure = (sqlState: string | undefined, message: string): Outcome => {
	if (sqlState === undefined || UNKNOWN_OUTCOME_SQLSTATES.has(sqlState)) {
		return 'unknown';
	}

	if (message.startsWith('not run')) {
		return 'notRun';
	}

	return sqlState === '25P03' ? 'rolledBack' : 'unknown';
};
