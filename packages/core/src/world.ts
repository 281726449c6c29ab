/** What a task may ask of the world outside; tests pass functions of their own. */

import {randomBytes} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Instant} from './time.js';

/** Functions through which a task reads time and chance. */
export type World = Readonly<{
	/** Reads the monotonic clock. */
	now: () => Instant;
	/** Reads the wall clock, in milliseconds since 1970. */
	readWallClock: () => number;
	/** Waits; rejects with `AbortError` when the signal aborts. */
	sleep: (ms: number, signal?: AbortSignal) => Promise<void>;
	/** Runs a task once after some time, unless the returned function is called before. */
	schedule: (ms: number, task: () => void) => (() => void);
	/** Draws a number in [0, 1). */
	random: () => number;
	/** Creates a fresh identifier. */
	createId: () => string;
}>;

const ID_BYTES = 9;

/** Creates the real world of a process. */
export const createWorld = (): World => ({
	now: () => performance.now() as Instant,
	readWallClock: () => Date.now(),
	async sleep(ms, signal) {
		await delay(ms, undefined, signal ? {signal} : {});
	},
	schedule(ms, task) {
		const timer = setTimeout(task, Math.max(0, ms));
		return () => {
			clearTimeout(timer);
		};
	},
	random: () => Math.random(),
	createId: () => randomBytes(ID_BYTES).toString('base64url'),
});
