/** The record of a database in the store: who leads, since when, and who holds every acknowledged write. */

import {
	Err, getMessage, Ok, type DatabaseId, type Failure, type TargetId, type Result,
} from '@guavapitch/core';

/** Start of one term. */
export type TermStart = Readonly<{term: number; primary: TargetId; position: number}>;

/** Record of a database; changed only by compare-and-swap. */
export type GroupRecord = Readonly<{
	database: DatabaseId;
	/** Grows by one with each primary. */
	term: number;
	primary: TargetId;
	/** Whether acknowledgements wait for replicas; if not, replicas may lack acknowledged writes. */
	replicated: boolean;
	/** Fewest replicas that acknowledgements wait for; with fewer at hand there are none. */
	minimumSynced: number;
	/** Replicas that every acknowledgement waits for. */
	synced: readonly TargetId[];
	/** Replicas that acknowledgements wait for, but that may still lack older writes. */
	joining: readonly TargetId[];
	/** Whether the primary has led in this term; a primary that was not yet promoted may still be. */
	confirmed: boolean;
	/** Recent terms, oldest first. */
	starts: readonly TermStart[];
}>;

/** A record and the revision of its entry in the store. */
export type GroupView = Readonly<{record: GroupRecord; revision: number}>;

/** Failure of parsing a record. */
export type GroupRecordFailure = Failure<'recordMalformed'>;

/** Prefix of the records in the store. */
export const GROUP_PREFIX = '/guavapitch/groups/';

const KEPT_STARTS = 8;

/** Formats the key of a record. */
export const formatGroupKey = (database: DatabaseId): string => `${GROUP_PREFIX}${database}`;

/** Formats a record for the store. */
export const formatGroupRecord = (record: GroupRecord): string => JSON.stringify(record);

/** Parses a record from the store. */
export const parseGroupRecord = (text: string): Result<GroupRecord, GroupRecordFailure> => {
	try {
		return Ok(JSON.parse(text) as GroupRecord);
	} catch (error) {
		return Err({code: 'recordMalformed', message: getMessage(error)});
	}
};

/** Rule of acknowledgement of a database. */
export type AcknowledgementPolicy = Pick<GroupRecord, 'replicated' | 'minimumSynced'>;

/** Creates the first record of a database. */
export const createGroupRecord = (database: DatabaseId, primary: TargetId, position: number, {replicated, minimumSynced}: AcknowledgementPolicy): GroupRecord => ({
	database, term: 1, primary, replicated, minimumSynced, synced: [], joining: [], confirmed: true, starts: [{term: 1, primary, position}],
});

/** Creates the record after a promotion. */
export const promoteRecord = (record: GroupRecord, primary: TargetId, position: number): GroupRecord => ({
	...record,
	term: record.term + 1,
	primary,
	synced: record.synced.filter(target => target !== primary),
	joining: [],
	confirmed: false,
	starts: [...record.starts, {term: record.term + 1, primary, position}].slice(-KEPT_STARTS),
});

/** Gets the replicas that acknowledgements wait for. */
export const getAwaitedReplicas = (record: GroupRecord): readonly TargetId[] => [...record.synced, ...record.joining];
