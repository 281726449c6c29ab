/** Grants as their holders keep them: short permissions of the steward, valid until a local deadline. */

import {
	createDeadline, createNotifier, Err, isPast, Ok, PAST, type DatabaseId, type Deadline, type Failure, type TargetId, type Instant, type Result, type World,
} from '@guavapitch/core';
import {
	EXPIRED_DEADLINES, changeDeadlines, type PermissionDeadlines, type Permissions,
} from './grant-issuer.js';
import {getAwaitedReplicas, type GroupRecord, type GroupView} from './group-record.js';

/** What a steward answers to a request for a grant. */
export type GrantReply = Readonly<{
	view: GroupView;
	/** Validity from the moment the holder asked, in milliseconds. */
	validMs: number;
	/** Proved age of each replica's data when the steward answered, in milliseconds. */
	agesMs: Readonly<Record<string, number>>;
	/** Replicas that hold every acknowledged write, as far as the steward saw when it answered. */
	readable: readonly TargetId[];
	/** What the grant allows. */
	permissions: Permissions;
}>;

/** Why a request may not run now; it has not run. */
export type GrantFailure = Failure<'noGrant' | 'notPrimary' | 'tooOld'>;

/** How a wait for an acknowledgement ended. */
export type GrantState = 'valid' | 'replaced' | 'none';

/** Grants held by one process. */
export type GrantRegistry = Readonly<{
	/** Takes a reply; `askedAt` is when the request for it was sent. */
	accept: (reply: GrantReply, askedAt: Instant) => void;
	/** Gives up permissions of a database before their deadline; replies asked for earlier no longer count. */
	revoke: (database: DatabaseId, permissions: Permissions) => void;
	/** Counts a write in until it is disposed. */
	trackWrite: (database: DatabaseId) => Disposable;
	/** Waits until no write of a database is under way. */
	waitUntilWritesEnd: (database: DatabaseId, deadline: Deadline) => Promise<void>;
	/** Gets the view of the last grant, valid or not. */
	getView: (database: DatabaseId) => GroupView | undefined;
	/** Checks that a write may be sent to a target now. */
	checkWrite: (database: DatabaseId, target: TargetId) => Result<GroupRecord, GrantFailure>;
	/** Checks that the answer of a write may be released now. */
	checkAcknowledgement: (database: DatabaseId, target: TargetId) => Result<GroupRecord, GrantFailure>;
	/** Checks that a target holds every acknowledged write now. */
	checkRead: (database: DatabaseId, target: TargetId) => Result<GroupRecord, GrantFailure>;
	/** Checks that a target's data are proved to be young enough. */
	checkStaleness: (database: DatabaseId, target: TargetId, maximumAgeMs: number) => Result<GroupRecord, GrantFailure>;
	/** Waits until a grant of the term is valid, or it is known that the term is over. */
	waitForTerm: (database: DatabaseId, term: number, deadline: Deadline, signal?: AbortSignal) => Promise<GrantState>;
	/** Waits until it is known that a target may no longer answer a request; `false` if the wait is over first. */
	waitUntilIneligible: (request: EligibilityRequest, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
}>;

/** What a target was asked under a grant. */
export type EligibilityRequest = Readonly<{
	database: DatabaseId;
	target: TargetId;
	/** Term in which the request was sent. */
	term: number;
	mode: 'write' | 'read' | 'stale';
}>;

type Held = Readonly<{reply: GrantReply; askedAt: Instant; deadlines: PermissionDeadlines}>;

const NO_GRANT: GrantFailure = {code: 'noGrant', message: 'There is no valid grant of the steward'};

/** Creates an empty book. */
export const createGrantRegistry = (world: World): GrantRegistry => {
	const held = new Map<DatabaseId, Held>();
	const changed = createNotifier(world);

	const revokedAt = new Map<DatabaseId, Instant>();

	const writing = new Map<DatabaseId, number>();

	const getValid = (database: DatabaseId, permission: keyof Permissions): GroupRecord | undefined => {
		const grant = held.get(database);
		return grant && !isPast(grant.deadlines[permission], world.now()) ? grant.reply.view.record : undefined;
	};

	const checkPrimary = (database: DatabaseId, target: TargetId, permission: keyof Permissions): Result<GroupRecord, GrantFailure> => {
		const record = getValid(database, permission);
		if (!record) {
			return Err(NO_GRANT);
		}

		return record.primary === target ? Ok(record) : Err({code: 'notPrimary', message: `${target} is not the primary`});
	};

	return {
		accept(reply, askedAt) {
			const {database} = reply.view.record;
			const known = held.get(database);
			const isOutdated = known !== undefined && known.reply.view.revision > reply.view.revision;
			if (isOutdated || askedAt <= (revokedAt.get(database) ?? PAST)) {
				return;
			}

			const deadline = createDeadline(askedAt, reply.validMs);
			held.set(database, {
				reply,
				askedAt,
				deadlines: changeDeadlines(EXPIRED_DEADLINES, reply.permissions, deadline),
			});
			changed.notify();
		},
		revoke(database, permissions) {
			revokedAt.set(database, world.now());
			const known = held.get(database);
			if (known) {
				held.set(database, {...known, deadlines: changeDeadlines(known.deadlines, permissions, PAST)});
			}
		},
		getView: database => held.get(database)?.reply.view,
		trackWrite(database) {
			writing.set(database, (writing.get(database) ?? 0) + 1);
			return {
				[Symbol.dispose]() {
					writing.set(database, (writing.get(database) ?? 0) - 1);
					changed.notify();
				},
			};
		},
		async waitUntilWritesEnd(database, deadline) {
			await changed.waitUntil(() => (writing.get(database) ?? 0) === 0, deadline);
		},
		checkWrite: (database, target) => checkPrimary(database, target, 'writes'),
		checkAcknowledgement: (database, target) => checkPrimary(database, target, 'acknowledgements'),
		checkRead(database, target) {
			const record = getValid(database, 'reads');
			if (!record) {
				return Err(NO_GRANT);
			}

			// A primary that is being replaced may lack what its successor acknowledges.
			if (record.primary === target) {
				return checkPrimary(database, target, 'acknowledgements');
			}

			const isReadable = held.get(database)?.reply.readable.includes(target) ?? false;
			return record.replicated && isReadable
				? Ok(record)
				: Err({code: 'tooOld', message: `${target} may lack acknowledged writes`});
		},
		checkStaleness(database, target, maximumAgeMs) {
			const grant = held.get(database);
			const ageMs = grant?.reply.agesMs[target];
			if (!grant || ageMs === undefined) {
				return Err(NO_GRANT);
			}

			const nowMs = ageMs + (world.now() - grant.askedAt);
			return nowMs <= maximumAgeMs
				? Ok(grant.reply.view.record)
				: Err({code: 'tooOld', message: `The data of ${target} may be ${Math.round(nowMs)} ms old`});
		},
		async waitUntilIneligible(request, deadline, signal) {
			const isUnfit = () => {
				const record = held.get(request.database)?.reply.view.record;
				if (!record || request.mode === 'stale') {
					return false;
				}

				return request.mode === 'write'
					? record.term > request.term
					: record.primary !== request.target && !record.synced.includes(request.target);
			};

			const waited = await changed.waitUntil(isUnfit, deadline, signal);
			return waited.ok;
		},
		async waitForTerm(database, term, deadline, signal) {
			const isOver = () => (held.get(database)?.reply.view.record.term ?? 0) > term;
			await changed.waitUntil(() => isOver() || getValid(database, 'acknowledgements')?.term === term, deadline, signal);
			if (isOver()) {
				return 'replaced';
			}

			return getValid(database, 'acknowledgements')?.term === term ? 'valid' : 'none';
		},
	};
};

/** Tells whether every replica that is waited for, and enough of them, have replayed a position. */
export const isReplicated = (record: GroupRecord, position: number, replayed: ReadonlyMap<string, number>): boolean => {
	const awaited = getAwaitedReplicas(record);
	return awaited.length >= record.minimumSynced && awaited.every(target => (replayed.get(target) ?? -1) >= position);
};
