/** The last events of a process, kept in memory so that they can be asked for. */

import type {EventRecord} from './events.js';

/** Ring of events. */
export type EventRingBuffer = Readonly<{
	/** Keeps an event, and forgets the oldest if there are too many. */
	write: (record: EventRecord) => void;
	/** Lists the events, oldest first. */
	list: () => readonly EventRecord[];
}>;

/** Creates an empty ring that keeps up to `limit` events. */
export const createEventRingBuffer = (limit: number): EventRingBuffer => {
	const kept: EventRecord[] = [];
	let next = 0;
	return {
		write(record) {
			kept[next] = record;
			next = (next + 1) % limit;
		},
		list: () => kept.length < limit ? [...kept] : [...kept.slice(next), ...kept.slice(0, next)],
	};
};
