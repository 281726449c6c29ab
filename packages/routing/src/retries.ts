/** Retries of requests that have certainly not run: with backoff, jitter and a retry budget. */

import {
	createDeadline, isPast, type Deadline, type Runtime,
} from '@guavapitch/core';

/** Retry budget of a process: limits retries to a fraction of all requests. */
export type RetryBudget = Readonly<{
	/** Adds a fraction of a retry to the budget; called for the first try of each request. */
	deposit: () => void;
	/** Withdraws one retry; `false` if the budget is exhausted. */
	tryWithdraw: () => boolean;
}>;

/** Tokens that each first try adds to the budget; one token allows one retry. */
const DEPOSIT_PER_FIRST_TRY = 0.2;
/** Retries that are allowed before any request has added to the budget. */
const INITIAL_TOKENS = 100;
/** Maximum number of retries that a time without failures saves up. */
const MAX_TOKENS = 1000;
const MIN_BACKOFF_MS = 5;
const MAX_BACKOFF_MS = 100;

/** Creates a budget that allows retries for a fifth of the requests, plus an initial reserve. */
export const createRetryBudget = (): RetryBudget => {
	let tokens = INITIAL_TOKENS;
	return {
		deposit() {
			tokens = Math.min(MAX_TOKENS, tokens + DEPOSIT_PER_FIRST_TRY);
		},
		tryWithdraw() {
			if (tokens < 1) {
				return false;
			}

			tokens--;
			return true;
		},
	};
};

/** Computes the pause before a retry, in milliseconds: exponential backoff, with jitter between half and all of it. `attempt` is 0 before the first retry. */
export const computeBackoffMs = (attempt: number, random: () => number): number => {
	const ceilingMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (2 ** attempt));
	return ceilingMs * (0.5 + (random() / 2));
};

/** Waits before a retry; resolves to `false` without waiting if the deadline would pass meanwhile, and rejects if the signal aborts. */
export const waitBeforeRetry = async (attempt: number, deadline: Deadline, runtime: Runtime, signal: AbortSignal): Promise<boolean> => {
	const backoffMs = computeBackoffMs(attempt, runtime.random);
	if (isPast(deadline, runtime.now()) || createDeadline(runtime.now(), backoffMs) >= deadline) {
		return false;
	}

	await runtime.sleep(backoffMs, signal);
	return true;
};
