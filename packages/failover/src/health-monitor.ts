/** Monitors the health of the targets of a database for its failover coordinator. */

import {
	createDeadline, isPast, type Failure, type TargetId, type Instant, type Result, type Runtime,
} from '@guavapitch/core';

/** State that a target reports of itself. */
export type TargetReport = Readonly<{
	isReplica: boolean;
	/** Timeline of the target, a number that grows with each promotion. */
	timeline: number;
	/** End of the log of a primary, or the position that a replica has replayed. */
	position: number;
	/** Replicas that follow this target, with the position that each has replayed. */
	replayedPositions: ReadonlyMap<string, number>;
}>;

/** Requests a report from a target. */
export type ProbeTarget = (target: TargetId) => Promise<Result<TargetReport, Failure>>;

/** Health of one target as its last probes showed it. */
export type TargetHealth = Readonly<{
	/** Last report; `undefined` until a probe has succeeded. */
	report: TargetReport | undefined;
	/** When the last successful probe was sent. */
	lastSuccessAt: Instant | undefined;
	/** When the first probe that failed after the last success was sent; `undefined` if the last probe succeeded. */
	failingSince: Instant | undefined;
}>;

/** Health of all targets of one database. */
export type HealthMonitor = Readonly<{
	/** Probes every target once. */
	probeAll: (targets: readonly TargetId[]) => Promise<void>;
	/** Returns the health of a target, also of one that has not been probed yet. */
	get: (target: TargetId) => TargetHealth;
	/** Tells whether the last probe of a target succeeded. */
	isReachable: (target: TargetId) => boolean;
	/** Tells whether probes of a target have failed for at least `FAILURE_TIMEOUT_MS`. */
	hasFailed: (target: TargetId) => boolean;
	/** Returns the position in the last report of a target; -1 if there is no report. */
	getPosition: (target: TargetId) => number;
	/** Returns an upper bound of the age of a replica's data, in milliseconds; `undefined` if the age is not known. */
	getAgeMs: (target: TargetId) => number | undefined;
	/** Tells whether a target has reported a higher position earlier than it does now. */
	hasLostData: (target: TargetId) => boolean;
	/** Forgets the highest position of a target, because its log is rewound on purpose. */
	forgetHighestPosition: (target: TargetId) => void;
	/** Records the position of the primary at an instant, from which the age of replicas follows. */
	recordPosition: (position: number, at: Instant) => void;
}>;

/** Time for which probes must fail before a target counts as failed, in milliseconds. */
export const FAILURE_TIMEOUT_MS = 500;

/** Number of recent positions of the primary that are kept for computing ages; one is recorded with each round of probes that reaches the primary. */
const MAX_POSITION_SAMPLES = 600;
const UNKNOWN_HEALTH: TargetHealth = {report: undefined, lastSuccessAt: undefined, failingSince: undefined};

type PositionSample = Readonly<{position: number; at: Instant}>;

/** Creates a monitor of targets that have not been probed yet. Calls `onChange` after the first probe of a target and whenever it becomes reachable or unreachable. */
export const createHealthMonitor = (probe: ProbeTarget, runtime: Runtime, onChange: (target: TargetId, isReachable: boolean) => void): HealthMonitor => {
	const healthByTarget = new Map<TargetId, TargetHealth>();
	const primaryPositions: PositionSample[] = [];
	const highestPositions = new Map<TargetId, number>();

	const get = (target: TargetId): TargetHealth => healthByTarget.get(target) ?? UNKNOWN_HEALTH;

	const probeTarget = async (target: TargetId) => {
		const sentAt = runtime.now();
		const report = await probe(target);
		const previousHealth = get(target);
		if (report.ok) {
			healthByTarget.set(target, {report: report.val, lastSuccessAt: sentAt, failingSince: undefined});
			highestPositions.set(target, Math.max(report.val.position, highestPositions.get(target) ?? 0));
		} else {
			healthByTarget.set(target, {...previousHealth, failingSince: previousHealth.failingSince ?? sentAt});
		}

		const isFirstProbe = previousHealth === UNKNOWN_HEALTH;
		const wasReachable = previousHealth.failingSince === undefined;
		if (isFirstProbe || wasReachable !== report.ok) {
			onChange(target, report.ok);
		}
	};

	return {
		async probeAll(targets) {
			await Promise.all(targets.map(async target => probeTarget(target)));
		},
		get,
		isReachable(target) {
			const health = get(target);
			return health.report !== undefined && health.failingSince === undefined;
		},
		hasFailed(target) {
			const {failingSince} = get(target);
			return failingSince !== undefined && isPast(createDeadline(failingSince, FAILURE_TIMEOUT_MS), runtime.now());
		},
		getPosition: target => get(target).report?.position ?? -1,
		getAgeMs(target) {
			const position = get(target).report?.position ?? -1;
			const sample = primaryPositions.findLast(recorded => recorded.position <= position);
			return sample ? runtime.now() - sample.at : undefined;
		},
		hasLostData: target => (get(target).report?.position ?? Number.POSITIVE_INFINITY) < (highestPositions.get(target) ?? 0),
		forgetHighestPosition(target) {
			highestPositions.delete(target);
		},
		recordPosition(position, at) {
			primaryPositions.push({position, at});
			if (primaryPositions.length > MAX_POSITION_SAMPLES) {
				primaryPositions.shift();
			}
		},
	};
};
