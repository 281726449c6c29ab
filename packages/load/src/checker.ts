/** Checks a history against the promises, from first principles. */

import type {Operation} from './history.js';

/** Promises that a history can break. */
export type Guarantee = 'lostWrite' | 'doubledWrite' | 'ranThoughNotRun' | 'staleRead' | 'mixedTransaction' | 'foreignAnswer';

/** One broken promise. */
export type Violation = Readonly<{promise: Guarantee; operation: number; detail: string}>;

/** What lies in the databases when the run is over. */
export type FinalState = Readonly<{
	/** Identifiers lodged, each as often as it is stored. */
	storedIds: readonly string[];
	/** Sum over all accounts. */
	sum: number;
	/** Sum that transfers keep. */
	expectedSum: number;
}>;

const countAll = (ids: readonly string[]): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const id of ids) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
};

const checkLodgings = (history: readonly Operation[], final: FinalState): readonly Violation[] => {
	const counts = countAll(final.storedIds);
	const violations: Violation[] = [];
	for (const operation of history.filter(one => one.kind === 'lodge')) {
		const count = counts.get(operation.id) ?? 0;
		const {number} = operation;
		if (operation.outcome === 'done' && count === 0) {
			violations.push({promise: 'lostWrite', operation: number, detail: `${operation.id} was acknowledged and is not there`});
		}

		if (count > 1) {
			violations.push({promise: 'doubledWrite', operation: number, detail: `${operation.id} is there ${count} times`});
		}

		if ((operation.outcome === 'notRun' || operation.outcome === 'rolledBack') && count > 0) {
			violations.push({promise: 'ranThoughNotRun', operation: number, detail: `${operation.id} was refused as not run and is there`});
		}
	}

	return violations;
};

/** A read must find everything that its session was told is done before it began. */
const checkSessions = (history: readonly Operation[]): readonly Violation[] => {
	const written = new Map<string, string[]>();
	const violations: Violation[] = [];
	for (const operation of history.toSorted((a, b) => a.endedAt - b.endedAt || a.number - b.number)) {
		const own = written.get(operation.session) ?? [];
		written.set(operation.session, own);
		if (operation.kind === 'lodge' && operation.outcome === 'done') {
			own.push(operation.id);
		}

		if (operation.kind === 'read' && operation.outcome === 'done') {
			const found = new Set(operation.found);
			const missing = own.filter(id => !found.has(id));
			if (missing.length > 0) {
				violations.push({promise: 'staleRead', operation: operation.number, detail: `session ${operation.session} does not see ${missing.slice(0, 3).join(', ')} through ${operation.vm}`});
			}
		}
	}

	return violations;
};

const checkAnswers = (history: readonly Operation[]): readonly Violation[] => history
	.filter(operation => operation.kind === 'read' && operation.outcome === 'done')
	.flatMap(operation => (operation.found ?? [])
		.filter(id => !id.startsWith(`${operation.session}.`))
		.slice(0, 1)
		.map(id => ({promise: 'foreignAnswer', operation: operation.number, detail: `session ${operation.session} was given ${id}`}) as const));

const checkSums = (history: readonly Operation[], final: FinalState): readonly Violation[] => {
	const torn = history
		.filter(operation => operation.kind === 'stale' && operation.outcome === 'done' && operation.id === 'sum' && operation.found?.[0] !== String(final.expectedSum))
		.map(operation => ({promise: 'mixedTransaction', operation: operation.number, detail: `a read saw the sum ${operation.found?.[0]} instead of ${final.expectedSum}`}) as const);
	return final.sum === final.expectedSum
		? torn
		: [...torn, {promise: 'mixedTransaction', operation: -1, detail: `the sum at the end is ${final.sum} instead of ${final.expectedSum}`}];
};

/** Checks a history; an empty list means that no promise was broken. */
export const checkHistory = (history: readonly Operation[], final: FinalState): readonly Violation[] => [
	...checkLodgings(history, final),
	...checkSessions(history),
	...checkAnswers(history),
	...checkSums(history, final),
];

/** Computes the longest time between two acknowledged writes, in milliseconds. */
export const computeWriteGapMs = (history: readonly Operation[], from: number, to: number): number => {
	const ends = history
		.filter(operation => operation.kind === 'lodge' && operation.outcome === 'done' && operation.endedAt >= from && operation.endedAt <= to)
		.map(operation => operation.endedAt)
		.toSorted((a, b) => a - b);
	const points = [from, ...ends, to];
	return Math.max(...points.slice(1).map((point, index) => point - (points[index] ?? point)));
};
