/** Parses, merges and filters the events of all processes. */

import {compareHybridTimestamps, type EventRecord} from '@guavapitch/telemetry';
import {
	Err, getErrorMessage, Ok, type Failure, type Result,
} from '@guavapitch/core';

/** Conditions that an event must meet to be kept; an absent field accepts every event. */
export type TimelineFilter = Readonly<{
	customer?: string;
	database?: string;
	request?: string;
	term?: number;
	vm?: string;
	/** Event numbers, the `id` of the records to keep. */
	ids?: readonly number[];
}>;

/** Failure to parse a line as an event. */
export type TimelineFailure = Failure<'lineMalformed'>;

/** Parses events from JSON lines; empty lines are skipped. Fails with `lineMalformed` at the first line that is not JSON. */
export const parseEvents = (text: string): Result<readonly EventRecord[], TimelineFailure> => {
	const records: EventRecord[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		try {
			records.push(JSON.parse(line) as EventRecord);
		} catch (error) {
			return Err({code: 'lineMalformed', message: `line ${index + 1}: ${getErrorMessage(error)}`});
		}
	}

	return Ok(records);
};

/** Merges events in causal order by their hybrid timestamps; events with equal timestamps are ordered by vm, so that the result is deterministic. */
export const mergeEvents = (lists: ReadonlyArray<readonly EventRecord[]>): readonly EventRecord[] => lists
	.flat()
	.toSorted((a, b) => compareHybridTimestamps(a.hlc, b.hlc) || (a.vm < b.vm ? -1 : Number(a.vm > b.vm)));

const matchesFilter = (record: EventRecord, filter: TimelineFilter): boolean => {
	const {customer, database, request, term} = record.fields;
	const conditions: ReadonlyArray<readonly [expected: unknown, actual: unknown]> = [
		[filter.customer, customer], [filter.database, database], [filter.request, request], [filter.term, term], [filter.vm, record.vm],
	];
	return conditions.every(([expected, actual]) => expected === undefined || expected === actual)
		&& (filter.ids === undefined || filter.ids.includes(record.id));
};

/** Returns the events that meet all conditions of a filter. */
export const filterEvents = (records: readonly EventRecord[], filter: TimelineFilter): readonly EventRecord[] => records.filter(record => matchesFilter(record, filter));
