/** Ownership of tasks: leaving a scope aborts its tasks and waits for them. */

import {setMaxListeners} from 'node:events';
import {isAbort} from './errors.js';

/** Owner of running tasks. */
export type Scope = AsyncDisposable & Readonly<{
	/** Aborts when the scope is disposed. */
	signal: AbortSignal;
	/** Starts a task that the scope owns. */
	run: (task: (signal: AbortSignal) => Promise<void>) => void;
}>;

/** Creates a scope; `onFailure` hears of tasks that end by an exception. */
export const createScope = (onFailure: (thrown: unknown) => void, parent?: AbortSignal): Scope => {
	const controller = new AbortController();
	// Every task of the scope may listen at the same time.
	setMaxListeners(0, controller.signal);
	const running = new Set<Promise<void>>();
	const abort = () => {
		controller.abort();
	};

	if (parent?.aborted) {
		controller.abort();
	}

	parent?.addEventListener('abort', abort, {once: true});
	const runGuarded = async (task: (signal: AbortSignal) => Promise<void>) => {
		try {
			await task(controller.signal);
		} catch (error) {
			if (!isAbort(error)) {
				onFailure(error);
			}
		}
	};

	return {
		signal: controller.signal,
		run(task) {
			const promise = runGuarded(task);
			running.add(promise);
			void promise.finally(() => {
				running.delete(promise);
			});
		},
		async [Symbol.asyncDispose]() {
			controller.abort();
			parent?.removeEventListener('abort', abort);
			await Promise.all(running);
		},
	};
};
