/** In-memory targets of one database with terms, log positions, lag and faults, for tests on a virtual clock. */

import {
	createConditionVariable, Err, NEVER, PAST, Ok, brandId, type DatabaseId, type DataCentreId, type Deadline, type Instant, type Result, type TargetId, type Runtime,
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
	/** Kinds of commands that the target refuses as busy. */
	readonly refusedKinds: Set<Command['kind']>;
	/** Duration of a statement, in milliseconds. */
	statementMs: number;
	/** Statements that ran, with the log position and the session variables at that time, and when they arrived. */
	readonly executed: Array<Readonly<{at: Instant; id: string; text: string; isInTransaction: boolean; position: LogPosition; values: string}>>;
	/** Duration of opening a connection, in milliseconds. */
	dialMs: number;
	dialCount: number;
	pauseCount: number;
	/** Term of the pause that holds; 0 if none does. */
	heldTerm: number;
	runningCount: number;
	/** Highest number of statements that ran concurrently. */
	maxRunningCount: number;
	/** When the target last received a command or a new connection. */
	lastReachedAt: Instant;
};

/** Database of all fake targets. */
export const DATABASE = brandId<DatabaseId>('ledger');

/** Creates a fake target at position 100 of term 1. */
export const createFakeTarget = (name: string, role: 'primary' | 'replica', slots = 2, dataCentre = 'here'): FakeTarget => ({
	description: {
		id: brandId<TargetId>(name),
		database: DATABASE,
		host: name,
		port: 1,
		dataCentre: brandId<DataCentreId>(dataCentre),
		slots,
		isDraining: false,
		acceptsUntil: NEVER,
		isEvacuated: false,
		region: undefined,
		coldUntil: PAST,
		role,
		startedAtMs: 1,
	},
	role,
	position: {term: 1, number: 100},
	fault: 'none',
	dropsReplies: false,
	refusedKinds: new Set(),
	statementMs: 10,
	executed: [],
	dialMs: 1,
	dialCount: 0,
	pauseCount: 0,
	heldTerm: 0,
	runningCount: 0,
	maxRunningCount: 0,
	lastReachedAt: 0 as Instant,
});

type Session = {isInTransaction: boolean; isReadOnly: boolean; hasWritten: boolean; values: Map<string, string>; prepared: Set<string>};

const isBefore = (a: LogPosition, b: LogPosition) => a.term < b.term || (a.term === b.term && a.number < b.number);

const createConnection = (target: FakeTarget, runtime: Runtime): TargetConnection => {
	const session: Session = {
		isInTransaction: false, isReadOnly: false, hasWritten: false, values: new Map(), prepared: new Set(),
	};
	const closed = createConditionVariable();
	let hasEnded = false;

	const createReply = (result: Reply['result']): Reply => ({result, status: session.isInTransaction ? 'open' : 'idle', position: target.position});
	const createDoneReply = (): Reply => createReply({kind: 'done', rows: [], signature: `signed by ${target.description.id}`});
	const createErrorReply = (code: TargetErrorCode): Reply => createReply({kind: 'error', code, text: code});

	const runStatement = async (command: Extract<Command, {kind: 'statement'}>): Promise<Reply> => {
		const {statement} = command;
		const isCommit = statement.kind === 'commit';
		const isWrite = !isCommit && (statement.kind === 'text' ? statement.access : statement.prepared.access) === 'write';
		if (command.after && isBefore(target.position, command.after)) {
			return createErrorReply('lagging');
		}

		const isEmptyCommit = isCommit && !session.hasWritten;
		if (target.role === 'replica' && (isWrite || (session.isInTransaction && !session.isReadOnly && !isEmptyCommit))) {
			return createErrorReply('readOnly');
		}

		const at = runtime.now();
		target.runningCount++;
		target.maxRunningCount = Math.max(target.maxRunningCount, target.runningCount);
		await runtime.sleep(target.statementMs);
		target.runningCount--;
		target.executed.push({
			at,
			id: command.id,
			text: statement.kind === 'prepared' ? command.preparedName : statement.text,
			isInTransaction: session.isInTransaction,
			position: target.position,
			values: JSON.stringify([...session.values]),
		});
		session.hasWritten ||= isWrite && session.isInTransaction;
		if ((isWrite && !session.isInTransaction) || (isCommit && !isEmptyCommit)) {
			target.position = {term: target.position.term, number: target.position.number + 1};
		}

		if (isCommit) {
			session.isInTransaction = false;
		}

		return createDoneReply();
	};

	const run = async (command: Command): Promise<Reply> => {
		target.lastReachedAt = runtime.now();
		if (target.refusedKinds.has(command.kind)) {
			return createErrorReply('busy');
		}

		switch (command.kind) {
			case 'statement': {
				return runStatement(command);
			}

			case 'begin': {
				if (command.after && isBefore(target.position, command.after)) {
					return createErrorReply('lagging');
				}

				if (!command.readOnly && target.role === 'replica') {
					return createErrorReply('readOnly');
				}

				session.isInTransaction = true;
				session.hasWritten = false;
				session.isReadOnly = command.readOnly;
				return createDoneReply();
			}

			case 'rollback': {
				session.isInTransaction = false;
				return createDoneReply();
			}

			case 'reset': {
				session.values.clear();
				session.prepared.clear();
				return createDoneReply();
			}

			case 'set': {
				session.values.set(command.name, command.value);
				return createDoneReply();
			}

			case 'pause': {
				target.pauseCount++;
				target.heldTerm = command.term;
				return createDoneReply();
			}

			case 'resume': {
				target.heldTerm = 0;
				return createDoneReply();
			}

			case 'stepDown': {
				if (target.position.term < command.term) {
					target.role = 'replica';
				}

				return createDoneReply();
			}

			default: {
				return createDoneReply();
			}
		}
	};

	return {
		async execute(commands, deadline): Promise<Execution> {
			const replies: Reply[] = [];
			for (const command of commands) {
				if (hasEnded || target.fault === 'refuses') {
					hasEnded = true;
					return {replies, ended: 'lost'};
				}

				if (target.fault === 'silent') {
					await Promise.race([runtime.sleep(Math.max(0, deadline - runtime.now())), closed.wait()]);
					const cause = hasEnded ? 'lost' : 'timeout';
					hasEnded = true;
					return {replies, ended: cause};
				}

				const commandReply = await run(command);
				if (target.dropsReplies && command.kind === 'statement') {
					hasEnded = true;
					return {replies, ended: 'lost'};
				}

				replies.push(commandReply);
			}

			return {replies, ended: 'no'};
		},
		isEnded: () => hasEnded,
		close() {
			hasEnded = true;
			closed.notifyAll();
		},
	};
};

/** Creates the dial function for the given targets. */
export const createFakeDial = (targets: readonly FakeTarget[], runtime: Runtime) => async (
	description: Target,
	_customer: string,
	deadline: Deadline,
): Promise<Result<TargetConnection, DialFailure>> => {
	const target = targets.find(candidate => candidate.description.id === description.id);
	if (!target || target.fault === 'refuses') {
		return Err({code: 'refused', message: 'refused'});
	}

	if (target.fault === 'silent') {
		await runtime.sleep(Math.max(0, deadline - runtime.now()));
		return Err({code: 'silent', message: 'silent'});
	}

	target.dialCount++;
	target.lastReachedAt = runtime.now();
	await runtime.sleep(target.dialMs);
	return Ok(createConnection(target, runtime));
};

/** Creates a status reader that looks up the target by the signature of the reply. */
export const readFakeStatus = (targets: readonly FakeTarget[]) => (reply: Reply) => {
	const name = reply.result.kind === 'done' ? reply.result.signature.replace('signed by ', '') : '';
	const target = targets.find(candidate => candidate.description.id === name);
	return target && {
		role: target.role, term: target.position.term, received: target.position, heldTerm: target.heldTerm, lagMs: 0,
	};
};
