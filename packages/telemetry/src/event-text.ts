/** Formats events as lines of text for a human reader. */

import type {EventRecord} from './events.js';

/** Range of the time of day within an ISO 8601 timestamp. */
const TIME_START = 11;
const TIME_END = 23;

const formatFields = (record: EventRecord): string => Object.entries(record.fields)
	.filter(([, value]) => value !== undefined)
	.map(([name, value]) => `${name}=${Array.isArray(value) ? value.join(',') : String(value)}`)
	.join(' ');

/** Formats one event as a line: time of day and logical counter, vm, event number, title and fields. */
export const formatEvent = (record: EventRecord): string => `${record.at.slice(TIME_START, TIME_END)}+${record.hlc[1]} ${record.vm} ${record.id} ${record.title} ${formatFields(record)}`.trimEnd();
