/** Which targets a home can reach and use at this moment. */

import {
	createDeadline, isPast, PAST, type Deadline, type Instant, type TargetId, type World,
} from '@guavapitch/core';

/** What the beliefs about targets need. */
export type HealthTrackerContext = Readonly<{
	world: World;
	/** Asks a target for a sign of life, which needs no slot; `false` if it gives none. */
	probe: (target: TargetId) => Promise<boolean>;
	/** Hears that a target is down, or up again. */
	onChange: (target: TargetId, isUp: boolean, reason: string) => void;
}>;

/** Beliefs of a home about the health of targets. */
export type HealthTracker = Readonly<{
	/** A statement was sent to a target; a long silence after it makes the target suspect. */
	recordStatementSent: (target: TargetId) => void;
	/** A statement has ended, however. */
	recordStatementEnded: (target: TargetId) => void;
	/** A target has answered. */
	recordResponse: (target: TargetId) => void;
	/** A connection to a target was lost or refused, or a statement went unanswered: the target is probed. */
	markSuspect: (target: TargetId, reason: string) => void;
	/** A target lacked a position that a read needs. */
	markLagging: (target: TargetId) => void;
	/** Tells whether a target may be tried. */
	isUsable: (target: TargetId) => boolean;
	/** Tells whether a target is likely to have what reads need. */
	isCaughtUp: (target: TargetId) => boolean;
	/** Gets when a target last answered. */
	getLastResponseAt: (target: TargetId) => Instant | undefined;
	remove: (target: TargetId) => void;
}>;

type Health = {
	answeredAt: Instant | undefined;
	isDown: boolean;
	isProbing: boolean;
	isWatched: boolean;
	underWay: number;
	busySince: Instant;
	lags: number;
	currentAt: Deadline;
};

/** Silence with statements under way that makes a target suspect, in milliseconds; several times a long statement. */
const SUSPECT_MS = 200;
/** Pause between probes of a target that is down, in milliseconds. */
const PROBE_PAUSE_MS = 200;
/** First and longest pause after a target lacked a position, in milliseconds; replication usually needs some tens. */
const FIRST_LAG_PAUSE_MS = 30;
const LONGEST_LAG_PAUSE_MS = 500;

/** Creates beliefs that take every target for healthy. */
export const createHealthTracker = (context: HealthTrackerContext): HealthTracker => {
	const {world} = context;
	const healths = new Map<TargetId, Health>();

	const getHealth = (target: TargetId): Health => {
		const known = healths.get(target);
		if (known) {
			return known;
		}

		const created: Health = {
			answeredAt: undefined, isDown: false, isProbing: false, isWatched: false, underWay: 0, busySince: world.now(), lags: 0, currentAt: PAST,
		};
		healths.set(target, created);
		return created;
	};

	const isKnown = (target: TargetId, health: Health): boolean => healths.get(target) === health;

	const noteAnswer = (target: TargetId) => {
		const health = getHealth(target);
		health.answeredAt = world.now();
		if (health.isDown) {
			health.isDown = false;
			context.onChange(target, true, 'it answers again');
		}
	};

	/** Probes a suspect; if it is silent, takes it for down and goes on until it answers. */
	const probe = async (target: TargetId, reason: string): Promise<void> => {
		const health = getHealth(target);
		if (health.isProbing) {
			return;
		}

		health.isProbing = true;
		while (isKnown(target, health)) {
			if (await context.probe(target)) {
				noteAnswer(target);
				break;
			}

			if (!health.isDown && isKnown(target, health)) {
				health.isDown = true;
				context.onChange(target, false, reason);
			}

			await world.sleep(PROBE_PAUSE_MS * (0.5 + world.random()));
		}

		health.isProbing = false;
	};

	/** Looks, while statements are under way, whether the target is silent. */
	const watch = (target: TargetId, health: Health) => {
		if (health.isWatched) {
			return;
		}

		health.isWatched = true;
		world.schedule(SUSPECT_MS, () => {
			health.isWatched = false;
			if (health.underWay === 0 || !isKnown(target, health)) {
				return;
			}

			const heardAt = Math.max(health.answeredAt ?? PAST, health.busySince);
			if (world.now() - heardAt >= SUSPECT_MS) {
				void probe(target, 'it is silent');
			}

			watch(target, health);
		});
	};

	return {
		recordStatementSent(target) {
			const health = getHealth(target);
			if (health.underWay === 0) {
				health.busySince = world.now();
			}

			health.underWay++;
			watch(target, health);
		},
		recordStatementEnded(target) {
			const health = getHealth(target);
			health.underWay = Math.max(0, health.underWay - 1);
		},
		recordResponse: noteAnswer,
		markSuspect(target, reason) {
			void probe(target, reason);
		},
		markLagging(target) {
			const health = getHealth(target);
			const now = world.now();
			noteAnswer(target);
			if (isPast(health.currentAt, now)) {
				// A target that was current for a while starts with short pauses again.
				health.lags = now - health.currentAt > LONGEST_LAG_PAUSE_MS ? 0 : health.lags;
				health.currentAt = createDeadline(now, Math.min(LONGEST_LAG_PAUSE_MS, FIRST_LAG_PAUSE_MS * (2 ** health.lags)));
				health.lags++;
			}
		},
		isUsable: target => healths.get(target)?.isDown !== true,
		isCaughtUp: target => isPast(healths.get(target)?.currentAt ?? PAST, world.now()),
		getLastResponseAt: target => healths.get(target)?.answeredAt,
		remove(target) {
			healths.delete(target);
		},
	};
};
