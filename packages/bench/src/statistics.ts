/** Readings of child processes, and percentiles of lists of times. */

import {readFileSync} from 'node:fs';
import type {ChildProgram} from './stack.js';

/** Processor time and memory of a process. */
export type ProcessUsage = Readonly<{cpuMs: number; residentBytes: number}>;

const TICK_MS = 10;
const USER_FIELD = 11;
const KIBIBYTE = 1024;

/** Reads the processor time and the resident memory of a child. */
export const readProcessUsage = (child: ChildProgram): ProcessUsage => {
	const pid = String(child.process.pid);
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const resident = Number(/VmRSS:\s+(?<kib>\d+)/v.exec(status)?.groups?.kib ?? 0);
	return {cpuMs: (Number(fields[USER_FIELD]) + Number(fields[USER_FIELD + 1])) * TICK_MS, residentBytes: resident * KIBIBYTE};
};

/** Computes a percentile of some numbers. */
export const computePercentile = (values: readonly number[], part: number): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * part) - 1)] ?? 0;
};

/** Computes the slope of a line through points, by least squares. */
export const computeSlope = (points: ReadonlyArray<readonly [x: number, y: number]>): number => {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	return covariance / variance;
};
