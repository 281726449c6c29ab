/** Log positions of databases that their owners have verified, as an entry knows them from responses. */

import type {DatabaseId, Instant, VmId} from '@guavapitch/core';
import type {VerifiedPosition} from '@guavapitch/sessions';

/** Known positions of all databases. */
export type KnownPositions = Readonly<{
	/** Records a position from the response of an owner to a request sent at `sentAt`. */
	record: (database: DatabaseId, owner: VmId, sentAt: Instant, verified: VerifiedPosition) => void;
	/** Returns the most recently verified position of a database for a request to an owner, with its age; `undefined` if none is known, or the owner itself reported it. */
	get: (database: DatabaseId, owner: VmId) => VerifiedPosition | undefined;
}>;

/** A position, the owner that reported it, and when it was certainly already verified. */
type KnownPosition = Readonly<{owner: VmId; position: VerifiedPosition['position']; verifiedAt: number}>;

/** Creates an empty set of positions; the clock keeps running while the process is suspended, so that ages are never too low. */
export const createKnownPositions = (readSuspensionClock: () => Instant): KnownPositions => {
	const positions = new Map<DatabaseId, KnownPosition>();
	return {
		record(database, owner, sentAt, {position, ageMs}) {
			// The response may have taken any part of the time since the request, so the age counts from the request.
			const verifiedAt = sentAt - ageMs;
			if (verifiedAt >= (positions.get(database)?.verifiedAt ?? Number.NEGATIVE_INFINITY)) {
				positions.set(database, {owner, position, verifiedAt});
			}
		},
		get(database, owner) {
			const known = positions.get(database);
			return known && known.owner !== owner ? {position: known.position, ageMs: readSuspensionClock() - known.verifiedAt} : undefined;
		},
	};
};
