/** The most recent events of a process, kept in memory for requests from other processes. */

import type {EventRecord} from './events.js';

/** Ring buffer of events. */
export type EventRingBuffer = Readonly<{
	/** Adds an event, replacing the oldest if the buffer is full. */
	write: (record: EventRecord) => void;
	/** Lists the events, oldest first. */
	list: () => readonly EventRecord[];
}>;

/** Creates an empty ring buffer for up to `limit` events. */
export const createEventRingBuffer = (limit: number): EventRingBuffer => {
	const records: EventRecord[] = [];
	let nextIndex = 0;
	return {
		write(record) {
			records[nextIndex] = record;
			nextIndex = (nextIndex + 1) % limit;
		},
		list: () => records.length < limit ? [...records] : [...records.slice(nextIndex), ...records.slice(0, nextIndex)],
	};
};
