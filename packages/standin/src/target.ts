/** Target of the database stand-in: engine, limits, injected faults and SQL functions. */

import {
	createDeadline, createConditionVariable, createNotifier, type Runtime,
} from '@guavapitch/core';
import {createEngine, type Engine, type Row} from './engine.js';
import type {Column, Value} from './sql-ast.js';
import {SqlError} from './sql-errors.js';

/** Settings of a target. */
export type TargetSettings = Readonly<{
	name: string;
	isReplica: boolean;
	/** Maximum number of statements that run concurrently. */
	slotCount: number;
	/** Maximum number of open connections. */
	connectionLimit: number;
	/** Time to open a connection, in milliseconds. */
	connectMs: number;
	/** Time for which a statement occupies a slot, in milliseconds. */
	statementMs: number;
	/** Delay before received records are replayed, in milliseconds. */
	lagMs: number;
}>;

/** Connected replica as seen by its primary. */
export type ReplicaState = {readonly name: string; replayedPosition: number};

/** Target with its faults and counters. */
export type Target = Readonly<{
	settings: TargetSettings;
	engine: Engine;
	/** Replicas that are connected to this target. */
	replicas: Set<ReplicaState>;
	/** Returns the connection string of the primary to replicate from. */
	getUpstream: () => string | undefined;
	/** Sets the connection string of the primary; it takes effect when `pg_reload_conf` is called. */
	setUpstream: (conninfo: string) => void;
	/** Returns the current delay before received records are replayed, in milliseconds. */
	getLagMs: () => number;
	/** Runs a task in a slot, after waiting for a free slot and for the time of a statement. */
	runInSlot: <Output>(task: () => Promise<Output>) => Promise<Output>;
	/** Counts a new connection; returns whether the number of connections is within the limit. */
	addConnection: () => boolean;
	/** Counts a closed connection. */
	removeConnection: () => void;
	/** Waits while the named peer is partitioned from the target; a fault can name one peer, or all with `*`. */
	waitWhilePartitioned: (peer: string) => Promise<void>;
	isPartitioned: (peer: string) => boolean;
	/** Calls an SQL function; throws an `SqlError` if there is none of that name. */
	callFunction: (name: string, args: readonly Value[]) => Value;
	/** Returns a system view or the rows of a table function; `undefined` if there is none of that name. */
	getVirtualTable: (name: string, args: readonly Value[]) => Readonly<{columns: readonly Column[]; rows: ReadonlyMap<string, Row>}> | undefined;
	/** Waits until the upstream has changed. */
	waitForUpstreamChange: () => Promise<void>;
	/** Called with all bytes received from callers, for tests that search them for leaked secrets. */
	onBytesReceived: (bytes: Uint8Array) => void;
}>;

/** Database name and peer name of sessions that set faults; no fault affects these sessions. */
export const CONTROL_PEER = 'control';

const HEX_RADIX = 16;
const UINT32_RANGE = 4_294_967_296;
/** Maximum number of rows of `generate_series`; further rows are left out. */
const MAX_SERIES_ROWS = 10_000_000;

/** Formats a log position in the format of PostgreSQL, such as `0/1000000`. */
export const formatPosition = (position: number): string => `${Math.floor(position / UINT32_RANGE).toString(HEX_RADIX).toUpperCase()}/${(position % UINT32_RANGE).toString(HEX_RADIX).toUpperCase()}`;

const createTextColumn = (name: string): Column => ({name, type: 'text', primaryKey: false});
const createIntegerColumn = (name: string): Column => ({name, type: 'int', primaryKey: false});

/** Creates a target with an empty database. */
export const createTarget = (settings: TargetSettings, runtime: Runtime, onBytesReceived: (bytes: Uint8Array) => void = () => undefined): Target => {
	const engine = createEngine(runtime, {isReplica: settings.isReplica});
	const replicas = new Set<ReplicaState>();
	const partitionedPeers = new Set<string>();
	const partitionChanged = createNotifier(runtime);
	const upstreamChanged = createConditionVariable();
	const slotFreed = createConditionVariable();
	let upstream: string | undefined;
	let pendingUpstream: string | undefined;
	let {lagMs} = settings;
	let connectionCount = 0;
	let peakConnectionCount = 0;
	let busySlots = 0;

	const isPartitioned = (peer: string) => peer !== CONTROL_PEER && (partitionedPeers.has('*') || partitionedPeers.has(peer));

	const sqlFunctions: Readonly<Record<string, (args: readonly Value[]) => Value>> = {
		standin_cut(args) {
			partitionedPeers.add(String(args[0]));
			partitionChanged.notify();
			return true;
		},
		standin_heal() {
			partitionedPeers.clear();
			partitionChanged.notify();
			return true;
		},
		standin_lag(args) {
			lagMs = Number(args[0]);
			return true;
		},
		repeat: args => String(args[0]).repeat(Number(args[1])),
		standin_most_connections: () => peakConnectionCount,
		pg_current_wal_lsn() {
			if (engine.isReplica()) {
				throw new SqlError('55000', 'recovery is in progress');
			}

			return formatPosition(engine.getPosition());
		},
		pg_last_wal_replay_lsn: () => engine.isReplica() ? formatPosition(engine.getPosition()) : null,
		pg_is_in_recovery: () => engine.isReplica() ? 't' : 'f',
		pg_promote() {
			if (engine.isReplica()) {
				engine.promote();
			}

			return 't';
		},
		pg_reload_conf() {
			upstream = pendingUpstream ?? upstream;
			upstreamChanged.notifyAll();
			return 't';
		},
		platform_rejoin(args) {
			engine.reset();
			upstream = String(args[0]);
			upstreamChanged.notifyAll();
			return 't';
		},
		pg_sleep: () => '',
		set_config: args => args[1] ?? null,
		now: () => new Date(runtime.readWallClock()).toISOString(),
	};

	return {
		settings,
		engine,
		replicas,
		onBytesReceived,
		isPartitioned,
		getUpstream: () => upstream,
		setUpstream(conninfo) {
			pendingUpstream = conninfo;
		},
		getLagMs: () => lagMs,
		async runInSlot(task) {
			while (busySlots >= settings.slotCount) {
				await slotFreed.wait();
			}

			busySlots++;
			try {
				if (settings.statementMs > 0) {
					await runtime.sleep(settings.statementMs);
				}

				return await task();
			} finally {
				busySlots--;
				slotFreed.notifyAll();
			}
		},
		addConnection() {
			connectionCount++;
			peakConnectionCount = Math.max(peakConnectionCount, connectionCount);
			return connectionCount <= settings.connectionLimit;
		},
		removeConnection() {
			connectionCount--;
		},
		async waitWhilePartitioned(peer) {
			await partitionChanged.waitUntil(() => !isPartitioned(peer), createDeadline(runtime.now(), Number.POSITIVE_INFINITY));
		},
		callFunction(name, args) {
			const sqlFunction = sqlFunctions[name];
			if (!sqlFunction) {
				throw new SqlError('42883', `function ${name} does not exist`);
			}

			return sqlFunction(args);
		},
		getVirtualTable(name, args) {
			if (name === 'pg_stat_replication') {
				const rows = [...replicas].map((replica, index) => [String(index), [replica.name, formatPosition(replica.replayedPosition)]] as const);
				return {columns: [createTextColumn('application_name'), createTextColumn('replay_lsn')], rows: new Map(rows)};
			}

			if (name === 'pg_control_checkpoint') {
				return {columns: [createIntegerColumn('timeline_id')], rows: new Map([['', [engine.getTimeline()]]])};
			}

			if (name === 'generate_series') {
				const start = Number(args[0]);
				const count = Math.min(Number(args[1]) - start + 1, MAX_SERIES_ROWS);
				const rows = Array.from({length: count}, (_, index) => [String(index), [start + index]] as const);
				return {columns: [createIntegerColumn('generate_series')], rows: new Map(rows)};
			}

			return undefined;
		},
		async waitForUpstreamChange() {
			await upstreamChanged.wait();
		},
	};
};
