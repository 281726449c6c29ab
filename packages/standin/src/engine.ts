/** Storage engine of one target of the database stand-in: tables, transactions, row locks and the log. */

import {
	createNotifier, createDeadline, isPast, type Runtime,
} from '@guavapitch/core';
import type {Column, Value} from './sql-ast.js';
import {SqlError} from './sql-errors.js';

/** Stored row. */
export type Row = readonly Value[];

/** Change made by a transaction. */
export type Change
	= | Readonly<{kind: 'create'; table: string; columns: readonly Column[]}>
		| Readonly<{kind: 'put'; table: string; id: string; row: Row}>
		| Readonly<{kind: 'remove'; table: string; id: string}>;

/** Log record of a committed transaction. */
export type LogRecord = Readonly<{
	/** Log position at the end of this record. */
	position: number;
	timeline: number;
	changes: readonly Change[];
}>;

/** Stored table, with its rows by identifier. */
export type Table = Readonly<{columns: readonly Column[]; rows: Map<string, Row>}>;

/** Transaction in progress, with its changes and the keys that it has locked. */
export type Transaction = {
	readonly readOnly: boolean;
	readonly changes: Change[];
	readonly locks: Set<string>;
};

/** Log position at which a timeline starts. */
export type TimelineStart = Readonly<{timeline: number; position: number}>;

/** Storage engine of one target. */
export type Engine = Readonly<{
	/** Starts a transaction; on a replica it is always read-only. */
	begin: (isReadOnly: boolean) => Transaction;
	/** Commits a transaction; throws an `SqlError` if it has changes and the target is a replica. */
	commit: (transaction: Transaction) => void;
	rollback: (transaction: Transaction) => void;
	/** Acquires a lock that the transaction holds until its end; throws an `SqlError` if the wait times out. */
	lock: (transaction: Transaction, key: string) => Promise<void>;
	/** Returns a table as the transaction sees it; throws an `SqlError` if it does not exist. */
	getTable: (transaction: Transaction, name: string) => Readonly<{columns: readonly Column[]; rows: ReadonlyMap<string, Row>}>;
	hasTable: (transaction: Transaction, name: string) => boolean;
	/** Returns a unique identifier for a row of a table without a primary key. */
	createRowId: () => string;
	getPosition: () => number;
	getTimeline: () => number;
	getTimelineHistory: () => readonly TimelineStart[];
	isReplica: () => boolean;
	/** Returns the log records after a position. */
	getRecordsAfter: (position: number) => readonly LogRecord[];
	/** Applies a record received from the primary. */
	replay: (record: LogRecord) => void;
	/** Starts a new timeline as primary. */
	promote: () => void;
	/** Deletes all data and becomes a replica that replicates from the start of the log. */
	reset: () => void;
	/** Sets the timeline history to that of the primary. */
	setTimelineHistory: (history: readonly TimelineStart[]) => void;
	/** Waits until the log has new records, a timeout has passed or the signal aborts. */
	waitForRecords: (signal: AbortSignal) => Promise<void>;
	/** Wakes all tasks that wait for records. */
	wakeWaiters: () => void;
}>;

/** Number of bytes by which a change advances the log position. */
const BYTES_PER_CHANGE = 64;
/** Time after which waiting for a lock fails with a deadlock error, in milliseconds. */
const LOCK_TIMEOUT_MS = 2000;
const MAX_RECORD_WAIT_MS = 1000;
/** Log position of an empty target, `0/1000000` in the format of PostgreSQL. */
const FIRST_POSITION = 0x1_00_00_00;

/** Creates an engine without tables. */
export const createEngine = (runtime: Runtime, options: Readonly<{isReplica: boolean}>): Engine => {
	const tables = new Map<string, Table>();
	const log: LogRecord[] = [];
	const lockHolders = new Map<string, Transaction>();
	const locksReleased = createNotifier(runtime);
	const logGrown = createNotifier(runtime);
	let history: readonly TimelineStart[] = [{timeline: 1, position: FIRST_POSITION}];
	let {isReplica} = options;
	let position = FIRST_POSITION;
	let lastRowNumber = 0;

	const getTimeline = () => history.at(-1)?.timeline ?? 1;

	const apply = (change: Change) => {
		if (change.kind === 'create') {
			tables.set(change.table, {columns: change.columns, rows: new Map()});
		} else if (change.kind === 'put') {
			tables.get(change.table)?.rows.set(change.id, change.row);
		} else {
			tables.get(change.table)?.rows.delete(change.id);
		}
	};

	const append = (record: LogRecord) => {
		log.push(record);
		position = record.position;
		for (const change of record.changes) {
			apply(change);
		}

		logGrown.notify();
	};

	const releaseLocks = (transaction: Transaction) => {
		for (const key of transaction.locks) {
			lockHolders.delete(key);
		}

		transaction.locks.clear();
		locksReleased.notify();
	};

	const findCreateChange = (transaction: Transaction, name: string) => transaction.changes.find(change => change.kind === 'create' && change.table === name);

	return {
		begin: isReadOnly => ({readOnly: isReadOnly || isReplica, changes: [], locks: new Set()}),
		commit(transaction) {
			if (transaction.changes.length > 0) {
				if (isReplica) {
					releaseLocks(transaction);
					throw new SqlError('25006', 'cannot commit changes on a read-only target');
				}

				append({position: position + (BYTES_PER_CHANGE * transaction.changes.length), timeline: getTimeline(), changes: [...transaction.changes]});
			}

			releaseLocks(transaction);
		},
		rollback: releaseLocks,
		async lock(transaction, key) {
			const deadline = createDeadline(runtime.now(), LOCK_TIMEOUT_MS);
			while ((lockHolders.get(key) ?? transaction) !== transaction) {
				if (isPast(deadline, runtime.now())) {
					throw new SqlError('40P01', 'deadlock detected');
				}

				await locksReleased.waitForChange(deadline);
			}

			lockHolders.set(key, transaction);
			transaction.locks.add(key);
		},
		hasTable: (transaction, name) => tables.has(name) || findCreateChange(transaction, name) !== undefined,
		getTable(transaction, name) {
			const storedTable = tables.get(name);
			const createChange = findCreateChange(transaction, name);
			const columns = storedTable?.columns ?? (createChange?.kind === 'create' ? createChange.columns : undefined);
			if (!columns) {
				throw new SqlError('42P01', `relation "${name}" does not exist`);
			}

			const ownChanges = transaction.changes.filter(change => change.table === name);
			if (ownChanges.length === 0) {
				return {columns, rows: storedTable?.rows ?? new Map<string, Row>()};
			}

			const rows = new Map(storedTable?.rows);
			for (const change of ownChanges) {
				if (change.kind === 'put') {
					rows.set(change.id, change.row);
				} else if (change.kind === 'remove') {
					rows.delete(change.id);
				}
			}

			return {columns, rows};
		},
		createRowId: () => `${getTimeline()}.${position}.${++lastRowNumber}`,
		getPosition: () => position,
		getTimeline,
		getTimelineHistory: () => history,
		isReplica: () => isReplica,
		getRecordsAfter(afterPosition) {
			let low = 0;
			let high = log.length;
			while (low < high) {
				const middle = (low + high) >> 1;
				if ((log[middle]?.position ?? 0) > afterPosition) {
					high = middle;
				} else {
					low = middle + 1;
				}
			}

			return log.slice(low);
		},
		replay(record) {
			if (isReplica && record.position > position) {
				append(record);
			}
		},
		promote() {
			isReplica = false;
			history = [...history, {timeline: getTimeline() + 1, position}];
			logGrown.notify();
		},
		reset() {
			tables.clear();
			log.length = 0;
			position = FIRST_POSITION;
			history = [{timeline: 1, position}];
			isReplica = true;
		},
		setTimelineHistory(newHistory) {
			history = newHistory;
		},
		async waitForRecords(signal) {
			await logGrown.waitForChange(createDeadline(runtime.now(), MAX_RECORD_WAIT_MS), signal);
		},
		wakeWaiters: logGrown.notify,
	};
};
