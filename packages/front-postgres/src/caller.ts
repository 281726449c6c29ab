/** One caller: the task that serves its connection after the startup. */

import type {Buffer} from 'node:buffer';
import {
	isAbort, type Result, type Stream, type TransactionStatus,
} from '@guavapitch/core';
import {
	createErrorResponse, createMessage, createParameter, createReady, encodeInt32, SQLSTATE, type Message,
} from '@guavapitch/postgres-wire';
import {
	createPreparedNames, type Refusal, type Reply, type RequestChunk, type RequestMode, type StatementClass,
} from '@guavapitch/sessions';
import {createChunk, isChunkEnd, type CallerChunk} from './chunks.js';
import type {Caller} from './startup.js';

/** A request that a home has begun to answer. */
export type RunningRequest = AsyncDisposable & Readonly<{
	requestId: string;
	/** Mode in which the home serves it. */
	mode: RequestMode;
	/** The home's first reply. */
	first: Reply;
	stream: Stream<RequestChunk, Reply>;
}>;

/** How a request could not be served. */
export type RequestFailure = Readonly<{requestId: string; failure: Refusal | Readonly<{code: 'outcomeUnknown'; message: string}>}>;

/** How a request ended for its caller. */
export type RequestOutcome
	= | Readonly<{kind: 'done'}>
		| Readonly<{kind: 'refused' | 'unknown'; code: RequestFailure['failure']['code'] | 'rolledBack'; message: string}>;

/** What the caller's task asks of the entry. */
export type CallerContext = Readonly<{
	/** Checks the key, spends the share and routes; retries whatever has certainly not run. */
	startRequest: (caller: Caller, chunk: RequestChunk, statement: StatementClass, signal: AbortSignal) => Promise<Result<RunningRequest, RequestFailure>>;
	/** Checks the key and spends the share for a further chunk of a transaction. */
	continueRequest: (caller: Caller, signal: AbortSignal) => Promise<Result<undefined, RequestFailure>>;
	/** Cancels the statement that a home runs. */
	cancelRequest: (requestId: string) => void;
	/** Tells whether the connection must end before another request. */
	getClosing: (caller: Caller) => Refusal | undefined;
	/** Hears of outcomes. */
	onOutcome: (caller: Caller, requestId: string, outcome: RequestOutcome) => void;
}>;

/** Identity for cancel requests. */
export type CancelKey = Readonly<{processId: number; secret: number}>;

/** State of one caller that other tasks may act on. */
export type CallerControl = {
	/** Cancels the running request. */
	cancel: () => void;
	/** Whether nothing is under way, so that the connection may be closed. */
	idle: boolean;
};

const SERVER_PARAMETERS: Readonly<Record<string, string>> = {
	server_version: '15.0 (guavapitch)',
	server_encoding: 'UTF8',
	client_encoding: 'UTF8',
	DateStyle: 'ISO, MDY',
	integer_datetimes: 'on',
	standard_conforming_strings: 'on',
	TimeZone: 'UTC',
};

/** SQLSTATE of each refusal; every one says that the request was not run. */
const REFUSAL_STATES: Readonly<Partial<Record<Refusal['code'], string>>> = {
	limitExceeded: SQLSTATE.limitExceeded,
	queueFull: SQLSTATE.limitExceeded,
	keyWithdrawn: SQLSTATE.notAuthorized,
	keyUnconfirmed: SQLSTATE.notAuthorized,
	connectionsExhausted: SQLSTATE.tooManyConnections,
	draining: SQLSTATE.adminShutdown,
	canceled: SQLSTATE.queryCanceled,
	unsupported: SQLSTATE.featureNotSupported,
};

const createRefusalMessage = (requestId: string, refusal: Refusal): Message => createErrorResponse({
	severity: 'ERROR',
	code: REFUSAL_STATES[refusal.code] ?? SQLSTATE.cannotConnectNow,
	message: `not run: ${refusal.message}`,
	detail: `reason=${refusal.code} request=${requestId}${refusal.retryAfterMs === undefined ? '' : ` retry_after_ms=${Math.ceil(refusal.retryAfterMs)}`}`,
	hint: 'The request has not run and may be sent again.',
});

const createUnknownMessage = (requestId: string, message: string): Message => createErrorResponse({
	severity: 'ERROR',
	code: SQLSTATE.outcomeUnknown,
	message: `outcome unknown: ${message}`,
	detail: `request=${requestId}`,
	hint: 'The request may or may not have run; check before sending it again.',
});

/** Greets a caller that has proved its key. */
export const greetCaller = async (caller: Caller, key: CancelKey): Promise<void> => {
	const parameters = Object.entries({...SERVER_PARAMETERS, application_name: caller.applicationName})
		.map(([name, value]) => createParameter(name, value).bytes);
	const keyData = createMessage('K', encodeInt32(key.processId), encodeInt32(key.secret));
	await caller.wire.write(createMessage('R', encodeInt32(0)).bytes, ...parameters, keyData.bytes, createReady('idle').bytes);
};

/** Reads the messages of the next chunk; `undefined` when the caller has left. */
const readChunk = async (caller: Caller, pending: Message[]): Promise<readonly Message[] | undefined> => {
	while (true) {
		const end = pending.findIndex(message => isChunkEnd(message) || message.type === 'X');
		if (end !== -1) {
			const chunk = pending.splice(0, end + 1);
			return chunk.at(-1)?.type === 'X' ? undefined : chunk;
		}

		const messages = await caller.wire.readMessages();
		if (messages.err) {
			return undefined;
		}

		pending.push(...messages.val);
	}
};

/** How one chunk ended for the caller. */
type Answered = Readonly<{status: TransactionStatus; flushed: boolean; closing: boolean}>;

/** A running request, its first reply and the status before it. */
type ReplyTurn = Readonly<{request: RunningRequest; first: Reply | undefined; before: TransactionStatus}>;

/** Relays the replies of a home to the caller until the chunk is answered. */
const relayReplies = async (caller: Caller, turn: ReplyTurn, context: CallerContext): Promise<Answered> => {
	const {wire} = caller;
	const {request, before} = turn;
	let reply = turn.first;
	while (true) {
		switch (reply?.kind) {
			case 'messages': {
				await wire.write(reply.bytes as Buffer);
				break;
			}

			case 'ready': {
				await wire.write(createReady(reply.status).bytes);
				context.onOutcome(caller, request.requestId, {kind: 'done'});
				return {status: reply.status, flushed: false, closing: false};
			}

			case 'flushed': {
				return {status: before, flushed: true, closing: false};
			}

			case 'rolledBack': {
				await wire.write(createErrorResponse({
					severity: 'FATAL', code: SQLSTATE.idleInTransaction, message: reply.message, hint: 'Nothing of the transaction was kept.',
				}).bytes);
				context.onOutcome(caller, request.requestId, {kind: 'refused', code: 'rolledBack', message: reply.message});
				return {status: 'idle', flushed: false, closing: true};
			}

			default: {
				const message = reply?.kind === 'unknown' ? reply.message : 'The vm that ran the request was lost';
				const fields = {code: SQLSTATE.outcomeUnknown, message: `outcome unknown: ${message}`, detail: `request=${request.requestId}`};
				const inTransaction = before !== 'idle';
				await wire.write(createErrorResponse({...fields, severity: inTransaction ? 'FATAL' : 'ERROR'}).bytes);
				context.onOutcome(caller, request.requestId, {kind: 'unknown', code: 'outcomeUnknown', message});
				if (!inTransaction) {
					await wire.write(createReady('idle').bytes);
				}

				return {status: 'idle', flushed: false, closing: inTransaction};
			}
		}

		reply = await request.stream.receive();
	}
};

/** Reads on to the Sync that ends a failed extended request. */
const skipToSync = async (caller: Caller, pending: Message[], messages: readonly Message[]): Promise<boolean> => {
	let last = messages.at(-1)?.type;
	while (last === 'H') {
		const next = await readChunk(caller, pending);
		if (!next) {
			return false;
		}

		last = next.at(-1)?.type;
	}

	return true;
};

/** Serves a caller until it leaves, or until it must be closed between two requests. */
export const serveCaller = async (caller: Caller, context: CallerContext, control: CallerControl): Promise<void> => {
	const {wire} = caller;
	const names = createPreparedNames();
	const pending: Message[] = [];
	let running: RunningRequest | undefined;
	let status: TransactionStatus = 'idle';

	const refuse = async (messages: readonly Message[], error: Message): Promise<boolean> => {
		await wire.write(error.bytes);
		const synced = await skipToSync(caller, pending, messages);
		await wire.write(createReady(status).bytes);
		return synced;
	};

	const refuseFailure = async (messages: readonly Message[], {requestId, failure}: RequestFailure): Promise<boolean> => {
		const isUnknown = failure.code === 'outcomeUnknown';
		context.onOutcome(caller, requestId, {kind: isUnknown ? 'unknown' : 'refused', code: failure.code, message: failure.message});
		return refuse(messages, isUnknown ? createUnknownMessage(requestId, failure.message) : createRefusalMessage(requestId, failure));
	};

	const start = async ({chunk, statement}: CallerChunk, signal: AbortSignal) => {
		const started = await context.startRequest(caller, {...chunk, mayCommit: true}, statement, signal);
		return started;
	};

	const serveChunk = async (messages: readonly Message[], signal: AbortSignal): Promise<boolean> => {
		const chunk = createChunk(messages, names);
		if (chunk.err) {
			return refuse(messages, createErrorResponse({severity: 'ERROR', code: chunk.val.sqlState, message: `not run: ${chunk.val.message}`}));
		}

		let first: Reply | undefined;
		if (running) {
			const allowed = await context.continueRequest(caller, signal);
			if (allowed.err) {
				return refuseFailure(messages, allowed.val);
			}

			await running.stream.send(chunk.val.chunk);
			first = await running.stream.receive();
		} else {
			const started = await start(chunk.val, signal);
			if (started.err) {
				return refuseFailure(messages, started.val);
			}

			running = started.val;
			({first} = started.val);
		}

		const answered = await relayReplies(caller, {request: running, first, before: status}, context);
		status = answered.status;
		if (status === 'idle' && !answered.flushed) {
			await running[Symbol.asyncDispose]();
			running = undefined;
		}

		return !answered.closing;
	};

	let gone = new AbortController();
	const leave = () => {
		gone.abort();
	};

	control.cancel = () => {
		if (running) {
			context.cancelRequest(running.requestId);
		} else {
			leave();
		}
	};

	try {
		while (true) {
			control.idle = running === undefined && pending.length === 0;
			const closing = control.idle ? context.getClosing(caller) : undefined;
			if (closing) {
				await wire.write(createErrorResponse({severity: 'FATAL', code: REFUSAL_STATES[closing.code] ?? SQLSTATE.adminShutdown, message: closing.message}).bytes);
				return;
			}

			const messages = await readChunk(caller, pending);
			if (!messages) {
				return;
			}

			control.idle = false;
			gone = new AbortController();

			wire.socket.once('close', leave);
			const goesOn = await serveChunk(messages, gone.signal);
			wire.socket.off('close', leave);
			if (!goesOn) {
				return;
			}
		}
	} catch (error) {
		if (!isAbort(error)) {
			throw error;
		}
	} finally {
		await running?.[Symbol.asyncDispose]();
	}
};
