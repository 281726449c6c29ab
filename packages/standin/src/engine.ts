/** Tables, transactions and the log of one target of the database stand-in. */

import {
	createNotifier, createDeadline, isPast, type World,
} from '@guavapitch/core';
import type {Column, Value} from './sql-ast.js';
import {SqlError} from './sql-errors.js';

/** One stored row. */
export type Row = readonly Value[];

/** One change of a transaction. */
export type Change
	= | Readonly<{kind: 'create'; table: string; columns: readonly Column[]}>
		| Readonly<{kind: 'put'; table: string; id: string; row: Row}>
		| Readonly<{kind: 'remove'; table: string; id: string}>;

/** One committed transaction in the log. */
export type LogRecord = Readonly<{
	/** Position behind this record. */
	position: number;
	timeline: number;
	changes: readonly Change[];
}>;

/** A table as stored. */
export type Table = Readonly<{columns: readonly Column[]; rows: Map<string, Row>}>;

/** A transaction in progress. */
export type Transaction = {
	readonly readOnly: boolean;
	readonly changes: Change[];
	readonly locks: Set<string>;
};

/** Where a timeline began. */
export type TimelineStart = Readonly<{timeline: number; position: number}>;

/** State of one target. */
export type Engine = Readonly<{
	begin: (readOnly: boolean) => Transaction;
	commit: (transaction: Transaction) => void;
	rollback: (transaction: Transaction) => void;
	/** Waits for a lock that the transaction keeps until its end. */
	lock: (transaction: Transaction, key: string) => Promise<void>;
	getTable: (transaction: Transaction, name: string) => Readonly<{columns: readonly Column[]; rows: ReadonlyMap<string, Row>}>;
	hasTable: (transaction: Transaction, name: string) => boolean;
	createRowId: () => string;
	getPosition: () => number;
	getTimeline: () => number;
	getTimelineHistory: () => readonly TimelineStart[];
	isReplica: () => boolean;
	/** Gets the records behind a position. */
	getRecordsAfter: (position: number) => readonly LogRecord[];
	/** Applies a record received from the primary. */
	replay: (record: LogRecord) => void;
	/** Starts a new timeline as primary. */
	promote: () => void;
	/** Throws all data away and follows from the start. */
	reset: () => void;
	/** Takes over the timeline history of the primary. */
	setTimelineHistory: (history: readonly TimelineStart[]) => void;
	/** Waits until the log has grown, or the wait is over. */
	waitForRecords: (signal: AbortSignal) => Promise<void>;
	/** Wakes whoever waits for growth. */
	wakeWaiters: () => void;
}>;

const RECORD_BYTES = 64;
const LOCK_TIMEOUT_MS = 2000;
const GROWTH_WAIT_MS = 1000;
const FIRST_POSITION = 0x1_00_00_00;

/** Creates the state of an empty target. */
export const createEngine = (world: World, options: Readonly<{replica: boolean}>): Engine => {
	const tables = new Map<string, Table>();
	const log: LogRecord[] = [];
	const locks = new Map<string, Transaction>();
	const released = createNotifier(world);
	const grown = createNotifier(world);
	let history: readonly TimelineStart[] = [{timeline: 1, position: FIRST_POSITION}];
	let {replica} = options;
	let position = FIRST_POSITION;
	let rowCount = 0;

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

		grown.notify();
	};

	const release = (transaction: Transaction) => {
		for (const key of transaction.locks) {
			locks.delete(key);
		}

		transaction.locks.clear();
		released.notify();
	};

	const findCreated = (transaction: Transaction, name: string) => transaction.changes.find(change => change.kind === 'create' && change.table === name);

	return {
		begin: readOnly => ({readOnly: readOnly || replica, changes: [], locks: new Set()}),
		commit(transaction) {
			if (transaction.changes.length > 0) {
				if (replica) {
					release(transaction);
					throw new SqlError('25006', 'cannot commit a write in a read-only target');
				}

				append({position: position + (RECORD_BYTES * transaction.changes.length), timeline: getTimeline(), changes: [...transaction.changes]});
			}

			release(transaction);
		},
		rollback: release,
		async lock(transaction, key) {
			const deadline = createDeadline(world.now(), LOCK_TIMEOUT_MS);
			while ((locks.get(key) ?? transaction) !== transaction) {
				if (isPast(deadline, world.now())) {
					throw new SqlError('40P01', 'deadlock detected');
				}

				await released.waitForChange(deadline);
			}

			locks.set(key, transaction);
			transaction.locks.add(key);
		},
		hasTable: (transaction, name) => tables.has(name) || findCreated(transaction, name) !== undefined,
		getTable(transaction, name) {
			const base = tables.get(name);
			const created = findCreated(transaction, name);
			const columns = base?.columns ?? (created?.kind === 'create' ? created.columns : undefined);
			if (!columns) {
				throw new SqlError('42P01', `relation "${name}" does not exist`);
			}

			const own = transaction.changes.filter(change => change.table === name);
			if (own.length === 0) {
				return {columns, rows: base?.rows ?? new Map<string, Row>()};
			}

			const rows = new Map(base?.rows);
			for (const change of own) {
				if (change.kind === 'put') {
					rows.set(change.id, change.row);
				} else if (change.kind === 'remove') {
					rows.delete(change.id);
				}
			}

			return {columns, rows};
		},
		createRowId: () => `${getTimeline()}.${position}.${++rowCount}`,
		getPosition: () => position,
		getTimeline,
		getTimelineHistory: () => history,
		isReplica: () => replica,
		getRecordsAfter(after) {
			let low = 0;
			let high = log.length;
			while (low < high) {
				const middle = (low + high) >> 1;
				if ((log[middle]?.position ?? 0) > after) {
					high = middle;
				} else {
					low = middle + 1;
				}
			}

			return log.slice(low);
		},
		replay(record) {
			if (replica && record.position > position) {
				append(record);
			}
		},
		promote() {
			replica = false;
			history = [...history, {timeline: getTimeline() + 1, position}];
			grown.notify();
		},
		reset() {
			tables.clear();
			log.length = 0;
			position = FIRST_POSITION;
			history = [{timeline: 1, position}];
			replica = true;
		},
		setTimelineHistory(next) {
			history = next;
		},
		async waitForRecords(signal) {
			await grown.waitForChange(createDeadline(world.now(), GROWTH_WAIT_MS), signal);
		},
		wakeWaiters: grown.notify,
	};
};
