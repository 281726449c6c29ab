/** Tables of the operations of a replay, grouped by class, data centre, customer and time window. */

import type {OperationResult} from './callers.js';
import type {ReplayResult} from './replay.js';

/** Row of a table: counts, worth and latency percentiles of one group of operations. */
export type TableRow = Readonly<{
	/** Property by which the operations are grouped: `all`, `class`, `data centre`, `customer`, or `from ms` for a time window. */
	group: string;
	/** Value of the property, such as the name of the class or the start of the time window in milliseconds; empty for `all`. */
	name: string;
	/** Number of operations requested. */
	asked: number;
	/** Number of operations that met their latency objective. */
	prompt: number;
	/** Number of operations that completed after their latency objective. */
	late: number;
	refused: number;
	failed: number;
	/** Worth of the completed operations as a fraction of the maximum worth. */
	worth: number;
	/** Median latency of the completed operations, in milliseconds. */
	p50: number;
	/** 99th percentile of the latency of the completed operations, in milliseconds. */
	p99: number;
}>;

/** Length of a time window, in milliseconds; a load is judged by its worst two seconds. */
export const WINDOW_MS = 2000;
/** Widths of the columns, in characters. */
const CELL_WIDTH = 9;
const LABEL_WIDTH = 26;
/** Smallest latency by which a ratio is divided, in milliseconds; avoids a division by zero. */
const MIN_LATENCY_MS = 0.1;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const computePercentile = (sorted: readonly number[], fraction: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;

const createRow = (group: string, name: string, operations: readonly OperationResult[]): TableRow => {
	const count = (outcome: OperationResult['outcome']) => operations.filter(operation => operation.outcome === outcome).length;
	const latenciesMs = operations.filter(({outcome}) => outcome === 'prompt' || outcome === 'late').map(({latencyMs}) => latencyMs).toSorted((a, b) => a - b);
	return {
		group,
		name,
		asked: operations.length,
		prompt: count('prompt'),
		late: count('late'),
		refused: count('refused'),
		failed: count('failed'),
		worth: sum(operations.map(({earnedWorth}) => earnedWorth)) / Math.max(1e-9, sum(operations.map(({maxWorth}) => maxWorth))),
		p50: computePercentile(latenciesMs, 0.5),
		p99: computePercentile(latenciesMs, 0.99),
	};
};

/** Creates the rows for the result of a replay; the first row covers all operations. */
export const createTable = ({operations}: ReplayResult): readonly TableRow[] => {
	const groups: ReadonlyArray<readonly [string, (operation: OperationResult) => string]> = [
		['class', ({className}) => className],
		['data centre', ({dataCentre}) => dataCentre],
		['customer', ({customer}) => customer],
		['from ms', ({startedAtMs}) => String(Math.floor(startedAtMs / WINDOW_MS) * WINDOW_MS)],
	];
	return [
		createRow('all', '', operations),
		...groups.flatMap(([group, getName]) => {
			const names = [...new Set(operations.map(operation => getName(operation)))].toSorted((a, b) => a.localeCompare(b, 'en', {numeric: true}));
			return names.map(name => createRow(group, name, operations.filter(operation => getName(operation) === name)));
		}),
	];
};

/** Computes the mean worth of the two time windows with the lowest worth. */
export const computeWorstWindowsWorth = (rows: readonly TableRow[]): number => {
	const worst = rows.filter(({group}) => group === 'from ms').map(({worth}) => worth).toSorted((a, b) => a - b).slice(0, 2);
	return sum(worst) / Math.max(1, worst.length);
};

/** Formats rows as a table for a terminal. */
export const formatTable = (rows: readonly TableRow[]): string => [
	['', 'asked', 'prompt', 'late', 'refused', 'failed', 'worth', 'p50 ms', 'p99 ms'],
	...rows.map(row => [
		`${row.group} ${row.name}`.trim(), ...[row.asked, row.prompt, row.late, row.refused, row.failed].map(String), row.worth.toFixed(3), row.p50.toFixed(1), row.p99.toFixed(1),
	]),
].map(([name = '', ...cells]) => `${name.padEnd(LABEL_WIDTH)}${cells.map(cell => cell.padStart(CELL_WIDTH)).join('')}`).join('\n');

/** Compares two tables row by row and formats the ratios of the second to the first; rows without a counterpart are left out. */
export const compareTables = (before: readonly TableRow[], after: readonly TableRow[]): string => after
	.flatMap(row => {
		const previous = before.find(({group, name}) => group === row.group && name === row.name);
		if (!previous) {
			return [];
		}

		const label = `${row.group} ${row.name}`.trim().padEnd(LABEL_WIDTH);
		const worth = `worth ${previous.worth.toFixed(3)} -> ${row.worth.toFixed(3)}, ratio ${(row.worth / previous.worth).toFixed(3)}`;
		return [`${label} ${worth}; p99 ratio ${(row.p99 / Math.max(previous.p99, MIN_LATENCY_MS)).toFixed(3)}`];
	})
	.join('\n');
