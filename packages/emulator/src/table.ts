/** Tables over the operations of a replay: by class, data centre, customer and window. */

import type {OperationResult} from './callers.js';
import type {ReplayResult} from './replay.js';

/** One row of a table. */
export type TableRow = Readonly<{
	group: string;
	name: string;
	asked: number;
	prompt: number;
	late: number;
	refused: number;
	failed: number;
	/** Worth earned of the worth that could have been earned. */
	worth: number;
	p50: number;
	p99: number;
}>;

/** Length of a window, in milliseconds; the users judge the worst two seconds. */
export const WINDOW_MS = 2000;
const WIDTH = 9;
const NAME_WIDTH = 26;
/** Least time that a ratio is taken of, in milliseconds. */
const LEAST_MS = 0.1;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const computePercentile = (sorted: readonly number[], part: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;

const createRow = (group: string, name: string, operations: readonly OperationResult[]): TableRow => {
	const count = (end: OperationResult['outcome']) => operations.filter(one => one.outcome === end).length;
	const times = operations.filter(({outcome: end}) => end === 'prompt' || end === 'late').map(({latencyMs: ms}) => ms).toSorted((a, b) => a - b);
	return {
		group,
		name,
		asked: operations.length,
		prompt: count('prompt'),
		late: count('late'),
		refused: count('refused'),
		failed: count('failed'),
		worth: sum(operations.map(({earnedWorth: earned}) => earned)) / Math.max(1e-9, sum(operations.map(({maxWorth: worth}) => worth))),
		p50: computePercentile(times, 0.5),
		p99: computePercentile(times, 0.99),
	};
};

/** Creates the rows of a result; the first covers all operations. */
export const createTable = ({operations}: ReplayResult): readonly TableRow[] => {
	const groups: ReadonlyArray<readonly [string, (operation: OperationResult) => string]> = [
		['class', ({className}) => className],
		['data centre', ({dataCentre}) => dataCentre],
		['customer', ({customer}) => customer],
		['from ms', ({startedAtMs: atMs}) => String(Math.floor(atMs / WINDOW_MS) * WINDOW_MS)],
	];
	return [
		createRow('all', '', operations),
		...groups.flatMap(([group, getName]) => {
			const names = [...new Set(operations.map(one => getName(one)))].toSorted((a, b) => a.localeCompare(b, 'en', {numeric: true}));
			return names.map(name => createRow(group, name, operations.filter(one => getName(one) === name)));
		}),
	];
};

/** Computes the mean worth of the two worst windows. */
export const computeWorstWindowsWorth = (rows: readonly TableRow[]): number => {
	const worst = rows.filter(({group}) => group === 'from ms').map(({worth}) => worth).toSorted((a, b) => a - b).slice(0, 2);
	return sum(worst) / Math.max(1, worst.length);
};

/** Formats rows for a terminal. */
export const formatTable = (rows: readonly TableRow[]): string => [
	['', 'asked', 'prompt', 'late', 'refused', 'failed', 'worth', 'p50 ms', 'p99 ms'],
	...rows.map(row => [
		`${row.group} ${row.name}`.trim(), ...[row.asked, row.prompt, row.late, row.refused, row.failed].map(String), row.worth.toFixed(3), row.p50.toFixed(1), row.p99.toFixed(1),
	]),
].map(([name = '', ...cells]) => `${name.padEnd(NAME_WIDTH)}${cells.map(cell => cell.padStart(WIDTH)).join('')}`).join('\n');

/** Compares two results row by row, as ratios of the second to the first. */
export const compareTables = (before: readonly TableRow[], after: readonly TableRow[]): string => after
	.flatMap(row => {
		const other = before.find(({group, name}) => group === row.group && name === row.name);
		if (!other) {
			return [];
		}

		const label = `${row.group} ${row.name}`.trim().padEnd(NAME_WIDTH);
		const worth = `worth ${other.worth.toFixed(3)} -> ${row.worth.toFixed(3)}, ratio ${(row.worth / other.worth).toFixed(3)}`;
		return [`${label} ${worth}; p99 ratio ${(row.p99 / Math.max(other.p99, LEAST_MS)).toFixed(3)}`];
	})
	.join('\n');
