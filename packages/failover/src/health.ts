/** What a steward sees of the instances of a database. */

import {
	createDeadline, isPast, type Failure, type InstanceId, type Instant, type Result, type World,
} from '@guavapitch/core';

/** What an instance says of itself. */
export type InstanceReport = Readonly<{
	isReplica: boolean;
	/** Timeline, which is the instance's own count of terms. */
	timeline: number;
	/** End of the log of a primary, or position replayed by a replica. */
	position: number;
	/** Replicas that follow a primary, with the position each has replayed. */
	replayed: ReadonlyMap<string, number>;
}>;

/** Asks an instance for its report. */
export type Probe = (instance: InstanceId) => Promise<Result<InstanceReport, Failure>>;

/** Health of one instance. */
export type InstanceHealth = Readonly<{
	report: InstanceReport | undefined;
	/** When the last report was asked for that was answered. */
	answeredAt: Instant | undefined;
	/** When the first of the probes was asked for that have failed since. */
	failingSince: Instant | undefined;
}>;

/** Health of all instances of a database. */
export type Health = Readonly<{
	/** Asks every instance once. */
	probeAll: (instances: readonly InstanceId[]) => Promise<void>;
	get: (instance: InstanceId) => InstanceHealth;
	/** Tells whether the last probe of an instance was answered. */
	isReachable: (instance: InstanceId) => boolean;
	/** Tells whether an instance has not answered for so long that it counts as failed. */
	hasFailed: (instance: InstanceId) => boolean;
	/** Gets the position in the last report of an instance; -1 if there is none. */
	getPosition: (instance: InstanceId) => number;
	/** Gets the proved age of a replica's data, in milliseconds; `undefined` if nothing is proved. */
	getAgeMs: (instance: InstanceId) => number | undefined;
	/** Tells whether an instance is known to have held more than it does now. */
	hasLostData: (instance: InstanceId) => boolean;
	/** Forgets what an instance held, as its log is rewound on purpose. */
	forget: (instance: InstanceId) => void;
	/** Notes the position of the primary at an instant. */
	notePosition: (position: number, at: Instant) => void;
}>;

/** Time without an answer after which an instance counts as failed. */
export const FAILED_AFTER_MS = 500;

const HISTORY_LENGTH = 600;
const UNKNOWN: InstanceHealth = {report: undefined, answeredAt: undefined, failingSince: undefined};

type Sample = Readonly<{position: number; at: Instant}>;

/** Creates the health of instances that have not been asked yet. */
export const createHealth = (probe: Probe, world: World, onChange: (instance: InstanceId, reachable: boolean) => void): Health => {
	const healths = new Map<InstanceId, InstanceHealth>();
	const history: Sample[] = [];
	const highest = new Map<InstanceId, number>();

	const get = (instance: InstanceId): InstanceHealth => healths.get(instance) ?? UNKNOWN;

	const probeOne = async (instance: InstanceId) => {
		const askedAt = world.now();
		const report = await probe(instance);
		const before = get(instance);
		if (report.ok) {
			healths.set(instance, {report: report.val, answeredAt: askedAt, failingSince: undefined});
			highest.set(instance, Math.max(report.val.position, highest.get(instance) ?? 0));
		} else {
			healths.set(instance, {...before, failingSince: before.failingSince ?? askedAt});
		}

		const isFirst = before === UNKNOWN;
		const wasReachable = before.failingSince === undefined;
		if (isFirst || wasReachable !== report.ok) {
			onChange(instance, report.ok);
		}
	};

	return {
		async probeAll(instances) {
			await Promise.all(instances.map(async instance => probeOne(instance)));
		},
		get,
		isReachable(instance) {
			const health = get(instance);
			return health.report !== undefined && health.failingSince === undefined;
		},
		hasFailed(instance) {
			const {failingSince} = get(instance);
			return failingSince !== undefined && isPast(createDeadline(failingSince, FAILED_AFTER_MS), world.now());
		},
		getPosition: instance => get(instance).report?.position ?? -1,
		getAgeMs(instance) {
			const position = get(instance).report?.position ?? -1;
			const sample = history.findLast(one => one.position <= position);
			return sample ? world.now() - sample.at : undefined;
		},
		hasLostData: instance => (get(instance).report?.position ?? Number.POSITIVE_INFINITY) < (highest.get(instance) ?? 0),
		forget(instance) {
			highest.delete(instance);
		},
		notePosition(position, at) {
			history.push({position, at});
			if (history.length > HISTORY_LENGTH) {
				history.shift();
			}
		},
	};
};
