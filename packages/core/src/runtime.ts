/** Access to time, timers and randomness, replaced by a virtual clock in tests. */

import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Instant} from './time.js';

/** Functions through which tasks use clocks, timers, random numbers and unique identifiers. */
export type Runtime = Readonly<{
	/** Reads the monotonic clock. */
	now: () => Instant;
	/** Reads the wall clock, in milliseconds since 1970. */
	readWallClock: () => number;
	/** Waits for `ms` milliseconds; rejects with an `AbortError` when the signal aborts. */
	sleep: (ms: number, signal?: AbortSignal) => Promise<void>;
	/** Runs a task once after `ms` milliseconds, unless the returned function is called first. */
	schedule: (ms: number, task: () => void) => (() => void);
	/** Draws a random number in [0, 1). */
	random: () => number;
	/** Creates a unique identifier. */
	createId: () => string;
}>;

/** Number of random bytes in an identifier; nine bytes are twelve base64url characters without padding. */
const ID_BYTES = 9;
/** Longest delay of a timer of Node, in milliseconds; one with a longer delay fires at once. */
const MAX_TIMER_MS = (2 ** 31) - 1;

/** Creates the `Runtime` of a real process, on the clocks and timers of Node. */
export const createRuntime = (): Runtime => ({
	now: () => performance.now() as Instant,
	readWallClock: () => Date.now(),
	async sleep(ms, signal) {
		await delay(Math.min(MAX_TIMER_MS, ms), undefined, signal ? {signal} : {});
	},
	schedule(ms, task) {
		const timer = setTimeout(task, Math.min(MAX_TIMER_MS, Math.max(0, ms)));
		return () => {
			clearTimeout(timer);
		};
	},
	random: () => Math.random(),
	createId: () => randomBytes(ID_BYTES).toString('base64url'),
});
