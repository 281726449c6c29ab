/** Resource usage of child processes, percentiles and linear regression. */

import {readFileSync} from 'node:fs';
import type {ChildProgram} from './stack.js';

/** Processor time in milliseconds and resident memory in bytes of a process. */
export type ProcessUsage = Readonly<{cpuMs: number; residentBytes: number}>;

/** Unit of the processor times in `/proc`, in milliseconds. */
const CLOCK_TICK_MS = 10;
/** Index of the user time among the fields of `/proc/PID/stat` after the program name; the system time follows it. */
const USER_TIME_FIELD = 11;
const BYTES_PER_KIBIBYTE = 1024;

/** Reads the resource usage of a child process from `/proc`. */
export const readProcessUsage = (child: ChildProgram): ProcessUsage => {
	const pid = String(child.process.pid);
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const residentKibibytes = Number(/VmRSS:\s+(?<kib>\d+)/v.exec(status)?.groups?.kib ?? 0);
	return {cpuMs: (Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1])) * CLOCK_TICK_MS, residentBytes: residentKibibytes * BYTES_PER_KIBIBYTE};
};

/** Computes the percentile at a fraction between 0 and 1 (nearest rank); returns 0 if there are no values. */
export const computePercentile = (values: readonly number[], fraction: number): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * fraction) - 1)] ?? 0;
};

/** Computes the slope of the line fitted to points by least squares. */
export const computeSlope = (points: ReadonlyArray<readonly [x: number, y: number]>): number => {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	return covariance / variance;
};
