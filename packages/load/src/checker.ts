/** Checks a recorded history against the guarantees of the proxy, independently of its implementation. */

import type {Operation} from './history.js';

/**
 * Guarantees that a history can violate.
 *
 * - `lostWrite`: an acknowledged write is not stored.
 * - `doubledWrite`: a write is stored more than once.
 * - `ranThoughNotRun`: a statement reported as not run, or as rolled back, took effect.
 * - `staleRead`: a read does not see an earlier write of its own session.
 * - `mixedTransaction`: a read or the final state shows part of a transaction.
 * - `foreignAnswer`: a read returned rows of another session.
 */
export type Guarantee = 'lostWrite' | 'doubledWrite' | 'ranThoughNotRun' | 'staleRead' | 'mixedTransaction' | 'foreignAnswer';

/** Violation of the guarantee `promise`; the number of the operation is -1 if the violation was found in the final state. */
export type Violation = Readonly<{promise: Guarantee; operation: number; detail: string}>;

/** Contents of the databases after the run. */
export type FinalState = Readonly<{
	/** Identifiers of the inserted rows, each as many times as it is stored. */
	storedIds: readonly string[];
	/** Sum of the balances of all accounts. */
	sum: number;
	/** Sum of the balances before the run; transfers do not change it. */
	expectedSum: number;
}>;

const countIds = (ids: readonly string[]): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const id of ids) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
};

/** Checks that each inserted row is stored as often as its reported outcome allows. */
const checkWrites = (history: readonly Operation[], final: FinalState): readonly Violation[] => {
	const counts = countIds(final.storedIds);
	const violations: Violation[] = [];
	for (const operation of history.filter(candidate => candidate.kind === 'lodge')) {
		const count = counts.get(operation.id) ?? 0;
		const {number} = operation;
		if (operation.outcome === 'done' && count === 0) {
			violations.push({promise: 'lostWrite', operation: number, detail: `${operation.id} was acknowledged but is not stored`});
		}

		if (count > 1) {
			violations.push({promise: 'doubledWrite', operation: number, detail: `${operation.id} is stored ${count} times`});
		}

		if ((operation.outcome === 'notRun' || operation.outcome === 'rolledBack') && count > 0) {
			violations.push({promise: 'ranThoughNotRun', operation: number, detail: `${operation.id} was reported as not run or rolled back but is stored`});
		}
	}

	return violations;
};

/** Checks that each read sees all writes of its session that were acknowledged before it. */
const checkOwnWrites = (history: readonly Operation[]): readonly Violation[] => {
	const writtenBySession = new Map<string, string[]>();
	const violations: Violation[] = [];
	for (const operation of history.toSorted((a, b) => a.endedAt - b.endedAt || a.number - b.number)) {
		const sessionWrites = writtenBySession.get(operation.session) ?? [];
		writtenBySession.set(operation.session, sessionWrites);
		if (operation.kind === 'lodge' && operation.outcome === 'done') {
			sessionWrites.push(operation.id);
		}

		if (operation.kind === 'read' && operation.outcome === 'done') {
			const readIds = new Set(operation.found);
			const missing = sessionWrites.filter(id => !readIds.has(id));
			if (missing.length > 0) {
				violations.push({promise: 'staleRead', operation: operation.number, detail: `session ${operation.session} does not see ${missing.slice(0, 3).join(', ')} through ${operation.vm}`});
			}
		}
	}

	return violations;
};

/** Checks that reads return only rows of their own session, whose identifiers begin with its name; reports at most one row of each read. */
const checkForeignRows = (history: readonly Operation[]): readonly Violation[] => history
	.filter(operation => operation.kind === 'read' && operation.outcome === 'done')
	.flatMap(operation => (operation.found ?? [])
		.filter(id => !id.startsWith(`${operation.session}.`))
		.slice(0, 1)
		.map(id => ({promise: 'foreignAnswer', operation: operation.number, detail: `session ${operation.session} received ${id}`}) as const));

/** Checks that every read of the sum of the balances, and the final sum, equals the sum before the run. */
const checkSums = (history: readonly Operation[], final: FinalState): readonly Violation[] => {
	const mixedReads = history
		.filter(operation => operation.kind === 'stale' && operation.outcome === 'done' && operation.id === 'sum' && operation.found?.[0] !== String(final.expectedSum))
		.map(operation => ({promise: 'mixedTransaction', operation: operation.number, detail: `a read saw the sum ${operation.found?.[0]} instead of ${final.expectedSum}`}) as const);
	return final.sum === final.expectedSum
		? mixedReads
		: [...mixedReads, {promise: 'mixedTransaction', operation: -1, detail: `the final sum is ${final.sum} instead of ${final.expectedSum}`}];
};

/** Checks a history and returns the violations; the list is empty if every guarantee was kept. */
export const checkHistory = (history: readonly Operation[], final: FinalState): readonly Violation[] => [
	...checkWrites(history, final),
	...checkOwnWrites(history),
	...checkForeignRows(history),
	...checkSums(history, final),
];

/** Computes the longest time without an acknowledged write between two instants of wall-clock time, in milliseconds; the times before the first and after the last write count too. */
export const computeWriteGapMs = (history: readonly Operation[], startMs: number, endMs: number): number => {
	const acknowledgementTimes = history
		.filter(operation => operation.kind === 'lodge' && operation.outcome === 'done' && operation.endedAt >= startMs && operation.endedAt <= endMs)
		.map(operation => operation.endedAt)
		.toSorted((a, b) => a - b);
	const boundaries = [startMs, ...acknowledgementTimes, endMs];
	return Math.max(...boundaries.slice(1).map((boundary, index) => boundary - (boundaries[index] ?? boundary)));
};
