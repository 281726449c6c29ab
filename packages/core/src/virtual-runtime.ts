/** A runtime whose clock moves only when a test advances it. */

import {setImmediate as yieldTurn} from 'node:timers/promises';
import type {Instant} from './time.js';
import type {Runtime} from './runtime.js';

/** A runtime that a test controls. */
export type VirtualRuntime = Readonly<{
	runtime: Runtime;
	/** Advances the clock by `ms` milliseconds, firing due timers in order. */
	advance: (ms: number) => Promise<void>;
	/** Lets every task that does not wait for the clock continue. */
	settle: () => Promise<void>;
}>;

/** A pending timer; timers that are due at the same time fire in the order of `sequence`. */
type VirtualTimer = Readonly<{dueAtMs: number; sequence: number; fire: () => void}>;

/** Turns of the event loop for which `settle` waits. */
const EVENT_LOOP_TURNS = 3;
/** Constants of the linear congruential generator behind `random`. */
const LCG_MULTIPLIER = 1_664_525;
const LCG_INCREMENT = 1_013_904_223;
const LCG_MODULUS = 4_294_967_296;

const createAbortError = (): Error => Object.assign(new Error('The wait was aborted'), {name: 'AbortError'});

/** Creates a virtual runtime; the seed determines its random numbers. */
export const createVirtualRuntime = (seed = 1): VirtualRuntime => {
	const timers = new Set<VirtualTimer>();
	let nowMs = 0;
	let timerCount = 0;
	let randomState = seed >>> 0;
	let idCount = 0;

	const settle = async () => {
		for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) {
			await yieldTurn();
		}
	};

	const findNextTimer = (untilMs: number): VirtualTimer | undefined => {
		let nextTimer: VirtualTimer | undefined;
		for (const timer of timers) {
			if (timer.dueAtMs <= untilMs && (!nextTimer || timer.dueAtMs < nextTimer.dueAtMs || (timer.dueAtMs === nextTimer.dueAtMs && timer.sequence < nextTimer.sequence))) {
				nextTimer = timer;
			}
		}

		return nextTimer;
	};

	const advance = async (ms: number) => {
		const untilMs = nowMs + ms;
		await settle();
		while (true) {
			const nextTimer = findNextTimer(untilMs);
			if (!nextTimer) {
				break;
			}

			timers.delete(nextTimer);
			nowMs = Math.max(nowMs, nextTimer.dueAtMs);
			nextTimer.fire();
			await settle();
		}

		nowMs = untilMs;
		await settle();
	};

	return {
		advance,
		settle,
		runtime: {
			now: () => nowMs as Instant,
			readWallClock: () => Math.floor(nowMs),
			async sleep(ms, signal) {
				if (signal?.aborted) {
					throw createAbortError();
				}

				await new Promise<void>((resolve, reject) => {
					const timer: VirtualTimer = {dueAtMs: nowMs + Math.max(0, ms), sequence: timerCount++, fire: resolve};
					timers.add(timer);
					signal?.addEventListener('abort', () => {
						timers.delete(timer);
						reject(createAbortError());
					}, {once: true});
				});
			},
			schedule(ms, task) {
				const timer: VirtualTimer = {dueAtMs: nowMs + Math.max(0, ms), sequence: timerCount++, fire: task};
				timers.add(timer);
				return () => {
					timers.delete(timer);
				};
			},
			random() {
				randomState = (Math.imul(randomState, LCG_MULTIPLIER) + LCG_INCREMENT) >>> 0;
				return randomState / LCG_MODULUS;
			},
			createId: () => `id${++idCount}`,
		},
	};
};
