/** Pace of one target after a gap in its service: the number of its slots in use is limited by how it answers, until it has its full share again. */

import {
	createDeadline, isPast, PAST, type Deadline, type Runtime,
} from '@guavapitch/core';

/** An answer of a target: to a statement, or to the opening of a connection. */
export type PacedAnswer = Readonly<{
	/** Time from sending to the answer, in milliseconds. */
	ms: number;
	/** Time that a target in steady service takes for the same, in milliseconds; `undefined` if none is known. */
	referenceMs: number | undefined;
	/** Time up to which the answer is in time, in milliseconds. */
	expectedMs: number;
	/** Time after which the answer costs the target a part of its window, in milliseconds; infinite if no other target can do its work. */
	lateMs: number;
	/** Number of statements that the target runs concurrently. */
	slots: number;
}>;

/** Pace of one target. A target in steady service has all its slots; another one has a window of them. */
export type TargetPace = Readonly<{
	/** Tells whether the target has fewer than all its slots. */
	isLimited: () => boolean;
	/** Returns how many of the target's slots may be in use at a time, with those of requests sent before the last gap: at least 1, also if the window is below 1, as the pauses between requests then limit their rate. */
	getLimit: (slots: number) => number;
	/** Returns the window in slots; below 1 it is the fraction of the time for which a slot may be in use. */
	getWindow: (slots: number) => number;
	/** Returns from when a further request may begin: later than now only if the window is below 1. */
	getRoomFrom: () => Deadline;
	/** Returns the time that the target is expected to take, as a multiple of that of a target in steady service. */
	getSlowness: () => number;
	/** Tells whether nothing was sent to the target for `intervals` probe intervals; the time before a gap counts as one. */
	isProbeDue: (intervals: number) => boolean;
	recordSent: () => void;
	/** Records an answer: the window grows if it was in time, and shrinks if it missed the objective. */
	recordAnswer: (answer: PacedAnswer) => void;
	/** Records that a request got no answer after `ms` milliseconds; the window shrinks, also that of a target in steady service. */
	recordFailure: (ms: number, slots: number) => void;
	/** Records that the target has started or recovered, or leads since now: only one request is sent until it has answered. `pendingCount` requests were sent before. */
	recordGap: (pendingCount: number) => void;
	/** Tells whether the target has answered a request so recently that a failed health probe does not mean a gap. */
	hasRecentAnswer: () => boolean;
}>;

/** Window after a gap: one request shows how fast the target is, further ones would be sent blindly. */
const FIRST_WINDOW = 1;
/** Smallest window: a target that answers late is busy for this fraction of the time at most. */
const MIN_WINDOW = 1 / 8;
/** Growth after an answer that was slower than expected but not late: the target is usable, at the speed that it shows. */
const SLOW_GROWTH = 1 / 32;
/** Slowness assumed until the first answer: requests whose objective is tighter go to other targets. */
const FIRST_SLOWNESS = 4;
/** Weight of a new answer in the moving average of the slowness: statement times vary by a factor of two, so one answer says little. */
const SLOWNESS_WEIGHT = 0.3;
/** Time after which a target to which nothing was sent gets a request: several in the three seconds within which a fast target must be noticed. */
const PROBE_INTERVAL_MS = 500;
/** Longest time without room, so that a fast target is noticed even after a request that ran into a long timeout. */
const MAX_PAUSE_MS = 1000;
/** Age of an answer up to which a target is not considered silent, as in the health tracker. */
const RECENT_ANSWER_MS = 200;

/** Creates the pace of a target that has not answered yet. */
export const createTargetPace = (runtime: Runtime): TargetPace => {
	/** Window in slots; `undefined` in steady service. */
	let window: number | undefined = FIRST_WINDOW;
	/** Whether the last answer was slower than expected. */
	let isSlow = false;
	let slowness = FIRST_SLOWNESS;
	let roomFrom: Deadline = PAST;
	let gapAt = Number.NEGATIVE_INFINITY;
	/** Requests that were sent before the last gap and have not ended: they may run into their timeouts. */
	let pendingCount = 0;
	/** When a request was last sent; after a gap, one probe interval ago. */
	let lastSentAt = runtime.now() - PROBE_INTERVAL_MS;
	let lastAnswerAt = Number.NEGATIVE_INFINITY;

	/** Tells whether what ended now after `ms` milliseconds was sent before the last gap; such requests take no room of the window. */
	const endPending = (ms: number): boolean => {
		const isPending = runtime.now() - ms < gapAt;
		pendingCount = isPending ? Math.max(0, pendingCount - 1) : pendingCount;
		return isPending;
	};

	const shrink = (ms: number, slots: number) => {
		window = Math.max(MIN_WINDOW, Math.min(window ?? slots, slots) / 2);
		roomFrom = window < 1 ? createDeadline(runtime.now(), Math.min(MAX_PAUSE_MS, ms * ((1 / window) - 1))) : PAST;
	};

	const grow = (step: number, slots: number) => {
		if (window !== undefined) {
			// Below one slot, the window doubles: a fast target must not need more than a few answers.
			const grown = window + Math.min(step, window);
			window = grown >= slots ? undefined : grown;
			roomFrom = PAST;
		}
	};

	return {
		isLimited: () => window !== undefined,
		getLimit: slots => Math.min(slots, Math.max(1, window ?? slots) + pendingCount),
		getWindow: slots => Math.min(window ?? slots, slots),
		getRoomFrom: () => isPast(roomFrom, runtime.now()) ? PAST : roomFrom,
		getSlowness: () => slowness,
		isProbeDue: intervals => runtime.now() - lastSentAt >= PROBE_INTERVAL_MS * intervals,
		recordSent() {
			lastSentAt = runtime.now();
		},
		recordAnswer({ms, referenceMs, expectedMs, lateMs, slots}) {
			lastAnswerAt = runtime.now();
			if (endPending(ms)) {
				return;
			}

			// A slow target gives a fast answer now and then, but seldom two in a row.
			const wasSlow = isSlow;
			isSlow = ms > expectedMs;
			const isFast = !isSlow && !wasSlow;
			if (referenceMs !== undefined && referenceMs > 0) {
				slowness += (Math.max(1, ms / referenceMs) - slowness) * (isFast ? 1 : SLOWNESS_WEIGHT);
			}

			if (!isSlow) {
				grow(isFast ? 1 : SLOW_GROWTH, slots);
			} else if (ms <= lateMs) {
				grow(SLOW_GROWTH, slots);
			} else if (window !== undefined) {
				shrink(ms, slots);
			}
		},
		recordFailure(ms, slots) {
			// What was sent before the last gap tells nothing about the target since then.
			if (!endPending(ms)) {
				shrink(ms, slots);
			}
		},
		recordGap(newPendingCount) {
			pendingCount = newPendingCount;
			window = Math.min(window ?? FIRST_WINDOW, FIRST_WINDOW);
			slowness = Math.max(slowness, FIRST_SLOWNESS);
			gapAt = runtime.now();
			isSlow = false;
			roomFrom = PAST;
			lastSentAt = Math.min(lastSentAt, runtime.now() - PROBE_INTERVAL_MS);
		},
		hasRecentAnswer: () => runtime.now() - lastAnswerAt < RECENT_ANSWER_MS,
	};
};
