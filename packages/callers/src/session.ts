/** Session of one caller: its values, prepared statements and transaction, without an encoding. */

import {
	createDeadline, type CustomerId, type DatabaseId, type Deadline, type Result, type TransactionStatus, type World,
} from '@guavapitch/core';
import {
	chooseLaterPosition, createRefusal, getAccess, type CallerStatement, type Consistency, type StatementResponse, type StatementRequest, type StatementOutcome, type LogPosition, type PreparedDefinition, type TargetStatement,
} from '@guavapitch/sessions';

/** Rules of the service that a session uses. */
export type Route = Readonly<{
	/** Name under which callers ask for it. */
	service: string;
	database: DatabaseId;
	consistency: Consistency;
	/** Limit of one statement, in milliseconds. */
	timeoutMs: number;
	/** Time in which a whole operation should be answered, in milliseconds. */
	latencyObjectiveMs: number;
	/** Smaller goes first. */
	priority: number;
	/** Whether callers need no key. */
	isPublic: boolean;
}>;

/** Who a caller proved to be. */
export type Authorization = Readonly<{route: Route; customer: CustomerId}>;

/** What a session needs. */
export type SessionContext = Readonly<{
	world: World;
	/** Reads the rules that hold now for the session; a refusal if its service or key is gone. */
	authorize: () => Result<Authorization, StatementOutcome>;
	/** Lets the home of the database run a statement. */
	runAtOwner: (request: StatementRequest, deadline: Deadline) => Promise<StatementResponse>;
	/** Rolls a transaction back at its home. */
	rollBack: (database: DatabaseId, transaction: string) => void;
}>;

/** What a caller hears of a statement. */
export type SessionResponse = Readonly<{
	outcome: StatementOutcome;
	status: TransactionStatus;
	position: LogPosition | undefined;
	/** Target that answered, for the logs. */
	target: string | undefined;
	waitedMs: number;
}>;

/** Session of a caller. */
export type Session = Readonly<{
	/** Runs a statement; one at a time. */
	run: (id: string, statement: CallerStatement) => Promise<SessionResponse>;
	getStatus: () => TransactionStatus;
	/** Ends the session; an open transaction is rolled back. */
	end: () => void;
}>;

type Transaction = Readonly<{
	id: string;
	readOnly: boolean;
	admission: Authorization;
	promptUntil: Deadline;
}>;

const DONE: StatementOutcome = {kind: 'done', rows: [], signature: ''};

/** Creates a session in no transaction. */
export const createSession = (context: SessionContext): Session => {
	const {world} = context;
	const values = new Map<string, string>();
	const prepared = new Map<string, PreparedDefinition>();
	let status: TransactionStatus = 'idle';
	let transaction: Transaction | undefined;
	let isStarted = false;
	let floor: LogPosition | undefined;

	const answer = (outcome: StatementOutcome, from?: StatementResponse): SessionResponse => ({
		outcome, status, position: from?.position, target: from?.target, waitedMs: from?.waitedMs ?? 0,
	});

	const leaveTransaction = (next: TransactionStatus) => {
		status = next;
		if (next !== 'open') {
			if (transaction && isStarted) {
				context.rollBack(transaction.admission.route.database, transaction.id);
			}

			transaction = undefined;
			isStarted = false;
		}
	};

	const createRequest = (id: string, statement: TargetStatement, {route, customer}: Authorization, promptUntil: Deadline): StatementRequest => ({
		id,
		database: route.database,
		customer,
		statement,
		consistency: route.consistency,
		floor: route.consistency.kind === 'ownWrites' ? floor : undefined,
		values: [...values],
		transaction: transaction && {id: transaction.id, readOnly: transaction.readOnly, isFirst: !isStarted},
		remainingMs: route.timeoutMs,
		promptMs: Math.max(0, promptUntil - world.now()),
		priority: route.priority,
	});

	const noteAnswer = (request: StatementRequest, {outcome, position}: StatementResponse) => {
		const mayHaveWritten = getAccess(request.statement) !== 'read';
		if (outcome.kind === 'done' && mayHaveWritten && position) {
			floor = chooseLaterPosition(floor, position);
		}
	};

	const runSingle = async (id: string, statement: TargetStatement): Promise<SessionResponse> => {
		const startedAt = world.now();
		const admission = context.authorize();
		if (admission.err) {
			return answer(admission.val);
		}

		const {route} = admission.val;
		const request = createRequest(id, statement, admission.val, createDeadline(startedAt, route.latencyObjectiveMs));
		const ran = await context.runAtOwner(request, createDeadline(world.now(), route.timeoutMs));
		noteAnswer(request, ran);
		return answer(ran.outcome, ran);
	};

	const runInTransaction = async (id: string, statement: TargetStatement, open: Transaction): Promise<SessionResponse> => {
		const current = context.authorize();
		if (current.err && current.val.kind === 'refused' && current.val.code === 'noKey') {
			leaveTransaction('failed');
			return answer(current.val);
		}

		const request = createRequest(id, statement, open.admission, open.promptUntil);
		isStarted = true;
		const ran = await context.runAtOwner(request, createDeadline(world.now(), open.admission.route.timeoutMs));
		noteAnswer(request, ran);
		if (statement.kind === 'commit' || ran.status !== 'open') {
			isStarted = ran.status === 'open';
			leaveTransaction(statement.kind === 'commit' ? 'idle' : 'failed');
		}

		return answer(ran.outcome, ran);
	};

	const begin = (readOnly: boolean): SessionResponse => {
		if (status === 'open') {
			return answer(createRefusal('malformed', 'a transaction is open already'));
		}

		const startedAt = world.now();
		const admission = context.authorize();
		if (admission.err) {
			return answer(admission.val);
		}

		transaction = {
			id: world.createId(), readOnly, admission: admission.val, promptUntil: createDeadline(startedAt, admission.val.route.latencyObjectiveMs),
		};
		isStarted = false;
		status = 'open';
		return answer(DONE);
	};

	const runAtTarget = async (id: string, statement: TargetStatement): Promise<SessionResponse> => {
		if (transaction) {
			return runInTransaction(id, statement, transaction);
		}

		return statement.kind === 'commit'
			? answer(createRefusal('malformed', 'there is no transaction to commit'))
			: runSingle(id, statement);
	};

	const execute = async (id: string, name: string, rest: string): Promise<SessionResponse> => {
		const known = prepared.get(name);
		return known
			? runAtTarget(id, {kind: 'prepared', prepared: known, rest})
			: answer(createRefusal('noStatement', 'no statement of that name is prepared'));
	};

	const runStatement = async (id: string, statement: CallerStatement): Promise<SessionResponse> => {
		switch (statement.kind) {
			case 'begin': {
				return begin(statement.readOnly);
			}

			case 'commit': {
				if (status === 'failed') {
					leaveTransaction('idle');
					return answer(createRefusal('aborted', 'the transaction had failed and is rolled back'));
				}

				return runAtTarget(id, statement);
			}

			case 'rollback': {
				leaveTransaction('idle');
				return answer(DONE);
			}

			case 'set': {
				values.set(statement.name, statement.value);
				return answer(DONE);
			}

			case 'prepare': {
				prepared.set(statement.name, statement.prepared);
				return answer(DONE);
			}

			case 'deallocate': {
				return prepared.delete(statement.name)
					? answer(DONE)
					: answer(createRefusal('noStatement', 'no statement of that name is prepared'));
			}

			case 'execute': {
				return execute(id, statement.name, statement.rest);
			}

			default: {
				return runAtTarget(id, statement);
			}
		}
	};

	return {
		async run(id, statement) {
			return status === 'failed' && statement.kind !== 'rollback' && statement.kind !== 'commit'
				? answer(createRefusal('malformed', 'the transaction has failed; only its end is accepted'))
				: runStatement(id, statement);
		},
		getStatus: () => status,
		end() {
			leaveTransaction('idle');
		},
	};
};
