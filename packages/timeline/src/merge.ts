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

/** Tells whether a value parsed from JSON has the fields by which events are ordered, filtered and formatted. */
const isEventRecord = (value: unknown): value is EventRecord => {
	const {id, vm, hlc, at, title, fields} = (value ?? {}) as Partial<EventRecord>;
	return typeof id === 'number' && typeof vm === 'string' && typeof at === 'string' && typeof title === 'string' && typeof fields === 'object'
		&& Array.isArray(hlc) && hlc.length === 2 && hlc.every(part => typeof part === 'number');
};

/** Parses events from JSON lines; empty lines are skipped. Fails with `lineMalformed` at the first line that is not an event in JSON. */
export const parseEvents = (text: string): Result<readonly EventRecord[], TimelineFailure> => {
	const records: EventRecord[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		let value: unknown;
		try {
			value = JSON.parse(line);
		} catch (error) {
			return Err({code: 'lineMalformed', message: `line ${index + 1}: ${getErrorMessage(error)}`});
		}

		if (!isEventRecord(value)) {
			return Err({code: 'lineMalformed', message: `line ${index + 1}: not an event`});
		}

		records.push(value);
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
