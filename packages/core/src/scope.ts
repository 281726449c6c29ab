/** Structured concurrency: a scope owns tasks, and disposing it aborts them and waits for them. */

import {setMaxListeners} from 'node:events';
import {isAbortError} from './errors.js';

/** Owner of running tasks. */
export type Scope = AsyncDisposable & Readonly<{
	/** Aborts when the scope is disposed or its parent signal aborts. */
	signal: AbortSignal;
	/** Starts a task that the scope owns. */
	run: (task: (signal: AbortSignal) => Promise<void>) => void;
}>;

/** Creates a scope. `onFailure` is called with every exception of a task other than an `AbortError`; an abort of `parent` aborts the tasks. */
export const createScope = (onFailure: (thrown: unknown) => void, parent?: AbortSignal): Scope => {
	const controller = new AbortController();
	// Every task of the scope may listen to the signal at the same time, so the limit on listeners is lifted.
	setMaxListeners(0, controller.signal);
	const runningTasks = new Set<Promise<void>>();
	const abortTasks = () => {
		controller.abort();
	};

	if (parent?.aborted) {
		controller.abort();
	}

	parent?.addEventListener('abort', abortTasks, {once: true});
	const runGuarded = async (task: (signal: AbortSignal) => Promise<void>) => {
		try {
			await task(controller.signal);
		} catch (error) {
			if (!isAbortError(error)) {
				onFailure(error);
			}
		}
	};

	return {
		signal: controller.signal,
		run(task) {
			const promise = runGuarded(task);
			runningTasks.add(promise);
			void promise.finally(() => {
				runningTasks.delete(promise);
			});
		},
		async [Symbol.asyncDispose]() {
			controller.abort();
			parent?.removeEventListener('abort', abortTasks);
			await Promise.all(runningTasks);
		},
	};
};
