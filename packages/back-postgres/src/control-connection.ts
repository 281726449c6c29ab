/** Queries and commands that the proxy itself sends to a target, over a connection that is kept open. */

import {
	Err, Ok, type Failure, type Result, type Runtime,
} from '@guavapitch/core';
import {
	openTargetConnection, type TargetConnectionSettings, type TargetConnection, type QueryRows,
} from './connection.js';

/** Connection for queries of the proxy itself; opened when needed and closed after a failure. */
export type ControlConnection = AsyncDisposable & Readonly<{
	/** Runs a simple query; fails with `targetTimeout` if the target does not answer in time. Queries run one after the other. */
	query: (text: string) => Promise<Result<readonly QueryRows[], Failure>>;
}>;

/** Time within which a target must answer a query, including the time for connecting, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 400;

const HEX_RADIX = 16;
const UINT32_RANGE = 4_294_967_296;

/** Parses a log position in the format of PostgreSQL, two hexadecimal words; returns -1 if there is none. */
export const parsePosition = (text: string | undefined): number => {
	const [high, low] = (text ?? '').split('/');
	return high && low ? (Number.parseInt(high, HEX_RADIX) * UINT32_RANGE) + Number.parseInt(low, HEX_RADIX) : -1;
};

/** Creates the control connection to a target, without opening it. */
export const createControlConnection = (settings: TargetConnectionSettings, runtime: Runtime): ControlConnection => {
	let connection: TargetConnection | undefined;
	let previousQuery: Promise<unknown> = Promise.resolve();

	const closeConnection = async () => {
		const closingConnection = connection;
		connection = undefined;
		await closingConnection?.[Symbol.asyncDispose]();
	};

	const queryOnce = async (text: string): Promise<Result<readonly QueryRows[], Failure>> => {
		if (!connection || connection.isEnded()) {
			const opened = await openTargetConnection(settings);
			if (opened.err) {
				return opened;
			}

			connection = opened.val;
		}

		return connection.query(text);
	};

	const queryWithTimeout = async (text: string): Promise<Result<readonly QueryRows[], Failure>> => {
		const timer = new AbortController();
		const timeoutResult = runtime.sleep(RESPONSE_TIMEOUT_MS, timer.signal).then(
			() => Err({code: 'targetTimeout', message: 'The target did not answer a control query in time; the control connection was closed'} as const),
			() => undefined,
		);
		const result = await Promise.race([queryOnce(text), timeoutResult]);
		timer.abort();
		if (!result || (result.err && result.val.code !== 'queryFailed')) {
			await closeConnection();
		}

		return result ?? Err({code: 'targetTimeout', message: 'The query was aborted'});
	};

	return {
		async query(text) {
			const response = previousQuery.then(async () => queryWithTimeout(text));
			previousQuery = response;
			return response;
		},
		[Symbol.asyncDispose]: closeConnection,
	};
};

/** State that a target reports: its role, timeline and log position, which on a replica is the replayed one, and on a primary the replayed log positions of its replicas by name. */
export type TargetState = Readonly<{isReplica: boolean; timeline: number; position: number; replayedPositions: ReadonlyMap<string, number>}>;

const STATE_QUERY = 'SELECT pg_is_in_recovery(); SELECT timeline_id FROM pg_control_checkpoint(); SELECT pg_last_wal_replay_lsn()';
const PRIMARY_QUERY = 'SELECT pg_current_wal_lsn(); SELECT application_name, replay_lsn FROM pg_stat_replication';

const parseReplayedPositions = (rows: QueryRows | undefined): ReadonlyMap<string, number> => new Map((rows ?? []).map(([name, position]) => [name ?? '', parsePosition(position)]));

/** Reads the current log position of a primary and the replayed log positions of its replicas. */
export const readPrimaryPositions = async (connection: ControlConnection): Promise<Result<Readonly<{position: number; replayedPositions: ReadonlyMap<string, number>}>, Failure>> => {
	const result = await connection.query(PRIMARY_QUERY);
	return result.map(([positionRows, replicaRows]) => ({position: parsePosition(positionRows?.[0]?.[0]), replayedPositions: parseReplayedPositions(replicaRows)}));
};

/** Reads the state of a target. */
export const readTargetState = async (connection: ControlConnection): Promise<Result<TargetState, Failure>> => {
	const results = await connection.query(STATE_QUERY);
	if (results.err) {
		return results;
	}

	const [recoveryRows, timelineRows, replayRows] = results.val;
	const isReplica = recoveryRows?.[0]?.[0] === 't';
	const state = {isReplica, timeline: Number(timelineRows?.[0]?.[0] ?? 1)};
	if (isReplica) {
		return Ok({...state, position: parsePosition(replayRows?.[0]?.[0]), replayedPositions: new Map<string, number>()});
	}

	const positions = await readPrimaryPositions(connection);
	return positions.map(primaryPositions => ({...state, ...primaryPositions}));
};

const quoteLiteral = (text: string): string => `'${text.replaceAll('\'', '\'\'')}'`;

/** Makes a replica follow a primary; with an empty `conninfo` it stops following. */
export const followPrimary = async (connection: ControlConnection, conninfo: string): Promise<Result<unknown, Failure>> => {
	const changed = await connection.query(`ALTER SYSTEM SET primary_conninfo = ${quoteLiteral(conninfo)}`);
	return changed.ok ? connection.query('SELECT pg_reload_conf()') : changed;
};

/** Promotes a replica to primary. */
export const promoteReplica = async (connection: ControlConnection): Promise<Result<unknown, Failure>> => connection.query('SELECT pg_promote()');

/** Turns a target whose log has diverged into a replica of a primary; calls a function that the platform provides. */
export const rejoinReplica = async (connection: ControlConnection, conninfo: string): Promise<Result<unknown, Failure>> => connection.query(`SELECT platform_rejoin(${quoteLiteral(conninfo)})`);
