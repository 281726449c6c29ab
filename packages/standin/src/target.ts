/** One target of the database stand-in: its engine, its limits and its faults. */

import {
	createDeadline, createConditionVariable, createNotifier, type World,
} from '@guavapitch/core';
import {createEngine, type Engine, type Row} from './engine.js';
import type {Column, Value} from './sql-ast.js';
import {SqlError} from './sql-errors.js';

/** Settings of a target. */
export type TargetSettings = Readonly<{
	name: string;
	replica: boolean;
	/** Statements that run at a time. */
	slots: number;
	/** Connections accepted at a time. */
	connectionLimit: number;
	/** Time that opening a connection takes. */
	connectMs: number;
	/** Time that a statement occupies a slot. */
	statementMs: number;
	/** Delay of the replay of a received record. */
	lagMs: number;
}>;

/** A replica as its primary sees it. */
export type ReplicaState = {readonly name: string; replayedPosition: number};

/** A target with its faults and counters. */
export type Target = Readonly<{
	settings: TargetSettings;
	engine: Engine;
	replicas: Set<ReplicaState>;
	/** Gets the address to follow, as a connection string. */
	getUpstream: () => string | undefined;
	setUpstream: (conninfo: string) => void;
	getLagMs: () => number;
	/** Waits for a slot and occupies it for the time of a statement. */
	runInSlot: <Value_>(task: () => Promise<Value_>) => Promise<Value_>;
	/** Counts a connection in or out; tells whether it is within the limit. */
	addConnection: () => boolean;
	removeConnection: () => void;
	/** Waits while the named peer is cut off. */
	waitWhilePartitioned: (peer: string) => Promise<void>;
	isPartitioned: (peer: string) => boolean;
	/** Calls a function of SQL. */
	callFunction: (name: string, args: readonly Value[]) => Value;
	getVirtualTable: (name: string, args: readonly Value[]) => Readonly<{columns: readonly Column[]; rows: ReadonlyMap<string, Row>}> | undefined;
	/** Waits until the upstream has been changed. */
	waitForUpstreamChange: () => Promise<void>;
	/** Called with every byte received from a caller, for tests that look for leaks. */
	onBytesReceived: (bytes: Uint8Array) => void;
}>;

/** Database name and peer of sessions that command faults; no fault holds them up. */
export const CONTROL_PEER = 'control';

const HEX = 16;
const LOW_BITS = 4_294_967_296;
const MANY_ROWS = 10_000_000;

/** Formats a log position as PostgreSQL does. */
export const formatPosition = (position: number): string => `${Math.floor(position / LOW_BITS).toString(HEX).toUpperCase()}/${(position % LOW_BITS).toString(HEX).toUpperCase()}`;

const textColumn = (name: string): Column => ({name, type: 'text', primaryKey: false});
const integerColumn = (name: string): Column => ({name, type: 'int', primaryKey: false});

/** Creates a target. */
export const createTarget = (settings: TargetSettings, world: World, onBytes: (bytes: Uint8Array) => void = () => undefined): Target => {
	const engine = createEngine(world, {replica: settings.replica});
	const replicas = new Set<ReplicaState>();
	const cuts = new Set<string>();
	const cutChanged = createNotifier(world);
	const upstreamChanged = createConditionVariable();
	const slotFreed = createConditionVariable();
	let upstream: string | undefined;
	let pendingUpstream: string | undefined;
	let {lagMs} = settings;
	let connections = 0;
	let mostConnections = 0;
	let busy = 0;

	const isCut = (peer: string) => peer !== CONTROL_PEER && (cuts.has('*') || cuts.has(peer));

	const controls: Readonly<Record<string, (args: readonly Value[]) => Value>> = {
		standin_cut(args) {
			cuts.add(String(args[0]));
			cutChanged.notify();
			return true;
		},
		standin_heal() {
			cuts.clear();
			cutChanged.notify();
			return true;
		},
		standin_lag(args) {
			lagMs = Number(args[0]);
			return true;
		},
		repeat: args => String(args[0]).repeat(Number(args[1])),
		standin_most_connections: () => mostConnections,
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
		now: () => new Date(world.readWallClock()).toISOString(),
	};

	return {
		settings,
		engine,
		replicas,
		onBytesReceived: onBytes,
		isPartitioned: isCut,
		getUpstream: () => upstream,
		setUpstream(conninfo) {
			pendingUpstream = conninfo;
		},
		getLagMs: () => lagMs,
		async runInSlot(task) {
			while (busy >= settings.slots) {
				await slotFreed.wait();
			}

			busy++;
			try {
				if (settings.statementMs > 0) {
					await world.sleep(settings.statementMs);
				}

				return await task();
			} finally {
				busy--;
				slotFreed.notifyAll();
			}
		},
		addConnection() {
			connections++;
			mostConnections = Math.max(mostConnections, connections);
			return connections <= settings.connectionLimit;
		},
		removeConnection() {
			connections--;
		},
		async waitWhilePartitioned(peer) {
			await cutChanged.waitUntil(() => !isCut(peer), createDeadline(world.now(), Number.POSITIVE_INFINITY));
		},
		callFunction(name, args) {
			const control = controls[name];
			if (!control) {
				throw new SqlError('42883', `function ${name} does not exist`);
			}

			return control(args);
		},
		getVirtualTable(name, args) {
			if (name === 'pg_stat_replication') {
				const rows = [...replicas].map((replica, index) => [String(index), [replica.name, formatPosition(replica.replayedPosition)]] as const);
				return {columns: [textColumn('application_name'), textColumn('replay_lsn')], rows: new Map(rows)};
			}

			if (name === 'pg_control_checkpoint') {
				return {columns: [integerColumn('timeline_id')], rows: new Map([['', [engine.getTimeline()]]])};
			}

			if (name === 'generate_series') {
				const first = Number(args[0]);
				const count = Math.min(Number(args[1]) - first + 1, MANY_ROWS);
				const rows = Array.from({length: count}, (_, index) => [String(index), [first + index]] as const);
				return {columns: [integerColumn('generate_series')], rows: new Map(rows)};
			}

			return undefined;
		},
		async waitForUpstreamChange() {
			await upstreamChanged.wait();
		},
	};
};
