/** Tracks which targets respond and are caught up enough for reads. */

import {
	createDeadline, isPast, PAST, type Deadline, type Instant, type TargetId, type Runtime,
} from '@guavapitch/core';

/** Dependencies of a health tracker. */
export type HealthTrackerContext = Readonly<{
	runtime: Runtime;
	/** Sends a liveness probe, which needs no slot of the target; resolves to `false` if it gets no response. */
	probe: (target: TargetId) => Promise<boolean>;
	/** Called when a target is considered down, and when it is up again. */
	onChange: (target: TargetId, isUp: boolean, reason: string) => void;
}>;

/** Health of a database's targets, as its owner sees it. */
export type HealthTracker = Readonly<{
	/** Records that a statement was sent to a target; a target that then stays silent is probed. */
	recordStatementSent: (target: TargetId) => void;
	/** Records that a statement has ended, with or without a reply. */
	recordStatementEnded: (target: TargetId) => void;
	/** Records that a target has responded. */
	recordResponse: (target: TargetId) => void;
	/** Starts to probe a target, because a connection to it was lost or refused or a statement got no reply. */
	markSuspect: (target: TargetId, reason: string) => void;
	/** Records that a target had not reached the log position that a read needs. */
	markLagging: (target: TargetId) => void;
	/** Tells whether statements may be sent to a target. */
	isUsable: (target: TargetId) => boolean;
	/** Tells whether a target is likely to have reached the log position that reads need. */
	isCaughtUp: (target: TargetId) => boolean;
	/** Returns when a target last responded; `undefined` if it never did. */
	getLastResponseAt: (target: TargetId) => Instant | undefined;
	/** Stops tracking a target. */
	remove: (target: TargetId) => void;
}>;

type Health = {
	lastResponseAt: Instant | undefined;
	isDown: boolean;
	isProbing: boolean;
	/** Whether a check for silence is scheduled. */
	isWatchScheduled: boolean;
	runningCount: number;
	/** Since when at least one statement has been running. */
	runningSince: Instant;
	/** Number of consecutive pauses in which the target lagged; the length of the next pause depends on it. */
	lagCount: number;
	/** Until when the target gets no reads because it lagged. */
	laggingUntil: Deadline;
};

/** A target with running statements that is silent for this long is probed: several times the duration of a long statement. */
const SILENCE_TIMEOUT_MS = 200;
/** Mean interval between probes of a target that is down. */
const PROBE_INTERVAL_MS = 200;
/** Shortest and longest time without reads for a lagging target, doubled each time; replication usually takes some tens of milliseconds. */
const MIN_LAG_PAUSE_MS = 30;
const MAX_LAG_PAUSE_MS = 500;

/** Creates a tracker that considers every target healthy. */
export const createHealthTracker = (context: HealthTrackerContext): HealthTracker => {
	const {runtime} = context;
	const healthByTarget = new Map<TargetId, Health>();

	const getHealth = (target: TargetId): Health => {
		const existing = healthByTarget.get(target);
		if (existing) {
			return existing;
		}

		const created: Health = {
			lastResponseAt: undefined, isDown: false, isProbing: false, isWatchScheduled: false, runningCount: 0, runningSince: runtime.now(), lagCount: 0, laggingUntil: PAST,
		};
		healthByTarget.set(target, created);
		return created;
	};

	const isTracked = (target: TargetId, health: Health): boolean => healthByTarget.get(target) === health;

	const recordResponse = (target: TargetId) => {
		const health = getHealth(target);
		health.lastResponseAt = runtime.now();
		if (health.isDown) {
			health.isDown = false;
			context.onChange(target, true, 'the target responds again');
		}
	};

	/** Probes a suspect target; if it does not respond, considers it down and probes it until it does. */
	const probe = async (target: TargetId, reason: string): Promise<void> => {
		const health = getHealth(target);
		if (health.isProbing) {
			return;
		}

		health.isProbing = true;
		while (isTracked(target, health)) {
			if (await context.probe(target)) {
				recordResponse(target);
				break;
			}

			if (!health.isDown && isTracked(target, health)) {
				health.isDown = true;
				context.onChange(target, false, reason);
			}

			await runtime.sleep(PROBE_INTERVAL_MS * (0.5 + runtime.random()));
		}

		health.isProbing = false;
	};

	/** Checks periodically, while statements are running, whether the target is silent. */
	const watchForSilence = (target: TargetId, health: Health) => {
		if (health.isWatchScheduled) {
			return;
		}

		health.isWatchScheduled = true;
		runtime.schedule(SILENCE_TIMEOUT_MS, () => {
			health.isWatchScheduled = false;
			if (health.runningCount === 0 || !isTracked(target, health)) {
				return;
			}

			const lastActiveAt = Math.max(health.lastResponseAt ?? PAST, health.runningSince);
			if (runtime.now() - lastActiveAt >= SILENCE_TIMEOUT_MS) {
				void probe(target, 'no response while statements are running');
			}

			watchForSilence(target, health);
		});
	};

	return {
		recordStatementSent(target) {
			const health = getHealth(target);
			if (health.runningCount === 0) {
				health.runningSince = runtime.now();
			}

			health.runningCount++;
			watchForSilence(target, health);
		},
		recordStatementEnded(target) {
			const health = getHealth(target);
			health.runningCount = Math.max(0, health.runningCount - 1);
		},
		recordResponse,
		markSuspect(target, reason) {
			void probe(target, reason);
		},
		markLagging(target) {
			const health = getHealth(target);
			const now = runtime.now();
			recordResponse(target);
			if (isPast(health.laggingUntil, now)) {
				// After a while without lag, the backoff starts from the shortest pause again.
				health.lagCount = now - health.laggingUntil > MAX_LAG_PAUSE_MS ? 0 : health.lagCount;
				health.laggingUntil = createDeadline(now, Math.min(MAX_LAG_PAUSE_MS, MIN_LAG_PAUSE_MS * (2 ** health.lagCount)));
				health.lagCount++;
			}
		},
		isUsable: target => healthByTarget.get(target)?.isDown !== true,
		isCaughtUp: target => isPast(healthByTarget.get(target)?.laggingUntil ?? PAST, runtime.now()),
		getLastResponseAt: target => healthByTarget.get(target)?.lastResponseAt,
		remove(target) {
			healthByTarget.delete(target);
		},
	};
};
