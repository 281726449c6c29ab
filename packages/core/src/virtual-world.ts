/** A world whose clock moves only when a test says so. */

import {setImmediate as yieldTurn} from 'node:timers/promises';
import type {Instant} from './time.js';
import type {World} from './world.js';

/** A world under a test's control. */
export type VirtualWorld = Readonly<{
	world: World;
	/** Moves the clock, waking sleepers in order. */
	advance: (ms: number) => Promise<void>;
	/** Lets every task run on that does not wait for the clock. */
	settle: () => Promise<void>;
}>;

type Sleeper = Readonly<{at: number; order: number; wake: () => void}>;

const TURNS = 3;
const LCG_FACTOR = 1_664_525;
const LCG_STEP = 1_013_904_223;
const RANGE = 4_294_967_296;

const createAbortError = (): Error => Object.assign(new Error('The wait was aborted'), {name: 'AbortError'});

/** Creates a virtual world; the seed decides its chance. */
export const createVirtualWorld = (seed = 1): VirtualWorld => {
	const sleepers = new Set<Sleeper>();
	let now = 0;
	let order = 0;
	let state = seed >>> 0;
	let ids = 0;

	const settle = async () => {
		for (let turn = 0; turn < TURNS; turn++) {
			await yieldTurn();
		}
	};

	const findNext = (until: number): Sleeper | undefined => {
		let next: Sleeper | undefined;
		for (const sleeper of sleepers) {
			if (sleeper.at <= until && (!next || sleeper.at < next.at || (sleeper.at === next.at && sleeper.order < next.order))) {
				next = sleeper;
			}
		}

		return next;
	};

	const advance = async (ms: number) => {
		const until = now + ms;
		await settle();
		while (true) {
			const next = findNext(until);
			if (!next) {
				break;
			}

			sleepers.delete(next);
			now = Math.max(now, next.at);
			next.wake();
			await settle();
		}

		now = until;
		await settle();
	};

	return {
		advance,
		settle,
		world: {
			now: () => now as Instant,
			readWallClock: () => Math.floor(now),
			async sleep(ms, signal) {
				if (signal?.aborted) {
					throw createAbortError();
				}

				await new Promise<void>((resolve, reject) => {
					const sleeper: Sleeper = {at: now + Math.max(0, ms), order: order++, wake: resolve};
					sleepers.add(sleeper);
					signal?.addEventListener('abort', () => {
						sleepers.delete(sleeper);
						reject(createAbortError());
					}, {once: true});
				});
			},
			schedule(ms, task) {
				const sleeper: Sleeper = {at: now + Math.max(0, ms), order: order++, wake: task};
				sleepers.add(sleeper);
				return () => {
					sleepers.delete(sleeper);
				};
			},
			random() {
				state = (Math.imul(state, LCG_FACTOR) + LCG_STEP) >>> 0;
				return state / RANGE;
			},
			createId: () => `id${++ids}`,
		},
	};
};
