/** Session of one caller: its variables, prepared statements and transaction. Independent of the wire encoding. */

import {
	createDeadline, getRemainingMs, type CustomerId, type DatabaseId, type Deadline, type Result, type TransactionStatus, type Runtime,
} from '@guavapitch/core';
import {
	chooseLaterPosition, createRefusal, getAccess,
	type CallerStatement, type StatementResponse, type StatementRequest, type StatementOutcome, type LogPosition, type PreparedDefinition, type TargetStatement,
} from '@guavapitch/sessions';
import {checkContinuation, type Authorization, type Route} from './authorization.js';
import {computeStatementDeadline, isPassedOn, type StopPlan} from './stop-plan.js';

/** Dependencies of a session. */
export type SessionContext = Readonly<{
	runtime: Runtime;
	/** Checks the caller against the active configuration; fails with a refusal if its service or key has been removed. */
	authorize: () => Result<Authorization, StatementOutcome>;
	/** Checks the caller against the active configuration as if its service still had the given route; fails with a refusal if its key has been removed. */
	authorizeOn: (route: Route) => Result<Authorization, StatementOutcome>;
	/** Called when a transaction is ended because its caller is no longer authorized as when it began. */
	onAuthorizationChanged: (begun: Authorization, current: Authorization | undefined, outcome: StatementOutcome) => void;
	/** Runs a statement at the owner of the database. */
	runAtOwner: (request: StatementRequest, deadline: Deadline) => Promise<StatementResponse>;
	/** Rolls a transaction back at the owner of its database. */
	rollBack: (database: DatabaseId, transaction: string) => void;
	/** Returns the plan of the stop that is in progress; `undefined` if there is none. */
	getStopPlan: () => StopPlan | undefined;
	/** Counts bytes of variables and prepared statements that the session keeps, or with a negative number gives up; returns `false` if it may not keep them. */
	tryKeep: (bytes: number) => boolean;
}>;

/** Response to a statement of the caller. */
export type SessionResponse = Readonly<{
	outcome: StatementOutcome;
	status: TransactionStatus;
	/** Log position of the target; `undefined` if no target ran the statement or none was reported. */
	position: LogPosition | undefined;
	/** Target that ran the statement, for logging. */
	target: string | undefined;
	/** Time from the arrival of the request at the owner until it was sent to a target, in milliseconds. */
	waitedMs: number;
}>;

type RequestDeadlines = Readonly<{deadline: Deadline; latencyDeadline: Deadline}>;

/** Session of a caller. */
export type Session = Readonly<{
	/** Runs a statement; the previous one must have completed. `id` is the identifier that the caller gave it. */
	run: (id: string, statement: CallerStatement) => Promise<SessionResponse>;
	getStatus: () => TransactionStatus;
	/** Tells whether a statement was refused because this vm is stopping, so that the caller knows that it must connect again. */
	isTurnedAway: () => boolean;
	/** Returns the customer as which the caller is authorized, for logging; `undefined` if it no longer is. */
	getCustomer: () => CustomerId | undefined;
	/** Ends the session and rolls back an open transaction. */
	end: () => void;
}>;

type Transaction = Readonly<{
	id: string;
	readOnly: boolean;
	authorization: Authorization;
	latencyDeadline: Deadline;
}>;

/** Memory of a kept variable or prepared statement beside its text, in bytes, so that many short ones count too. */
const KEPT_OVERHEAD_BYTES = 100;

const measureKept = (name: string, text: string | undefined): number => text === undefined ? 0 : KEPT_OVERHEAD_BYTES + name.length + text.length;

const DONE: StatementOutcome = {kind: 'done', rows: [], signature: ''};

/** Creates a session with no open transaction. */
export const createSession = (context: SessionContext): Session => {
	const {runtime} = context;
	const variables = new Map<string, string>();
	const preparedStatements = new Map<string, PreparedDefinition>();
	let status: TransactionStatus = 'idle';
	let transaction: Transaction | undefined;
	/** Whether a statement of the transaction has been sent to the owner. */
	let isStarted = false;
	/** Log position of the last acknowledged write. */
	let minimumPosition: LogPosition | undefined;

	let isTurnedAway = false;

	const createResponse = (outcome: StatementOutcome, response?: StatementResponse): SessionResponse => ({
		outcome, status, position: response?.position, target: response?.target, waitedMs: response?.waitedMs ?? 0,
	});

	const turnAway = (code: 'busy' | 'aborted'): SessionResponse => {
		isTurnedAway = true;
		return createResponse(createRefusal(code, 'this vm is stopping; connect again'));
	};

	/** Sets the status; unless it is `open`, ends the transaction and rolls it back at the owner if it has started there. */
	const endTransaction = (newStatus: TransactionStatus) => {
		status = newStatus;
		if (newStatus !== 'open') {
			if (transaction && isStarted) {
				context.rollBack(transaction.authorization.route.database, transaction.id);
			}

			transaction = undefined;
			isStarted = false;
		}
	};

	const createRequest = (id: string, statement: TargetStatement, {route, customer, allowedRegions}: Authorization, {deadline, latencyDeadline}: RequestDeadlines): StatementRequest => ({
		id,
		database: route.database,
		customer,
		statement,
		consistency: route.consistency,
		floor: route.consistency.kind === 'ownWrites' ? minimumPosition : undefined,
		values: [...variables],
		transaction: transaction && {id: transaction.id, readOnly: transaction.readOnly, isFirst: !isStarted},
		remainingMs: getRemainingMs(deadline, runtime.now()),
		promptMs: Math.max(0, latencyDeadline - runtime.now()),
		priority: route.priority,
		...(allowedRegions && {allowedRegions}),
	});

	const recordResponse = (request: StatementRequest, {outcome, position}: StatementResponse) => {
		const mayHaveWritten = getAccess(request.statement) !== 'read';
		if (outcome.kind === 'done' && mayHaveWritten && position) {
			minimumPosition = chooseLaterPosition(minimumPosition, position);
		}
	};

	const runSingle = async (id: string, statement: TargetStatement): Promise<SessionResponse> => {
		const startedAt = runtime.now();
		const authorization = context.authorize();
		if (authorization.err) {
			return createResponse(authorization.val);
		}

		const {route} = authorization.val;
		const timeoutDeadline = createDeadline(startedAt, route.timeoutMs);
		if (!isPassedOn(context.getStopPlan(), {isCommit: false, deadline: timeoutDeadline}, startedAt)) {
			return turnAway('busy');
		}

		const deadline = computeStatementDeadline(context.getStopPlan(), timeoutDeadline);
		const request = createRequest(id, statement, authorization.val, {deadline, latencyDeadline: createDeadline(startedAt, route.latencyObjectiveMs)});
		const response = await context.runAtOwner(request, deadline);
		recordResponse(request, response);
		return createResponse(response.outcome, response);
	};

	/** Checks whether the caller is still authorized for its open transaction, and ends the transaction otherwise. */
	const checkAuthorization = ({authorization}: Transaction, isCommit: boolean): Result<undefined, StatementOutcome> => {
		const current = context.authorizeOn(authorization.route);
		const checked = checkContinuation(authorization, current);
		if (checked.err) {
			context.onAuthorizationChanged(authorization, current.ok ? current.val : undefined, checked.val);
			endTransaction(isCommit ? 'idle' : 'failed');
		}

		return checked;
	};

	/** Runs a statement under the authorization that the transaction began with, as long as the caller's key belongs to the same customer. */
	const runInTransaction = async (id: string, statement: TargetStatement, openTransaction: Transaction): Promise<SessionResponse> => {
		const isCommit = statement.kind === 'commit';
		const checked = checkAuthorization(openTransaction, isCommit);
		if (checked.err) {
			return createResponse(checked.val);
		}

		const startedAt = runtime.now();
		const timeoutDeadline = createDeadline(startedAt, openTransaction.authorization.route.timeoutMs);
		if (!isPassedOn(context.getStopPlan(), {isCommit, deadline: timeoutDeadline}, startedAt)) {
			endTransaction(isCommit ? 'idle' : 'failed');
			return turnAway('aborted');
		}

		const deadline = computeStatementDeadline(context.getStopPlan(), timeoutDeadline);
		const request = createRequest(id, statement, openTransaction.authorization, {deadline, latencyDeadline: openTransaction.latencyDeadline});
		isStarted = true;
		const response = await context.runAtOwner(request, deadline);
		recordResponse(request, response);
		if (isCommit || response.status !== 'open') {
			isStarted = response.status === 'open';
			endTransaction(isCommit ? 'idle' : 'failed');
		}

		return createResponse(response.outcome, response);
	};

	const begin = (isReadOnly: boolean): SessionResponse => {
		if (status === 'open') {
			return createResponse(createRefusal('malformed', 'a transaction is already open'));
		}

		const startedAt = runtime.now();
		const authorization = context.authorize();
		if (authorization.err) {
			return createResponse(authorization.val);
		}

		if (!isPassedOn(context.getStopPlan(), {isCommit: false, deadline: createDeadline(startedAt, authorization.val.route.timeoutMs)}, startedAt)) {
			return turnAway('busy');
		}

		transaction = {
			id: runtime.createId(), readOnly: isReadOnly, authorization: authorization.val, latencyDeadline: createDeadline(startedAt, authorization.val.route.latencyObjectiveMs),
		};
		isStarted = false;
		status = 'open';
		return createResponse(DONE);
	};

	const runAtTarget = async (id: string, statement: TargetStatement): Promise<SessionResponse> => {
		if (transaction) {
			return runInTransaction(id, statement, transaction);
		}

		return statement.kind === 'commit'
			? createResponse(createRefusal('malformed', 'no transaction is open to commit'))
			: runSingle(id, statement);
	};

	const execute = async (id: string, name: string, parameters: string): Promise<SessionResponse> => {
		const definition = preparedStatements.get(name);
		return definition
			? runAtTarget(id, {kind: 'prepared', prepared: definition, rest: parameters})
			: createResponse(createRefusal('noStatement', 'no prepared statement has this name'));
	};

	/** Stores a variable or prepared statement in place of the one of the same name, if the session may keep it. */
	const keep = (name: string, text: string, previousText: string | undefined, store: () => void): SessionResponse => {
		if (!context.tryKeep(measureKept(name, text) - measureKept(name, previousText))) {
			return createResponse(createRefusal('busy', 'the variables and prepared statements of the session, or of all sessions, take too much memory'));
		}

		store();
		return createResponse(DONE);
	};

	const deallocate = (name: string): SessionResponse => {
		const definition = preparedStatements.get(name);
		if (!definition) {
			return createResponse(createRefusal('noStatement', 'no prepared statement has this name'));
		}

		context.tryKeep(-measureKept(name, definition.shape));
		preparedStatements.delete(name);
		return createResponse(DONE);
	};

	const runStatement = async (id: string, statement: CallerStatement): Promise<SessionResponse> => {
		switch (statement.kind) {
			case 'begin': {
				return begin(statement.readOnly);
			}

			case 'commit': {
				if (status === 'failed') {
					endTransaction('idle');
					return createResponse(createRefusal('aborted', 'the transaction had failed and was rolled back'));
				}

				return runAtTarget(id, statement);
			}

			case 'rollback': {
				endTransaction('idle');
				return createResponse(DONE);
			}

			case 'set': {
				return keep(statement.name, statement.value, variables.get(statement.name), () => {
					variables.set(statement.name, statement.value);
				});
			}

			case 'prepare': {
				return keep(statement.name, statement.prepared.shape, preparedStatements.get(statement.name)?.shape, () => {
					preparedStatements.set(statement.name, statement.prepared);
				});
			}

			case 'deallocate': {
				return deallocate(statement.name);
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
				? createResponse(createRefusal('malformed', 'the transaction has failed; only commit or rollback is accepted'))
				: runStatement(id, statement);
		},
		getStatus: () => status,
		isTurnedAway: () => isTurnedAway,
		getCustomer() {
			const authorization = context.authorize();
			return authorization.ok ? authorization.val.customer : undefined;
		},
		end() {
			endTransaction('idle');
		},
	};
};
