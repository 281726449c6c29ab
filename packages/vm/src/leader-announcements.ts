/** Tells the other vms of a completed promotion at once; the registry would tell them only after its watch has paused and the relays have passed it on. */

import {brandId, type DatabaseId, type TargetId} from '@guavapitch/core';
import type {Member} from './members.js';

/** Method by which a vm is told which target leads a database. */
export const LEADER_METHOD = 'leader';

/** Timeout of an announcement, in milliseconds; later, the registry tells the same. */
const ANNOUNCEMENT_TIMEOUT_MS = 1000;

/** Message of an announcement. */
export type LeaderMessage = Readonly<{database: DatabaseId; target: TargetId}>;

/** Dependencies of the announcements. */
export type LeaderAnnouncementsContext = Readonly<{
	/** Lists the other vms that can be reached. */
	listMembers: () => readonly Member[];
	send: (member: Member, message: LeaderMessage, timeoutMs: number) => Promise<void>;
	/** Called with a target that was promoted, by this vm or another. */
	onLeader: (database: DatabaseId, target: TargetId) => void;
}>;

/** Announcements of promoted targets. An announcement is only a hint: a target that does not lead refuses what needs the leader. */
export type LeaderAnnouncements = Readonly<{
	/** Tells every vm that a target was promoted; does not wait for them. */
	announce: (database: DatabaseId, target: TargetId) => void;
	/** Applies the announcement of another vm; ignores a malformed one. */
	receive: (message: unknown) => void;
}>;

/** Creates the announcements of a vm. */
export const createLeaderAnnouncements = ({listMembers, send, onLeader}: LeaderAnnouncementsContext): LeaderAnnouncements => ({
	announce(database, target) {
		onLeader(database, target);
		for (const member of listMembers()) {
			void send(member, {database, target}, ANNOUNCEMENT_TIMEOUT_MS);
		}
	},
	receive(message) {
		const {database, target} = (message ?? {}) as Partial<Record<keyof LeaderMessage, unknown>>;
		if (typeof database === 'string' && typeof target === 'string') {
			onLeader(brandId<DatabaseId>(database), brandId<TargetId>(target));
		}
	},
});
