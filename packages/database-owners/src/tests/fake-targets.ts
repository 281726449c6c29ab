/** In-memory targets of one database with terms, log positions, lag and faults, for tests on a virtual clock. */

import {
	createConditionVariable, Err, Ok, parseId, type DatabaseId, type DataCentreId, type Deadline, type Result, type TargetId, type World,
} from '@guavapitch/core';
import type {LogPosition} from '@guavapitch/sessions';
import type {
	Command, DialFailure, Execution, Reply, Target, TargetConnection, TargetErrorCode,
} from '../targets.js';

/** A fake target; tests change its fields to inject faults. */
export type FakeTarget = {
	readonly description: Target;
	role: 'primary' | 'replica';
	position: LogPosition;
	/** Whether the target refuses connections or never responds. */
	fault: 'none' | 'refuses' | 'silent';
	/** Whether the target runs statements but loses their replies. */
	dropsReplies: boolean;
	/** Duration of a statement, in milliseconds. */
	statementMs: number;
	/** Statements that ran, with the log position and the session variables at that time. */
	readonly executed: Array<Readonly<{id: string; text: string; inTransaction: boolean; position: LogPosition; values: string}>>;
	dials: number;
	pauses: number;
	running: number;
	/** Highest number of statements that ran concurrently. */
	maxRunning: number;
};

/** Database of all fake targets. */
export const DATABASE = parseId<DatabaseId>('ledger');

/** Creates a fake target at position 100 of term 1. */
export const createFakeTarget = (name: string, role: 'primary' | 'replica', slots = 2): FakeTarget => ({
	description: {
		id: parseId<TargetId>(name), database: DATABASE, host: name, port: 1, dataCentre: parseId<DataCentreId>('here'), slots, isDraining: false, role, startedAtMs: 1,
	},
	role,
	position: {term: 1, number: 100},
	fault: 'none',
	dropsReplies: false,
	statementMs: 10,
	executed: [],
	dials: 0,
	pauses: 0,
	running: 0,
	maxRunning: 0,
});

type Session = {inTransaction: boolean; readOnly: boolean; values: Map<string, string>; prepared: Set<string>};

const isBefore = (a: LogPosition, b: LogPosition) => a.term < b.term || (a.term === b.term && a.number < b.number);

const createConnection = (target: FakeTarget, world: World): TargetConnection => {
	const session: Session = {
		inTransaction: false, readOnly: false, values: new Map(), prepared: new Set(),
	};
	const closed = createConditionVariable();
	let ended = false;

	const reply = (result: Reply['result']): Reply => ({result, status: session.inTransaction ? 'open' : 'idle', position: target.position});
	const done = (): Reply => reply({kind: 'done', rows: [], signature: `signed by ${target.description.id}`});
	const fail = (code: TargetErrorCode): Reply => reply({kind: 'error', code, text: code});

	const runStatement = async (command: Extract<Command, {kind: 'statement'}>): Promise<Reply> => {
		const {statement} = command;
		const isCommit = statement.kind === 'commit';
		const isWrite = !isCommit && (statement.kind === 'text' ? statement.access : statement.prepared.access) === 'write';
		if (command.after && isBefore(target.position, command.after)) {
			return fail('lagging');
		}

		if (target.role === 'replica' && (isWrite || (session.inTransaction && !session.readOnly))) {
			return fail('readOnly');
		}

		target.running++;
		target.maxRunning = Math.max(target.maxRunning, target.running);
		await world.sleep(target.statementMs);
		target.running--;
		target.executed.push({
			id: command.id,
			text: statement.kind === 'prepared' ? command.preparedName : statement.text,
			inTransaction: session.inTransaction,
			position: target.position,
			values: JSON.stringify([...session.values]),
		});
		if (isWrite || isCommit) {
			target.position = {term: target.position.term, number: target.position.number + 1};
		}

		if (isCommit) {
			session.inTransaction = false;
		}

		return done();
	};

	const run = async (command: Command): Promise<Reply> => {
		switch (command.kind) {
			case 'statement': {
				return runStatement(command);
			}

			case 'begin': {
				if (command.after && isBefore(target.position, command.after)) {
					return fail('lagging');
				}

				if (!command.readOnly && target.role === 'replica') {
					return fail('readOnly');
				}

				session.inTransaction = true;
				session.readOnly = command.readOnly;
				return done();
			}

			case 'rollback': {
				session.inTransaction = false;
				return done();
			}

			case 'reset': {
				session.values.clear();
				session.prepared.clear();
				return done();
			}

			case 'set': {
				session.values.set(command.name, command.value);
				return done();
			}

			case 'pause': {
				target.pauses++;
				return done();
			}

			default: {
				return done();
			}
		}
	};

	return {
		async execute(commands, deadline): Promise<Execution> {
			const replies: Reply[] = [];
			for (const command of commands) {
				if (ended || target.fault === 'refuses') {
					ended = true;
					return {replies, ended: 'lost'};
				}

				if (target.fault === 'silent') {
					await Promise.race([world.sleep(Math.max(0, deadline - world.now())), closed.wait()]);
					const cause = ended ? 'lost' : 'timeout';
					ended = true;
					return {replies, ended: cause};
				}

				const commandReply = await run(command);
				if (target.dropsReplies && command.kind === 'statement') {
					ended = true;
					return {replies, ended: 'lost'};
				}

				replies.push(commandReply);
			}

			return {replies, ended: 'no'};
		},
		isEnded: () => ended,
		close() {
			ended = true;
			closed.notifyAll();
		},
	};
};

/** Creates the dial function for the given targets. */
export const createFakeDial = (targets: readonly FakeTarget[], world: World) => async (description: Target, _customer: string, deadline: Deadline): Promise<Result<TargetConnection, DialFailure>> => {
	const target = targets.find(candidate => candidate.description.id === description.id);
	if (!target || target.fault === 'refuses') {
		return Err({code: 'refused', message: 'refused'});
	}

	if (target.fault === 'silent') {
		await world.sleep(Math.max(0, deadline - world.now()));
		return Err({code: 'silent', message: 'silent'});
	}

	target.dials++;
	await world.sleep(1);
	return Ok(createConnection(target, world));
};

/** Creates a status reader that looks up the target by the signature of the reply. */
export const readFakeStatus = (targets: readonly FakeTarget[]) => (reply: Reply) => {
	const name = reply.result.kind === 'done' ? reply.result.signature.replace('signed by ', '') : '';
	const target = targets.find(candidate => candidate.description.id === name);
	return target && {
		role: target.role, term: target.position.term, received: target.position, lagMs: 0,
	};
};
