/** The caller's side of the PostgreSQL protocol after the startup: chunks in, answers out. */

import type {Buffer} from 'node:buffer';
import {
	createErrorResponse, createMessage, createParameterStatus, createReadyForQuery, encodeInt32, SQLSTATE, type Message,
} from '@guavapitch/postgres-wire';
import type {CallerPort, RequestFailure} from '@guavapitch/requests';
import {createPreparedStatementMap, type Refusal} from '@guavapitch/sessions';
import {createChunk, isChunkEnd} from './chunks.js';
import type {Caller} from './startup.js';

/** Identity for cancel requests. */
export type CancelKey = Readonly<{processId: number; secret: number}>;

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
export const sendStartupResponse = async (caller: Caller, key: CancelKey): Promise<void> => {
	const parameters = Object.entries({...SERVER_PARAMETERS, application_name: caller.applicationName})
		.map(([name, value]) => createParameterStatus(name, value).bytes);
	const keyData = createMessage('K', encodeInt32(key.processId), encodeInt32(key.secret));
	await caller.wire.write(createMessage('R', encodeInt32(0)).bytes, ...parameters, keyData.bytes, createReadyForQuery('idle').bytes);
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

/** Creates what the caller's task sends and receives with. */
export const createCallerPort = (caller: Caller): CallerPort => {
	const {wire} = caller;
	const names = createPreparedStatementMap();
	const pending: Message[] = [];

	const createFailureMessage = ({requestId, failure}: RequestFailure): Message => failure.code === 'outcomeUnknown'
		? createUnknownMessage(requestId, failure.message)
		: createRefusalMessage(requestId, failure);

	return {
		async receive() {
			const messages = await readChunk(caller, pending);
			if (!messages) {
				return undefined;
			}

			const skipRest = async () => skipToSync(caller, pending, messages);
			const chunk = createChunk(messages, names);
			return chunk.ok
				? {kind: 'chunk', ...chunk.val, skipRest}
				: {
					kind: 'invalid',
					skipRest,
					reject: async () => wire.write(createErrorResponse({severity: 'ERROR', code: chunk.val.sqlState, message: `not run: ${chunk.val.message}`}).bytes),
				};
		},
		hasPending: () => pending.length > 0,
		sendMessages: async bytes => wire.write(bytes as Buffer),
		sendReady: async status => wire.write(createReadyForQuery(status).bytes),
		sendFailure: async failure => wire.write(createFailureMessage(failure).bytes),
		sendRolledBack: async message => wire.write(createErrorResponse({
			severity: 'FATAL', code: SQLSTATE.idleInTransaction, message, hint: 'Nothing of the transaction was kept.',
		}).bytes),
		sendLost: async (requestId, message, endsConnection) => wire.write(createErrorResponse({
			severity: endsConnection ? 'FATAL' : 'ERROR', code: SQLSTATE.outcomeUnknown, message: `outcome unknown: ${message}`, detail: `request=${requestId}`,
		}).bytes),
		sendCloseReason: async refusal => wire.write(createErrorResponse({
			severity: 'FATAL', code: REFUSAL_STATES[refusal.code] ?? SQLSTATE.adminShutdown, message: refusal.message,
		}).bytes),
		onClose(leave) {
			wire.socket.once('close', leave);
			return {
				[Symbol.dispose]() {
					wire.socket.off('close', leave);
				},
			};
		},
	};
};
