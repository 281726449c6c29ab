/** Bounds the age of entries, whatever their usual source is doing: entries that have become too old are read again. */

import {
	createDeadline, getRemainingMs, isPast, type Instant, type Runtime,
} from '@guavapitch/core';

/** Dependencies of a freshness task. */
export type FreshnessContext = Readonly<{
	runtime: Runtime;
	readSuspensionClock: () => Instant;
	/** Returns an instant of the suspension clock at which the entries were certainly complete. */
	getCompleteAt: () => Instant;
	/** Returns the age above which the entries are read again, in milliseconds. */
	getMaxAgeMs: () => number;
	/** Reads the entries within a time limit, in milliseconds; has no effect on `getCompleteAt` if that fails. */
	readEntries: (timeoutMs: number) => Promise<void>;
}>;

/** Fraction of the maximum age within which one read must end, so that a second one is possible in the same time again. */
const READ_TIMEOUT_FRACTION = 0.4;
/** Fractions of the maximum age that are paused after the first failed read, and at most; the pause doubles between them. */
const FIRST_RETRY_FRACTION = 0.1;
const MAX_RETRY_FRACTION = 0.5;

/** Reads the entries each time that they become too old, until the signal aborts. */
export const runFreshnessTask = async (context: FreshnessContext, signal: AbortSignal): Promise<void> => {
	const {runtime, readSuspensionClock} = context;
	const startedAt = readSuspensionClock();
	let failureCount = 0;
	while (!signal.aborted) {
		const maxAgeMs = context.getMaxAgeMs();
		const knownAt = Math.max(context.getCompleteAt(), startedAt) as Instant;
		const readAt = createDeadline(knownAt, maxAgeMs);
		const now = readSuspensionClock();
		if (!isPast(readAt, now)) {
			await runtime.sleep(getRemainingMs(readAt, now), signal).catch(() => undefined);
			continue;
		}

		await context.readEntries(maxAgeMs * READ_TIMEOUT_FRACTION);
		const isFresh = !isPast(createDeadline(context.getCompleteAt(), maxAgeMs), readSuspensionClock());
		failureCount = isFresh ? 0 : failureCount + 1;
		if (!isFresh) {
			const retryFraction = Math.min(MAX_RETRY_FRACTION, FIRST_RETRY_FRACTION * (2 ** (failureCount - 1)));
			await runtime.sleep(maxAgeMs * retryFraction * (0.5 + runtime.random()), signal).catch(() => undefined);
		}
	}
};
