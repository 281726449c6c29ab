/** Wakes tasks that wait for a condition on shared state. */

import {Err, Ok, type Result} from './result.js';
import type {WaitFailure} from './errors.js';
import {getRemainingMs, isPast, type Deadline} from './time.js';
import type {Runtime} from './runtime.js';

/** Wakes every waiting task after a change of state. */
export type Notifier = Readonly<{
	/** Wakes all waiting tasks. */
	notify: () => void;
	/** Waits for the next `notify`; resolves also when the deadline passes or the signal aborts, and after an hour at the latest. */
	waitForChange: (deadline: Deadline, signal?: AbortSignal) => Promise<void>;
	/** Waits until a condition holds, checked at each `notify`; fails when the deadline passes or the signal aborts. */
	waitUntil: (condition: () => boolean, deadline: Deadline, signal?: AbortSignal) => Promise<Result<undefined, WaitFailure>>;
}>;

/** Maximum duration of one sleep, in milliseconds, because timers accept no infinite delay such as the time left before `NEVER`. */
const MAX_SLEEP_MS = 3_600_000;

/** Creates a notifier. */
export const createNotifier = (runtime: Pick<Runtime, 'now' | 'sleep'>): Notifier => {
	const waiters = new Set<() => void>();

	const waitForChange = async (deadline: Deadline, signal?: AbortSignal) => {
		const sleepController = new AbortController();
		let wake: () => void;
		const changed = new Promise<void>(resolve => {
			wake = resolve;
		});
		const wakeWaiter = () => {
			wake();
		};

		waiters.add(wakeWaiter);
		signal?.addEventListener('abort', wakeWaiter, {once: true});
		const remainingMs = Math.min(getRemainingMs(deadline, runtime.now()), MAX_SLEEP_MS);
		const sleeping = runtime.sleep(remainingMs, sleepController.signal).catch(() => undefined);
		await Promise.race([changed, sleeping]);
		sleepController.abort();
		waiters.delete(wakeWaiter);
		signal?.removeEventListener('abort', wakeWaiter);
	};

	return {
		notify() {
			for (const wake of waiters) {
				wake();
			}
		},
		waitForChange,
		async waitUntil(condition, deadline, signal) {
			while (!condition()) {
				if (signal?.aborted) {
					return Err({code: 'aborted', message: 'The wait was aborted'});
				}

				if (isPast(deadline, runtime.now())) {
					return Err({code: 'timeout', message: 'The deadline passed while waiting'});
				}

				await waitForChange(deadline, signal);
			}

			return Ok(undefined);
		},
	};
};
