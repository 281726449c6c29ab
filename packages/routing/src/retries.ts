/** Retries of requests that have certainly not run: bounded, with jitter and a budget. */

import {
	createDeadline, isPast, type Deadline, type World,
} from '@guavapitch/core';

/** Budget of retries of one process. */
export type RetryBudget = Readonly<{
	/** Earns a share of a retry for each first try. */
	deposit: () => void;
	/** Takes one retry; `false` if the budget is spent. */
	tryWithdraw: () => boolean;
}>;

const SHARE = 0.2;
const RESERVE = 100;
const CAPACITY = 1000;
const FIRST_PAUSE_MS = 5;
const LONGEST_PAUSE_MS = 100;

/** Creates a budget: a fifth of the first tries, and a reserve. */
export const createRetryBudget = (): RetryBudget => {
	let tokens = RESERVE;
	return {
		deposit() {
			tokens = Math.min(CAPACITY, tokens + SHARE);
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

/** Chooses the pause before a retry, in milliseconds: doubled each time, with full jitter. */
export const computeBackoffMs = (attempt: number, random: () => number): number => {
	const longest = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * (2 ** attempt));
	return longest * (0.5 + (random() / 2));
};

/** Waits before a retry; `false` if the deadline leaves no time for it. */
export const waitBeforeRetry = async (attempt: number, deadline: Deadline, world: World, signal: AbortSignal): Promise<boolean> => {
	const pauseMs = computeBackoffMs(attempt, world.random);
	if (isPast(deadline, world.now()) || createDeadline(world.now(), pauseMs) >= deadline) {
		return false;
	}

	await world.sleep(pauseMs, signal);
	return true;
};
