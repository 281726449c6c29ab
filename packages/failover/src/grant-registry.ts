/** Registry of the grants that a process holds: short-lived permissions from the failover coordinator, each valid until a deadline of the local clock. */

import {
	createDeadline, createNotifier, Err, isPast, Ok, PAST, type DatabaseId, type Deadline, type Failure, type TargetId, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import {
	EXPIRED_DEADLINES, changeDeadlines, type PermissionDeadlines, type Permissions,
} from './grant-issuer.js';
import {getAwaitedReplicas, type GroupRecord, type GroupView} from './group-record.js';

/** Response of a failover coordinator to a request for a grant. */
export type GrantResponse = Readonly<{
	view: GroupView;
	/** Validity in milliseconds, counted from the moment the holder sent its request. */
	validMs: number;
	/** Upper bound of the age of each replica's data when the coordinator responded, in milliseconds. */
	agesMs: Readonly<Record<string, number>>;
	/** Replicas that held every acknowledged write, as known to the coordinator when it responded. */
	readable: readonly TargetId[];
	permissions: Permissions;
}>;

/** Reason why a request may not run now. The request has not been run. */
export type GrantFailure = Failure<'noGrant' | 'notPrimary' | 'tooOld'>;

/** Outcome of waiting for a grant of a term: `valid`, `replaced` if a later term has begun, or `none` if the deadline passed or the signal aborted first. */
export type GrantState = 'valid' | 'replaced' | 'none';

/** Grants that one process holds, at most one for each database. */
export type GrantRegistry = Readonly<{
	/** Stores a grant; `sentAt` is when the request for it was sent. A grant of an older record revision than the stored one, or requested before a revocation, is ignored. */
	accept: (response: GrantResponse, sentAt: Instant) => void;
	/** Ends permissions of a database before their deadline. Grants that were requested earlier are ignored from now on. */
	revoke: (database: DatabaseId, permissions: Permissions) => void;
	/** Counts a write as in progress until the returned object is disposed. */
	trackWrite: (database: DatabaseId) => Disposable;
	/** Waits until no write of a database is in progress. */
	waitUntilWritesEnd: (database: DatabaseId, deadline: Deadline) => Promise<void>;
	/** Returns the group view of the last grant, even if the grant has expired. */
	getView: (database: DatabaseId) => GroupView | undefined;
	/** Checks that a write may be sent to a target now. */
	checkWrite: (database: DatabaseId, target: TargetId) => Result<GroupRecord, GrantFailure>;
	/** Checks that the response of a write may be sent to the caller now. */
	checkAcknowledgement: (database: DatabaseId, target: TargetId) => Result<GroupRecord, GrantFailure>;
	/** Checks that a target holds every acknowledged write, so that it may be read now. */
	checkRead: (database: DatabaseId, target: TargetId) => Result<GroupRecord, GrantFailure>;
	/** Checks that the data of a target are confirmed to be at most `maximumAgeMs` old; the grant may have expired. */
	checkStaleness: (database: DatabaseId, target: TargetId, maximumAgeMs: number) => Result<GroupRecord, GrantFailure>;
	/** Waits until a grant of the term is valid, or the term is known to have ended. */
	waitForTerm: (database: DatabaseId, term: number, deadline: Deadline, signal?: AbortSignal) => Promise<GrantState>;
	/** Waits until a target is known to be no longer eligible for a request; returns `false` if the deadline passes or the signal aborts first, and always for mode `stale`. */
	waitUntilIneligible: (request: EligibilityRequest, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
}>;

/** A request that was sent to a target under a grant. */
export type EligibilityRequest = Readonly<{
	database: DatabaseId;
	target: TargetId;
	/** Term in which the request was sent. */
	term: number;
	mode: 'write' | 'read' | 'stale';
}>;

type HeldGrant = Readonly<{response: GrantResponse; sentAt: Instant; deadlines: PermissionDeadlines}>;

const NO_GRANT: GrantFailure = {code: 'noGrant', message: 'There is no valid grant from the failover coordinator'};

/** Creates a registry without grants. */
export const createGrantRegistry = (runtime: Runtime): GrantRegistry => {
	const grants = new Map<DatabaseId, HeldGrant>();
	const changed = createNotifier(runtime);

	const revokedAt = new Map<DatabaseId, Instant>();

	const activeWriteCounts = new Map<DatabaseId, number>();

	const getValidRecord = (database: DatabaseId, permission: keyof Permissions): GroupRecord | undefined => {
		const grant = grants.get(database);
		return grant && !isPast(grant.deadlines[permission], runtime.now()) ? grant.response.view.record : undefined;
	};

	const checkPrimary = (database: DatabaseId, target: TargetId, permission: keyof Permissions): Result<GroupRecord, GrantFailure> => {
		const record = getValidRecord(database, permission);
		if (!record) {
			return Err(NO_GRANT);
		}

		return record.primary === target ? Ok(record) : Err({code: 'notPrimary', message: `Target ${target} is not the primary`});
	};

	return {
		accept(response, sentAt) {
			const {database} = response.view.record;
			const previousGrant = grants.get(database);
			const isOutdated = previousGrant !== undefined && previousGrant.response.view.revision > response.view.revision;
			if (isOutdated || sentAt <= (revokedAt.get(database) ?? PAST)) {
				return;
			}

			const deadline = createDeadline(sentAt, response.validMs);
			grants.set(database, {
				response,
				sentAt,
				deadlines: changeDeadlines(EXPIRED_DEADLINES, response.permissions, deadline),
			});
			changed.notify();
		},
		revoke(database, permissions) {
			revokedAt.set(database, runtime.now());
			const previousGrant = grants.get(database);
			if (previousGrant) {
				grants.set(database, {...previousGrant, deadlines: changeDeadlines(previousGrant.deadlines, permissions, PAST)});
			}
		},
		getView: database => grants.get(database)?.response.view,
		trackWrite(database) {
			activeWriteCounts.set(database, (activeWriteCounts.get(database) ?? 0) + 1);
			return {
				[Symbol.dispose]() {
					activeWriteCounts.set(database, (activeWriteCounts.get(database) ?? 0) - 1);
					changed.notify();
				},
			};
		},
		async waitUntilWritesEnd(database, deadline) {
			await changed.waitUntil(() => (activeWriteCounts.get(database) ?? 0) === 0, deadline);
		},
		checkWrite: (database, target) => checkPrimary(database, target, 'writes'),
		checkAcknowledgement: (database, target) => checkPrimary(database, target, 'acknowledgements'),
		checkRead(database, target) {
			const record = getValidRecord(database, 'reads');
			if (!record) {
				return Err(NO_GRANT);
			}

			// A primary that is being replaced may lack writes that its successor acknowledges.
			if (record.primary === target) {
				return checkPrimary(database, target, 'acknowledgements');
			}

			const isReadable = grants.get(database)?.response.readable.includes(target) ?? false;
			return record.replicated && isReadable
				? Ok(record)
				: Err({code: 'tooOld', message: `Target ${target} may lack acknowledged writes`});
		},
		checkStaleness(database, target, maximumAgeMs) {
			const grant = grants.get(database);
			const ageMs = grant?.response.agesMs[target];
			if (!grant || ageMs === undefined) {
				return Err(NO_GRANT);
			}

			const currentAgeMs = ageMs + (runtime.now() - grant.sentAt);
			return currentAgeMs <= maximumAgeMs
				? Ok(grant.response.view.record)
				: Err({code: 'tooOld', message: `The data of target ${target} may be ${Math.round(currentAgeMs)} ms old`});
		},
		async waitUntilIneligible(request, deadline, signal) {
			const isIneligible = () => {
				const record = grants.get(request.database)?.response.view.record;
				if (!record || request.mode === 'stale') {
					return false;
				}

				return request.mode === 'write'
					? record.term > request.term
					: record.primary !== request.target && !record.synced.includes(request.target);
			};

			const waited = await changed.waitUntil(isIneligible, deadline, signal);
			return waited.ok;
		},
		async waitForTerm(database, term, deadline, signal) {
			const hasTermEnded = () => (grants.get(database)?.response.view.record.term ?? 0) > term;
			await changed.waitUntil(() => hasTermEnded() || getValidRecord(database, 'acknowledgements')?.term === term, deadline, signal);
			if (hasTermEnded()) {
				return 'replaced';
			}

			return getValidRecord(database, 'acknowledgements')?.term === term ? 'valid' : 'none';
		},
	};
};

/** Tells whether at least the required number of replicas are waited for and all of these have replayed a position. */
export const isReplicated = (record: GroupRecord, position: number, replayedPositions: ReadonlyMap<string, number>): boolean => {
	const awaitedReplicas = getAwaitedReplicas(record);
	return awaitedReplicas.length >= record.minimumSynced && awaitedReplicas.every(target => (replayedPositions.get(target) ?? -1) >= position);
};
