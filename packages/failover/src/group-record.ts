/** Record of a database in the store: which target is the primary, since which position, and which replicas hold every acknowledged write. */

import {
	Err, getErrorMessage, Ok, type DatabaseId, type Failure, type TargetId, type Result,
} from '@guavapitch/core';

/** Start of one term: its primary, and the log position at which it began. */
export type TermStart = Readonly<{term: number; primary: TargetId; position: number}>;

/** Replication state of a database. It is changed only by compare-and-swap. */
export type GroupRecord = Readonly<{
	database: DatabaseId;
	/** Number of the term; grows by one with each new primary. */
	term: number;
	primary: TargetId;
	/** Whether acknowledgements wait for replicas; if not, replicas may lack acknowledged writes. */
	replicated: boolean;
	/** Minimum number of replicas that acknowledgements wait for; with fewer replicas available, no write is acknowledged. */
	minimumSynced: number;
	/** Replicas that every acknowledgement waits for and that hold every acknowledged write. */
	synced: readonly TargetId[];
	/** Replicas that acknowledgements wait for but that may still lack older acknowledged writes. */
	joining: readonly TargetId[];
	/** Whether the promotion of the primary in this term is complete; until then, the promotion may still be carried out. */
	confirmed: boolean;
	/** Starts of the most recent terms, oldest first. */
	starts: readonly TermStart[];
}>;

/** A group record and the revision of its entry in the store. */
export type GroupView = Readonly<{record: GroupRecord; revision: number}>;

/** Failure to parse a group record. */
export type GroupRecordFailure = Failure<'recordMalformed'>;

/** Prefix of the keys of group records in the store. */
export const GROUP_PREFIX = '/guavapitch/groups/';

/** Number of term starts that a record keeps. */
const MAX_TERM_STARTS = 8;

/** Returns the key of the group record of a database. */
export const formatGroupKey = (database: DatabaseId): string => `${GROUP_PREFIX}${database}`;

/** Encodes a group record for the store. */
export const formatGroupRecord = (record: GroupRecord): string => JSON.stringify(record);

/** Parses a group record from the store; fails if the text is not JSON, but does not check the fields. */
export const parseGroupRecord = (text: string): Result<GroupRecord, GroupRecordFailure> => {
	try {
		return Ok(JSON.parse(text) as GroupRecord);
	} catch (error) {
		return Err({code: 'recordMalformed', message: getErrorMessage(error)});
	}
};

/** Policy that determines which replicas acknowledgements of a database wait for. */
export type AcknowledgementPolicy = Pick<GroupRecord, 'replicated' | 'minimumSynced'>;

/** Creates the first record of a database. */
export const createGroupRecord = (database: DatabaseId, primary: TargetId, position: number, {replicated, minimumSynced}: AcknowledgementPolicy): GroupRecord => ({
	database, term: 1, primary, replicated, minimumSynced, synced: [], joining: [], confirmed: true, starts: [{term: 1, primary, position}],
});

/** Returns the record of the next term, with another primary; the promotion is not confirmed yet. */
export const promoteRecord = (record: GroupRecord, primary: TargetId, position: number): GroupRecord => ({
	...record,
	term: record.term + 1,
	primary,
	synced: record.synced.filter(target => target !== primary),
	joining: [],
	confirmed: false,
	starts: [...record.starts, {term: record.term + 1, primary, position}].slice(-MAX_TERM_STARTS),
});

/** Returns the replicas that acknowledgements wait for. */
export const getAwaitedReplicas = (record: GroupRecord): readonly TargetId[] => [...record.synced, ...record.joining];
