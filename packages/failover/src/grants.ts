/** Grants as their holders keep them: short permissions of the steward, valid until a local deadline. */

import {
	createDeadline, createNotifier, Err, isPast, Ok, PAST, type DatabaseId, type Deadline, type Failure, type InstanceId, type Instant, type Result, type World,
} from '@guavapitch/core';
import {
	OVER, changeDeadlines, type Deadlines, type Permissions,
} from './granter.js';
import {getAwaited, type GroupRecord, type GroupView} from './record.js';

/** What a steward answers to a request for a grant. */
export type GrantReply = Readonly<{
	view: GroupView;
	/** Validity from the moment the holder asked, in milliseconds. */
	validMs: number;
	/** Proved age of each replica's data when the steward answered, in milliseconds. */
	agesMs: Readonly<Record<string, number>>;
	/** Replicas that hold every acknowledged write, as far as the steward saw when it answered. */
	readable: readonly InstanceId[];
	/** What the grant allows. */
	permissions: Permissions;
}>;

/** Why a request may not run now; it has not run. */
export type GrantFailure = Failure<'noGrant' | 'notPrimary' | 'tooOld'>;

/** How a wait for an acknowledgement ended. */
export type GrantState = 'valid' | 'replaced' | 'none';

/** Grants held by one process. */
export type GrantBook = Readonly<{
	/** Takes a reply; `askedAt` is when the request for it was sent. */
	accept: (reply: GrantReply, askedAt: Instant) => void;
	/** Gives up permissions of a database before their deadline; replies asked for earlier no longer count. */
	revoke: (database: DatabaseId, permissions: Permissions) => void;
	/** Counts a write in until it is disposed. */
	enterWrite: (database: DatabaseId) => Disposable;
	/** Waits until no write of a database is under way. */
	waitUntilIdle: (database: DatabaseId, deadline: Deadline) => Promise<void>;
	/** Gets the view of the last grant, valid or not. */
	getView: (database: DatabaseId) => GroupView | undefined;
	/** Checks that a write may be sent to an instance now. */
	checkWrite: (database: DatabaseId, instance: InstanceId) => Result<GroupRecord, GrantFailure>;
	/** Checks that the answer of a write may be released now. */
	checkAcknowledgement: (database: DatabaseId, instance: InstanceId) => Result<GroupRecord, GrantFailure>;
	/** Checks that an instance holds every acknowledged write now. */
	checkRead: (database: DatabaseId, instance: InstanceId) => Result<GroupRecord, GrantFailure>;
	/** Checks that an instance's data are proved to be young enough. */
	checkAge: (database: DatabaseId, instance: InstanceId, maximumAgeMs: number) => Result<GroupRecord, GrantFailure>;
	/** Waits until a grant of the term is valid, or it is known that the term is over. */
	waitForTerm: (database: DatabaseId, term: number, deadline: Deadline, signal?: AbortSignal) => Promise<GrantState>;
	/** Waits until it is known that an instance may no longer answer a request; `false` if the wait is over first. */
	waitUntilUnfit: (request: FitnessRequest, deadline: Deadline, signal: AbortSignal) => Promise<boolean>;
}>;

/** What an instance was asked under a grant. */
export type FitnessRequest = Readonly<{
	database: DatabaseId;
	instance: InstanceId;
	/** Term in which the request was sent. */
	term: number;
	mode: 'write' | 'read' | 'stale';
}>;

type Held = Readonly<{reply: GrantReply; askedAt: Instant; deadlines: Deadlines}>;

const NO_GRANT: GrantFailure = {code: 'noGrant', message: 'There is no valid grant of the steward'};

/** Creates an empty book. */
export const createGrantBook = (world: World): GrantBook => {
	const held = new Map<DatabaseId, Held>();
	const changed = createNotifier(world);

	const revokedAt = new Map<DatabaseId, Instant>();

	const writing = new Map<DatabaseId, number>();

	const getValid = (database: DatabaseId, permission: keyof Permissions): GroupRecord | undefined => {
		const grant = held.get(database);
		return grant && !isPast(grant.deadlines[permission], world.now()) ? grant.reply.view.record : undefined;
	};

	const checkPrimary = (database: DatabaseId, instance: InstanceId, permission: keyof Permissions): Result<GroupRecord, GrantFailure> => {
		const record = getValid(database, permission);
		if (!record) {
			return Err(NO_GRANT);
		}

		return record.primary === instance ? Ok(record) : Err({code: 'notPrimary', message: `${instance} is not the primary`});
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
				deadlines: changeDeadlines(OVER, reply.permissions, deadline),
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
		enterWrite(database) {
			writing.set(database, (writing.get(database) ?? 0) + 1);
			return {
				[Symbol.dispose]() {
					writing.set(database, (writing.get(database) ?? 0) - 1);
					changed.notify();
				},
			};
		},
		async waitUntilIdle(database, deadline) {
			await changed.waitUntil(() => (writing.get(database) ?? 0) === 0, deadline);
		},
		checkWrite: (database, instance) => checkPrimary(database, instance, 'writes'),
		checkAcknowledgement: (database, instance) => checkPrimary(database, instance, 'acknowledgements'),
		checkRead(database, instance) {
			const record = getValid(database, 'reads');
			if (!record) {
				return Err(NO_GRANT);
			}

			// A primary that is being replaced may lack what its successor acknowledges.
			if (record.primary === instance) {
				return checkPrimary(database, instance, 'acknowledgements');
			}

			const isReadable = held.get(database)?.reply.readable.includes(instance) ?? false;
			return record.replicated && isReadable
				? Ok(record)
				: Err({code: 'tooOld', message: `${instance} may lack acknowledged writes`});
		},
		checkAge(database, instance, maximumAgeMs) {
			const grant = held.get(database);
			const ageMs = grant?.reply.agesMs[instance];
			if (!grant || ageMs === undefined) {
				return Err(NO_GRANT);
			}

			const nowMs = ageMs + (world.now() - grant.askedAt);
			return nowMs <= maximumAgeMs
				? Ok(grant.reply.view.record)
				: Err({code: 'tooOld', message: `The data of ${instance} may be ${Math.round(nowMs)} ms old`});
		},
		async waitUntilUnfit(request, deadline, signal) {
			const isUnfit = () => {
				const record = held.get(request.database)?.reply.view.record;
				if (!record || request.mode === 'stale') {
					return false;
				}

				return request.mode === 'write'
					? record.term > request.term
					: record.primary !== request.instance && !record.synced.includes(request.instance);
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
	const awaited = getAwaited(record);
	return awaited.length >= record.minimumSynced && awaited.every(instance => (replayed.get(instance) ?? -1) >= position);
};
