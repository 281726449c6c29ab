/** Commands and questions of our own to a target, over one connection that is kept open. */

import {
	Err, Ok, type Failure, type Result, type World,
} from '@guavapitch/core';
import {
	openTargetConnection, type TargetAddress, type TargetConnection, type QueryRows,
} from './connection.js';

/** A connection for questions; it is opened when needed and dropped after a failure. */
export type ControlConnection = AsyncDisposable & Readonly<{
	/** Runs a simple query. */
	query: (text: string) => Promise<Result<readonly QueryRows[], Failure>>;
}>;

/** Time within which a target must answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;

const HEX = 16;
const LOW_BITS = 4_294_967_296;

/** Parses a log position as PostgreSQL prints it. */
export const parsePosition = (text: string | undefined): number => {
	const [high, low] = (text ?? '').split('/');
	return high && low ? (Number.parseInt(high, HEX) * LOW_BITS) + Number.parseInt(low, HEX) : -1;
};

/** Creates the questions to a target; one is asked at a time. */
export const createControlConnection = (address: TargetAddress, world: World): ControlConnection => {
	let connection: TargetConnection | undefined;
	let turn: Promise<unknown> = Promise.resolve();

	const drop = async () => {
		const dropped = connection;
		connection = undefined;
		await dropped?.[Symbol.asyncDispose]();
	};

	const askOnce = async (text: string): Promise<Result<readonly QueryRows[], Failure>> => {
		if (!connection || connection.isEnded()) {
			const opened = await openTargetConnection(address);
			if (opened.err) {
				return opened;
			}

			connection = opened.val;
		}

		return connection.query(text);
	};

	const askInTime = async (text: string): Promise<Result<readonly QueryRows[], Failure>> => {
		const timer = new AbortController();
		const expired = world.sleep(ANSWER_TIMEOUT_MS, timer.signal).then(() => Err({code: 'targetTimeout', message: 'The target did not answer in time'} as const), () => undefined);
		const answer = await Promise.race([askOnce(text), expired]);
		timer.abort();
		if (!answer || (answer.err && answer.val.code !== 'queryFailed')) {
			await drop();
		}

		return answer ?? Err({code: 'targetTimeout', message: 'The question was aborted'});
	};

	return {
		async query(text) {
			const answer = turn.then(async () => askInTime(text));
			turn = answer;
			return answer;
		},
		[Symbol.asyncDispose]: drop,
	};
};

/** What a target says of itself. */
export type TargetState = Readonly<{isReplica: boolean; timeline: number; position: number; replayed: ReadonlyMap<string, number>}>;

const STATE_QUERY = 'SELECT pg_is_in_recovery(); SELECT timeline_id FROM pg_control_checkpoint(); SELECT pg_last_wal_replay_lsn()';
const PRIMARY_QUERY = 'SELECT pg_current_wal_lsn(); SELECT application_name, replay_lsn FROM pg_stat_replication';

const parseReplicas = (rows: QueryRows | undefined): ReadonlyMap<string, number> => new Map((rows ?? []).map(([name, position]) => [name ?? '', parsePosition(position)]));

/** Asks a primary for the end of its log and the progress of its replicas. */
export const readPrimaryPositions = async (questions: ControlConnection): Promise<Result<Readonly<{position: number; replayed: ReadonlyMap<string, number>}>, Failure>> => {
	const answer = await questions.query(PRIMARY_QUERY);
	return answer.map(([position, replicas]) => ({position: parsePosition(position?.[0]?.[0]), replayed: parseReplicas(replicas)}));
};

/** Asks a target for its state. */
export const readTargetState = async (questions: ControlConnection): Promise<Result<TargetState, Failure>> => {
	const answer = await questions.query(STATE_QUERY);
	if (answer.err) {
		return answer;
	}

	const [recovery, timeline, replay] = answer.val;
	const isReplica = recovery?.[0]?.[0] === 't';
	const state = {isReplica, timeline: Number(timeline?.[0]?.[0] ?? 1)};
	if (isReplica) {
		return Ok({...state, position: parsePosition(replay?.[0]?.[0]), replayed: new Map<string, number>()});
	}

	const positions = await readPrimaryPositions(questions);
	return positions.map(found => ({...state, ...found}));
};

const quoteText = (text: string): string => `'${text.replaceAll('\'', '\'\'')}'`;

/** Makes a replica follow a primary; an empty text makes it follow nobody. */
export const followPrimary = async (questions: ControlConnection, conninfo: string): Promise<Result<unknown, Failure>> => {
	const changed = await questions.query(`ALTER SYSTEM SET primary_conninfo = ${quoteText(conninfo)}`);
	return changed.ok ? questions.query('SELECT pg_reload_conf()') : changed;
};

/** Makes a replica the primary. */
export const promoteReplica = async (questions: ControlConnection): Promise<Result<unknown, Failure>> => questions.query('SELECT pg_promote()');

/** Makes a target with a history of its own a replica; the platform supplies the function. */
export const rejoinReplica = async (questions: ControlConnection, conninfo: string): Promise<Result<unknown, Failure>> => questions.query(`SELECT platform_rejoin(${quoteText(conninfo)})`);
