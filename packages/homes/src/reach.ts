/** Which targets a home can reach and use at this moment. */

import {
	createDeadline, isPast, PAST, type Deadline, type Instant, type TargetId,
} from '@guavapitch/core';

/** Beliefs of a home about the health of targets. */
export type Reach = Readonly<{
	/** A target has answered. */
	noteAnswer: (target: TargetId, now: Instant) => void;
	/** A connection to a target failed, was lost, or a question went unanswered. */
	noteFailure: (target: TargetId, now: Instant) => void;
	/** A target lacked a position that a read needs. */
	noteLagging: (target: TargetId, now: Instant) => void;
	/** Tells whether a target may be tried. */
	isUsable: (target: TargetId, now: Instant) => boolean;
	/** Tells whether a target is likely to have what reads need. */
	isCurrent: (target: TargetId, now: Instant) => boolean;
	/** Gets when a target last answered. */
	getAnsweredAt: (target: TargetId) => Instant | undefined;
	/** Gets since when a target has failed without an answer. */
	getFailingSince: (target: TargetId) => Instant | undefined;
	forget: (target: TargetId) => void;
}>;

type Health = {
	answeredAt: Instant | undefined;
	failingSince: Instant | undefined;
	failures: number;
	usableAt: Deadline;
	lags: number;
	currentAt: Deadline;
};

/** First and longest pause after a failed connection, in milliseconds. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 800;
/** First and longest pause after a target lacked a position, in milliseconds; replication usually needs some tens. */
const FIRST_LAG_PAUSE_MS = 30;
const LONGEST_LAG_PAUSE_MS = 500;

/** Creates beliefs that take every target for healthy. */
export const createReach = (): Reach => {
	const healths = new Map<TargetId, Health>();

	const getHealth = (target: TargetId): Health => {
		const known = healths.get(target);
		if (known) {
			return known;
		}

		const created: Health = {
			answeredAt: undefined, failingSince: undefined, failures: 0, usableAt: PAST, lags: 0, currentAt: PAST,
		};
		healths.set(target, created);
		return created;
	};

	return {
		noteAnswer(target, now) {
			const health = getHealth(target);
			health.answeredAt = now;
			health.failingSince = undefined;
			health.failures = 0;
			health.usableAt = PAST;
			if (isPast(health.currentAt, now)) {
				health.lags = 0;
			}
		},
		noteFailure(target, now) {
			const health = getHealth(target);
			health.failingSince ??= now;
			health.usableAt = createDeadline(now, Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * (2 ** health.failures)));
			health.failures++;
		},
		noteLagging(target, now) {
			const health = getHealth(target);
			health.answeredAt = now;
			if (isPast(health.currentAt, now)) {
				health.currentAt = createDeadline(now, Math.min(LONGEST_LAG_PAUSE_MS, FIRST_LAG_PAUSE_MS * (2 ** health.lags)));
				health.lags++;
			}
		},
		isUsable: (target, now) => isPast(healths.get(target)?.usableAt ?? PAST, now),
		isCurrent: (target, now) => isPast(healths.get(target)?.currentAt ?? PAST, now),
		getAnsweredAt: target => healths.get(target)?.answeredAt,
		getFailingSince: target => healths.get(target)?.failingSince,
		forget(target) {
			healths.delete(target);
		},
	};
};
