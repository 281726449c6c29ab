/** Tracks which target of a database leads, from the registry and from replies. */

import type {Instant, TargetId} from '@guavapitch/core';
import type {Target} from './targets.js';

/** Tracks the leader of one database. */
export type LeaderTracker = Readonly<{
	/** Applies the registry; an entry counts only if its role or its start time has changed, since replies are more recent than an unchanged entry. */
	applyRegistry: (targets: readonly Target[], now: Instant) => void;
	/** Records that a target has proved that it leads. */
	markLeading: (target: TargetId, now: Instant) => void;
	/** Records that a target has reported that it does not lead. */
	markFollowing: (target: TargetId, now: Instant) => void;
	/** Applies a changed appointment. */
	refresh: () => void;
	/** Returns the target that leads: the appointed one if it was seen leading, and without an appointment the one that was first seen leading most recently. */
	getLeader: () => TargetId | undefined;
}>;

/** Whether a target was last seen leading, and since when. */
type Evidence = Readonly<{isLeading: boolean; since: Instant}>;

type RegistryEntry = Readonly<{role: string; startedAtMs: number}>;

/** Creates a tracker without a known leader. If `getAppointed` returns a target, no other one can lead. */
export const createLeaderTracker = (getAppointed: () => TargetId | undefined, onChange: (leader: TargetId | undefined) => void): LeaderTracker => {
	const evidenceByTarget = new Map<TargetId, Evidence>();
	const registryEntries = new Map<TargetId, RegistryEntry>();
	let leader: TargetId | undefined;

	const findLatestLeading = (): TargetId | undefined => {
		let latest: TargetId | undefined;
		let latestSince = Number.NEGATIVE_INFINITY;
		for (const [id, {isLeading, since}] of evidenceByTarget) {
			if (isLeading && since > latestSince) {
				latest = id;
				latestSince = since;
			}
		}

		return latest;
	};

	const chooseLeader = () => {
		const appointed = getAppointed();
		const leadingAppointed = appointed !== undefined && evidenceByTarget.get(appointed)?.isLeading ? appointed : undefined;
		const chosen = appointed === undefined ? findLatestLeading() : leadingAppointed;
		if (chosen !== leader) {
			leader = chosen;
			onChange(leader);
		}
	};

	const recordEvidence = (target: TargetId, isLeading: boolean, now: Instant) => {
		if (evidenceByTarget.get(target)?.isLeading !== isLeading) {
			evidenceByTarget.set(target, {isLeading, since: now});
			chooseLeader();
		}
	};

	return {
		applyRegistry(targets, now) {
			const listedIds = new Set(targets.map(target => target.id));
			for (const id of registryEntries.keys()) {
				if (!listedIds.has(id)) {
					registryEntries.delete(id);
					evidenceByTarget.delete(id);
				}
			}

			for (const {id, role, startedAtMs} of targets) {
				const previous = registryEntries.get(id);
				if (previous?.role !== role || previous.startedAtMs !== startedAtMs) {
					registryEntries.set(id, {role, startedAtMs});
					recordEvidence(id, role === 'primary', now);
				}
			}

			chooseLeader();
		},
		markLeading(target, now) {
			recordEvidence(target, true, now);
		},
		markFollowing(target, now) {
			recordEvidence(target, false, now);
		},
		refresh: chooseLeader,
		getLeader: () => leader,
	};
};
