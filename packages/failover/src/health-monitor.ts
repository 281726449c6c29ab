/** What a steward sees of the targets of a database. */

import {
	createDeadline, isPast, type Failure, type TargetId, type Instant, type Result, type World,
} from '@guavapitch/core';

/** What a target says of itself. */
export type TargetReport = Readonly<{
	isReplica: boolean;
	/** Timeline, which is the target's own count of terms. */
	timeline: number;
	/** End of the log of a primary, or position replayed by a replica. */
	position: number;
	/** Replicas that follow a primary, with the position each has replayed. */
	replayed: ReadonlyMap<string, number>;
}>;

/** Asks a target for its report. */
export type ProbeTarget = (target: TargetId) => Promise<Result<TargetReport, Failure>>;

/** Health of one target. */
export type TargetHealth = Readonly<{
	report: TargetReport | undefined;
	/** When the last report was asked for that was answered. */
	answeredAt: Instant | undefined;
	/** When the first of the probes was asked for that have failed since. */
	failingSince: Instant | undefined;
}>;

/** Health of all targets of a database. */
export type HealthMonitor = Readonly<{
	/** Asks every target once. */
	probeAll: (targets: readonly TargetId[]) => Promise<void>;
	get: (target: TargetId) => TargetHealth;
	/** Tells whether the last probe of a target was answered. */
	isReachable: (target: TargetId) => boolean;
	/** Tells whether a target has not answered for so long that it counts as failed. */
	hasFailed: (target: TargetId) => boolean;
	/** Gets the position in the last report of a target; -1 if there is none. */
	getPosition: (target: TargetId) => number;
	/** Gets the proved age of a replica's data, in milliseconds; `undefined` if nothing is proved. */
	getAgeMs: (target: TargetId) => number | undefined;
	/** Tells whether a target is known to have held more than it does now. */
	hasLostData: (target: TargetId) => boolean;
	/** Forgets what a target held, as its log is rewound on purpose. */
	forgetHighestPosition: (target: TargetId) => void;
	/** Notes the position of the primary at an instant. */
	recordPosition: (position: number, at: Instant) => void;
}>;

/** Time without an answer after which a target counts as failed. */
export const FAILURE_TIMEOUT_MS = 500;

const HISTORY_LENGTH = 600;
const UNKNOWN: TargetHealth = {report: undefined, answeredAt: undefined, failingSince: undefined};

type Sample = Readonly<{position: number; at: Instant}>;

/** Creates the health of targets that have not been asked yet. */
export const createHealthMonitor = (probe: ProbeTarget, world: World, onChange: (target: TargetId, reachable: boolean) => void): HealthMonitor => {
	const healths = new Map<TargetId, TargetHealth>();
	const history: Sample[] = [];
	const highest = new Map<TargetId, number>();

	const get = (target: TargetId): TargetHealth => healths.get(target) ?? UNKNOWN;

	const probeOne = async (target: TargetId) => {
		const askedAt = world.now();
		const report = await probe(target);
		const before = get(target);
		if (report.ok) {
			healths.set(target, {report: report.val, answeredAt: askedAt, failingSince: undefined});
			highest.set(target, Math.max(report.val.position, highest.get(target) ?? 0));
		} else {
			healths.set(target, {...before, failingSince: before.failingSince ?? askedAt});
		}

		const isFirst = before === UNKNOWN;
		const wasReachable = before.failingSince === undefined;
		if (isFirst || wasReachable !== report.ok) {
			onChange(target, report.ok);
		}
	};

	return {
		async probeAll(targets) {
			await Promise.all(targets.map(async target => probeOne(target)));
		},
		get,
		isReachable(target) {
			const health = get(target);
			return health.report !== undefined && health.failingSince === undefined;
		},
		hasFailed(target) {
			const {failingSince} = get(target);
			return failingSince !== undefined && isPast(createDeadline(failingSince, FAILURE_TIMEOUT_MS), world.now());
		},
		getPosition: target => get(target).report?.position ?? -1,
		getAgeMs(target) {
			const position = get(target).report?.position ?? -1;
			const sample = history.findLast(one => one.position <= position);
			return sample ? world.now() - sample.at : undefined;
		},
		hasLostData: target => (get(target).report?.position ?? Number.POSITIVE_INFINITY) < (highest.get(target) ?? 0),
		forgetHighestPosition(target) {
			highest.delete(target);
		},
		recordPosition(position, at) {
			history.push({position, at});
			if (history.length > HISTORY_LENGTH) {
				history.shift();
			}
		},
	};
};
