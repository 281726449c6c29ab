/** Session of the database stand-in: the task that serves one connection. */

import {type Buffer} from 'node:buffer';
import {getErrorMessage, type Runtime, type TransactionStatus} from '@guavapitch/core';
import {
	createCommandComplete, createErrorResponse, createMessage, createReadyForQuery, encodeInt16, getBody, readCString, SQLSTATE,
	type Message, type WireConnection,
} from '@guavapitch/postgres-wire';
import type {Transaction} from './engine.js';
import {
	describeStatement, executeStatement, type ExecutionContext, type ResultSet,
} from './executor.js';
import type {Target} from './target.js';
import {createDataRow, createRowDescription, readParameters} from './rows.js';
import type {Statement, Value} from './sql-ast.js';
import {SqlError} from './sql-errors.js';
import {parseSql} from './sql-parser.js';

/** Statement with its parameter values; `undefined` stands for an empty query. */
type Portal = Readonly<{statement: Statement | undefined; parameters: readonly Value[]}>;

type SessionState = {
	transaction: Transaction | undefined;
	status: TransactionStatus;
	readonly statements: Map<string, Statement | undefined>;
	readonly portals: Map<string, Portal>;
	readonly settings: Map<string, string>;
	/** Whether messages are skipped until the next Sync because an earlier message failed. */
	isSkipping: boolean;
	cancelController: AbortController;
};

/** Dependencies of a session. */
export type SessionContext = Readonly<{
	target: Target;
	runtime: Runtime;
	wire: WireConnection;
	/** Name by which faults select the session: the application name that the caller sent, or `CONTROL_PEER`. */
	peer: string;
	/** Called with the function that cancels the running statement. */
	onCancel: (cancel: () => void) => void;
}>;

const FLUSH_THRESHOLD_BYTES = 65_536;
const NO_DATA = createMessage('n');

/** Serves a caller from the end of its startup until it disconnects. */
export const serveSession = async (context: SessionContext): Promise<void> => {
	const {target, wire, runtime} = context;
	const {engine} = target;
	const state: SessionState = {
		transaction: undefined, status: 'idle', statements: new Map(), portals: new Map(), settings: new Map(), isSkipping: false, cancelController: new AbortController(),
	};
	let output: Buffer[] = [];
	let outputBytes = 0;

	const flush = async () => {
		const parts = output;
		output = [];
		outputBytes = 0;
		await target.waitWhilePartitioned(context.peer);
		if (parts.length > 0) {
			await wire.write(...parts);
		}
	};

	const send = async (message: Message) => {
		output.push(message.bytes);
		outputBytes += message.bytes.length;
		if (outputBytes > FLUSH_THRESHOLD_BYTES) {
			await flush();
		}
	};

	const createExecutionContext = (transaction: Transaction, parameters: readonly Value[]): ExecutionContext => ({
		engine, transaction, parameters, callFunction: target.callFunction, getVirtualTable: target.getVirtualTable,
	});

	const getOrBeginTransaction = (): Transaction => {
		state.transaction ??= engine.begin(false);
		return state.transaction;
	};

	const endTransaction = (shouldCommit: boolean) => {
		const {transaction} = state;
		state.transaction = undefined;
		state.status = 'idle';
		if (!transaction) {
			return;
		}

		if (shouldCommit) {
			engine.commit(transaction);
		} else {
			engine.rollback(transaction);
		}
	};

	const runTransactionStatement = (statement: Extract<Statement, {kind: 'transaction'}>): ResultSet => {
		if (statement.action === 'begin') {
			state.transaction ??= engine.begin(statement.readOnly);
			state.status = 'open';
			return {tag: 'BEGIN', columns: [], rows: []};
		}

		const shouldCommit = statement.action === 'commit' && state.status !== 'failed';
		endTransaction(shouldCommit);
		return {tag: shouldCommit ? 'COMMIT' : 'ROLLBACK', columns: [], rows: []};
	};

	/** Sleeps if the first output of a query is a call of `pg_sleep`; fails if the query is canceled. */
	const sleepIfRequested = async (statement: Statement, parameters: readonly Value[]) => {
		const firstOutput = statement.kind === 'select' ? statement.outputs[0] : undefined;
		if (firstOutput === undefined || firstOutput === '*' || firstOutput.expression.kind !== 'call' || firstOutput.expression.name !== 'pg_sleep') {
			return;
		}

		const [argument] = firstOutput.expression.args;
		const seconds = argument?.kind === 'literal' ? Number(argument.value) : Number(parameters[0] ?? 0);
		try {
			await runtime.sleep(seconds * 1000, state.cancelController.signal);
		} catch {
			throw new SqlError('57014', 'canceling statement due to user request');
		}
	};

	const runStatement = async (statement: Statement, parameters: readonly Value[]): Promise<ResultSet> => {
		if (state.status === 'failed' && statement.kind !== 'transaction') {
			throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block');
		}

		switch (statement.kind) {
			case 'transaction': {
				return runTransactionStatement(statement);
			}

			case 'set': {
				state.settings.set(statement.name, statement.value);
				return {tag: 'SET', columns: [], rows: []};
			}

			case 'show': {
				const value = state.settings.get(statement.name) ?? '';
				return {tag: 'SHOW', columns: [{name: statement.name, type: 'text'}], rows: [[value]]};
			}

			case 'discard': {
				state.settings.clear();
				state.statements.clear();
				return {tag: 'DISCARD ALL', columns: [], rows: []};
			}

			case 'alterSystem': {
				if (statement.name === 'primary_conninfo') {
					target.setUpstream(statement.value);
				}

				return {tag: 'ALTER SYSTEM', columns: [], rows: []};
			}

			default: {
				return target.runInSlot(async () => {
					await sleepIfRequested(statement, parameters);
					return executeStatement(createExecutionContext(getOrBeginTransaction(), parameters), statement);
				});
			}
		}
	};

	const sendResult = async (result: ResultSet, hasDescription: boolean) => {
		if (hasDescription && result.columns.length > 0) {
			await send(createRowDescription(result.columns));
		}

		for (const row of result.rows) {
			await send(createDataRow(row));
		}

		await send(createCommandComplete(result.tag));
	};

	const sendError = async (error: unknown) => {
		const code = error instanceof SqlError ? error.code : 'XX000';
		await send(createErrorResponse({severity: 'ERROR', code, message: getErrorMessage(error)}));
		if (state.status === 'idle') {
			endTransaction(false);
		} else {
			state.status = 'failed';
		}
	};

	const endImplicitTransaction = async () => {
		if (state.status === 'idle' && state.transaction) {
			try {
				endTransaction(true);
			} catch (error) {
				await sendError(error);
			}
		}

		if (state.status === 'idle') {
			state.portals.clear();
		}
	};

	const runSimpleQuery = async (text: string) => {
		try {
			const parsed = parseSql(text);
			if (parsed.err) {
				throw new SqlError(parsed.val.code, parsed.val.message);
			}

			if (parsed.val.length === 0) {
				await send(createMessage('I'));
			}

			for (const statement of parsed.val) {
				await sendResult(await runStatement(statement, []), true);
			}
		} catch (error) {
			await sendError(error);
		}

		await endImplicitTransaction();
		await send(createReadyForQuery(state.status));
	};

	const parse = (body: Buffer) => {
		const [name, afterName] = readCString(body, 0);
		const [text] = readCString(body, afterName);
		const parsed = parseSql(text);
		if (parsed.err) {
			throw new SqlError(parsed.val.code, parsed.val.message);
		}

		if (parsed.val.length > 1) {
			throw new SqlError('42601', 'cannot insert multiple commands into a prepared statement');
		}

		if (name !== '' && state.statements.has(name)) {
			throw new SqlError('42P05', `prepared statement "${name}" already exists`);
		}

		state.statements.set(name, parsed.val[0]);
	};

	const bind = (body: Buffer) => {
		const [portal, afterPortal] = readCString(body, 0);
		const [name, afterName] = readCString(body, afterPortal);
		if (!state.statements.has(name)) {
			throw new SqlError('26000', `prepared statement "${name}" does not exist`);
		}

		state.portals.set(portal, {statement: state.statements.get(name), parameters: readParameters(body, afterName)});
	};

	const describe = async (body: Buffer) => {
		const isStatement = body.toString('latin1', 0, 1) === 'S';
		const [name] = readCString(body, 1);
		const statement = isStatement ? state.statements.get(name) : state.portals.get(name)?.statement;
		if (isStatement) {
			await send(createMessage('t', encodeInt16(0)));
		}

		const columns = statement ? describeStatement(createExecutionContext(getOrBeginTransaction(), state.portals.get(name)?.parameters ?? []), statement) : [];
		await send(columns.length > 0 ? createRowDescription(columns) : NO_DATA);
	};

	const execute = async (body: Buffer) => {
		const [name] = readCString(body, 0);
		const portal = state.portals.get(name);
		if (!portal) {
			throw new SqlError('34000', `portal "${name}" does not exist`);
		}

		await (portal.statement ? sendResult(await runStatement(portal.statement, portal.parameters), false) : send(createMessage('I')));
	};

	const close = async (body: Buffer) => {
		const [name] = readCString(body, 1);
		if (body.toString('latin1', 0, 1) === 'S') {
			state.statements.delete(name);
		} else {
			state.portals.delete(name);
		}

		await send(createMessage('3'));
	};

	const handleExtendedMessage = async (message: Message) => {
		const body = getBody(message);
		switch (message.type) {
			case 'P': {
				parse(body);
				await send(createMessage('1'));
				break;
			}

			case 'B': {
				bind(body);
				await send(createMessage('2'));
				break;
			}

			case 'D': {
				await describe(body);
				break;
			}

			case 'E': {
				await execute(body);
				break;
			}

			case 'C': {
				await close(body);
				break;
			}

			default: {
				throw new SqlError(SQLSTATE.protocolViolation, `unexpected message ${message.type}`);
			}
		}
	};

	const handleMessage = async (message: Message) => {
		switch (message.type) {
			case 'Q': {
				await runSimpleQuery(readCString(getBody(message), 0)[0]);
				await flush();

				break;
			}

			case 'S': {
				state.isSkipping = false;
				await endImplicitTransaction();
				await send(createReadyForQuery(state.status));
				await flush();

				break;
			}

			case 'H': {
				await flush();

				break;
			}

			default: {
				if (!state.isSkipping) {
					try {
						await handleExtendedMessage(message);
					} catch (error) {
						state.isSkipping = true;
						await sendError(error);
					}
				}
			}
		}
	};

	context.onCancel(() => {
		state.cancelController.abort();
		state.cancelController = new AbortController();
	});
	try {
		while (true) {
			const messages = await wire.readMessages();
			await target.waitWhilePartitioned(context.peer);
			if (messages.err) {
				return;
			}

			for (const message of messages.val) {
				target.onBytesReceived(message.bytes);
				if (message.type === 'X') {
					return;
				}

				await handleMessage(message);
			}
		}
	} finally {
		if (state.transaction) {
			engine.rollback(state.transaction);
		}
	}
};
