/** History of a concurrent run: what each session asked, and what it was told. */

/** What became of an operation, as the caller was told. */
export type Outcome = 'done' | 'notRun' | 'unknown' | 'rolledBack';

/** One operation of a session. */
export type Operation = Readonly<{
	/** Number of the operation in the run. */
	number: number;
	session: string;
	customer: string;
	kind: 'lodge' | 'transfer' | 'read' | 'stale';
	/** Identifier of what was written or read. */
	id: string;
	/** Wall times in milliseconds, all of one process. */
	startedAt: number;
	endedAt: number;
	outcome: Outcome;
	/** SQLSTATE of a failure. */
	sqlState?: string;
	/** What a read found: the identifiers or values. */
	found?: readonly string[];
	/** Proxy that served it. */
	vm: string;
}>;

/** SQLSTATE of each outcome that is not `done`. */
const UNKNOWN_STATES: ReadonlySet<string> = new Set(['08007']);

/** Classifies a failure by what the caller was told; a connection lost without a word may have run. */
export const classifyFailure = (sqlState: string | undefined, message: string): Outcome => {
	if (sqlState === undefined || UNKNOWN_STATES.has(sqlState)) {
		return 'unknown';
	}

	if (message.startsWith('not run')) {
		return 'notRun';
	}

	return sqlState === '25P03' ? 'rolledBack' : 'unknown';
};
