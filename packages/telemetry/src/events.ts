/** Numbered events of one process, written as JSON lines with timestamps that order them causally. */

import winston from 'winston';
import type {HybridLogicalClock, HybridTimestamp} from './hybrid-logical-clock.js';
import type {EventKind} from './catalogue.js';

/** Process that writes events. */
export type EventOrigin = Readonly<{
	/** Program, such as `guavapitch-proxy`. */
	program: string;
	/** Vm on which it runs. */
	vm: string;
	/** Identifier of this run of the process. */
	incarnation: string;
}>;

/** Details of one event. They never contain a customer's key or anything derived from one. */
export type EventFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>;

/** One event as it is written to the log. `id` is the event number, `hlc` orders the events of all processes, and `at` is its wall-clock time in ISO 8601. */
export type EventRecord = EventOrigin & Readonly<{
	id: number;
	level: string;
	title: string;
	hlc: HybridTimestamp;
	at: string;
	fields: EventFields;
}>;

/** Writes one event. */
export type Emit = (kind: EventKind, fields?: EventFields) => void;

/** Creates the function that stamps and writes the events of a process. */
export const createEmit = (origin: EventOrigin, clock: HybridLogicalClock, write: (record: EventRecord) => void): Emit => (kind, fields = {}) => {
	const hlc = clock.read();
	write({
		...origin,
		id: kind.id,
		level: kind.level,
		title: kind.title,
		hlc,
		at: new Date(hlc[0]).toISOString(),
		fields,
	});
};

/** Opens a log and returns the function that writes events to it as JSON lines: to a file, or to standard error if none is given. */
export const openLog = (file?: string): ((record: EventRecord) => void) => {
	const transport = file
		? new winston.transports.File({filename: file})
		: new winston.transports.Console({stderrLevels: ['info', 'warn', 'error']});
	const logger = winston.createLogger({
		format: winston.format.printf(({record}) => JSON.stringify(record)),
		transports: [transport],
	});
	return record => {
		logger.log({level: record.level, message: record.title, record});
	};
};
