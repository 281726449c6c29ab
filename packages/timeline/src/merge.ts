/** Merging the events of all processes in causal order. */

import {compareHybridTimestamps, type EventRecord} from '@guavapitch/telemetry';
import {
	Err, getMessage, Ok, type Failure, type Result,
} from '@guavapitch/core';

/** What to keep of a time line; an absent field keeps everything. */
export type TimelineFilter = Readonly<{
	customer?: string;
	database?: string;
	request?: string;
	term?: number;
	vm?: string;
	/** Numbers of the kinds of events. */
	ids?: readonly number[];
}>;

/** Failure of reading events. */
export type TimelineFailure = Failure<'lineMalformed'>;

/** Parses lines of events. */
export const parseEvents = (text: string): Result<readonly EventRecord[], TimelineFailure> => {
	const records: EventRecord[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		try {
			records.push(JSON.parse(line) as EventRecord);
		} catch (error) {
			return Err({code: 'lineMalformed', message: `line ${index + 1}: ${getMessage(error)}`});
		}
	}

	return Ok(records);
};

/** Merges events: causal time first, then the process, so that the order is the same every time. */
export const mergeEvents = (lists: ReadonlyArray<readonly EventRecord[]>): readonly EventRecord[] => lists
	.flat()
	.toSorted((a, b) => compareHybridTimestamps(a.hlc, b.hlc) || (a.vm < b.vm ? -1 : Number(a.vm > b.vm)));

const isKept = (record: EventRecord, filter: TimelineFilter): boolean => {
	const {customer, database, request, term} = record.fields;
	const wanted: ReadonlyArray<readonly [asked: unknown, found: unknown]> = [
		[filter.customer, customer], [filter.database, database], [filter.request, request], [filter.term, term], [filter.vm, record.vm],
	];
	return wanted.every(([asked, found]) => asked === undefined || asked === found)
		&& (filter.ids === undefined || filter.ids.includes(record.id));
};

/** Keeps the events that a filter names. */
export const filterEvents = (records: readonly EventRecord[], filter: TimelineFilter): readonly EventRecord[] => records.filter(record => isKept(record, filter));
