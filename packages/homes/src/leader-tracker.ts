/** Which target of a database leads, by everything that is known of it. */

import type {Instant, TargetId} from '@guavapitch/core';
import type {Target} from './targets.js';

/** Beliefs about the leader of one database. */
export type LeaderTracker = Readonly<{
	/** Takes note of the registry; only a change of what a target says of itself counts as news. */
	applyRegistry: (targets: readonly Target[], now: Instant) => void;
	/** A target has proved that it leads. */
	markLeading: (target: TargetId, now: Instant) => void;
	/** A target has said that it does not lead. */
	markFollowing: (target: TargetId, now: Instant) => void;
	/** Gets the target that leads; the one whose lead began last, if several say so. */
	getLeader: () => TargetId | undefined;
}>;

type Evidence = Readonly<{leads: boolean; since: Instant}>;

type Seen = Readonly<{role: string; born: number}>;

/** Creates beliefs that know nothing. */
export const createLeaderTracker = (onChange: (leader: TargetId | undefined) => void): LeaderTracker => {
	const evidence = new Map<TargetId, Evidence>();
	const seen = new Map<TargetId, Seen>();
	let leader: TargetId | undefined;

	const choose = () => {
		let chosen: TargetId | undefined;
		let latest = Number.NEGATIVE_INFINITY;
		for (const [id, {leads, since}] of evidence) {
			if (leads && since > latest) {
				chosen = id;
				latest = since;
			}
		}

		if (chosen !== leader) {
			leader = chosen;
			onChange(leader);
		}
	};

	const note = (target: TargetId, leads: boolean, now: Instant) => {
		if (evidence.get(target)?.leads !== leads) {
			evidence.set(target, {leads, since: now});
			choose();
		}
	};

	return {
		applyRegistry(targets, now) {
			const present = new Set(targets.map(target => target.id));
			for (const id of seen.keys()) {
				if (!present.has(id)) {
					seen.delete(id);
					evidence.delete(id);
				}
			}

			for (const {id, role, startedAtMs: born} of targets) {
				const before = seen.get(id);
				if (before?.role !== role || before.born !== born) {
					seen.set(id, {role, born});
					note(id, role === 'primary', now);
				}
			}

			choose();
		},
		markLeading(target, now) {
			note(target, true, now);
		},
		markFollowing(target, now) {
			note(target, false, now);
		},
		getLeader: () => leader,
	};
};
