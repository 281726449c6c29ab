/** Simulates a small group of replicated targets on a virtual clock, with network partitions, lag and data loss. */

import {
	Err, Ok, type Failure, type TargetId, type Result, type Runtime,
} from '@guavapitch/core';
import type {TargetReport} from '../health-monitor.js';
import type {TargetCommands} from '../coordinator.js';

/** Peers that a network partition separates from a target. */
export type Partition = Readonly<{fromCoordinator: boolean; fromOwners: boolean; fromReplicas: boolean}>;

/** One simulated target. */
export type FakeTarget = {
	readonly name: TargetId;
	log: readonly string[];
	isReplica: boolean;
	timeline: number;
	upstream: TargetId | undefined;
	/** Position that each replica which follows this target has replayed. */
	readonly replayedPositions: Map<string, number>;
	partition: Partition;
	isDown: boolean;
	lagMs: number;
};

/** A simulated group of targets. */
export type FakeGroup = Readonly<{
	get: (name: TargetId) => FakeTarget;
	commands: TargetCommands;
	/** Replicates logs until the signal aborts. */
	replicate: (signal: AbortSignal) => Promise<void>;
}>;

/** No partition. */
export const NO_PARTITION: Partition = {fromCoordinator: false, fromOwners: false, fromReplicas: false};

/** Erases the data of a target. It comes back as an empty replica that follows no target. */
export const clearTarget = (target: FakeTarget): void => {
	target.log = [];
	target.isReplica = true;
	target.timeline = 1;
	target.upstream = undefined;
	target.replayedPositions.clear();
};

const DEFAULT_LAG_MS = 15;
const MAX_LATENCY_MS = 30;
const CALL_TIMEOUT_MS = 100;
const REPLICATION_INTERVAL_MS = 10;
const NO_RESPONSE: Failure = {code: 'lost', message: 'no response'};

const isPrefix = (shorter: readonly string[], longer: readonly string[]): boolean => shorter.length <= longer.length && shorter.every((entry, index) => entry === longer[index]);

/** Creates a group; the first target is its primary. */
export const createFakeGroup = (names: readonly TargetId[], runtime: Runtime): FakeGroup => {
	const [primary] = names;
	const targets = new Map(names.map((name): [TargetId, FakeTarget] => [name, {
		name, log: [], isReplica: name !== primary, timeline: 1, upstream: name === primary ? undefined : primary,
		replayedPositions: new Map(), partition: NO_PARTITION, isDown: false, lagMs: DEFAULT_LAG_MS,
	}]));

	const get = (name: TargetId): FakeTarget => {
		const target = targets.get(name);
		if (!target) {
			throw new RangeError(`no target ${name}`);
		}

		return target;
	};

	/** Delivers a command and its response; either may be lost to a partition. */
	const sendCommand = async <Value>(name: TargetId, run: (target: FakeTarget) => Value): Promise<Result<Value, Failure>> => {
		const target = get(name);
		await runtime.sleep(runtime.random() * MAX_LATENCY_MS);
		if (target.partition.fromCoordinator || target.isDown) {
			await runtime.sleep(CALL_TIMEOUT_MS);
			return Err(NO_RESPONSE);
		}

		const value = run(target);
		await runtime.sleep(runtime.random() * MAX_LATENCY_MS);
		return target.partition.fromCoordinator || target.isDown ? Err(NO_RESPONSE) : Ok(value);
	};

	const replicateOnce = (replica: FakeTarget) => {
		const source = replica.upstream ? get(replica.upstream) : undefined;
		const isConnected = source && !source.partition.fromReplicas && !replica.partition.fromReplicas && !source.isDown && !replica.isDown && replica.isReplica;
		for (const target of targets.values()) {
			if (target !== source || !isConnected) {
				target.replayedPositions.delete(replica.name);
			}
		}

		if (source && isConnected && isPrefix(replica.log, source.log)) {
			replica.log = source.log;
			replica.timeline = Math.max(replica.timeline, source.timeline);
			source.replayedPositions.set(replica.name, replica.log.length);
		}
	};

	return {
		get,
		commands: {
			probe: async name => sendCommand(name, ({isReplica, timeline, log, replayedPositions}): TargetReport => ({
				isReplica, timeline, position: log.length, replayedPositions: new Map(replayedPositions),
			})),
			promote: async name => sendCommand(name, target => {
				if (target.isReplica) {
					target.isReplica = false;
					target.timeline++;
					target.upstream = undefined;
				}
			}),
			follow: async (name, primary) => sendCommand(name, target => {
				target.upstream = primary;
			}),
			rejoin: async (name, primary) => sendCommand(name, target => {
				const upstream = get(primary);
				const divergedAt = target.log.findIndex((entry, index) => entry !== upstream.log[index]);
				target.log = divergedAt === -1 ? target.log.slice(0, upstream.log.length) : target.log.slice(0, divergedAt);
				target.isReplica = true;
				target.timeline = upstream.timeline;
				target.upstream = primary;
			}),
		},
		async replicate(signal) {
			const nextCopyAt = new Map<TargetId, number>();
			while (!signal.aborted) {
				for (const replica of targets.values()) {
					if (runtime.now() >= (nextCopyAt.get(replica.name) ?? 0)) {
						nextCopyAt.set(replica.name, runtime.now() + replica.lagMs);
						replicateOnce(replica);
					}
				}

				await runtime.sleep(REPLICATION_INTERVAL_MS, signal).catch(() => undefined);
			}
		},
	};
};
