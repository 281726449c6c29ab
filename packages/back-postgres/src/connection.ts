/** Connections to targets. */

import {createConnection} from 'node:net';
import type {Buffer} from 'node:buffer';
import {
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import type {PoolFailure, Poolable} from '@guavapitch/pool';
import {
	createCancelRequest, createMessage, createQuery, createStartupPacket, getBody, openWireConnection, readErrorResponse, startScramClient,
	type Message, type ReadFailure, type WireConnection,
} from '@guavapitch/postgres-wire';

/** Address, credentials and database of a target. */
export type TargetConnectionSettings = Readonly<{
	host: string;
	port: number;
	user: string;
	/** Sent as an empty text if `undefined`. */
	password: string | undefined;
	databaseName: string;
	/** Value of `application_name` in the startup packet. */
	applicationName: string;
}>;

/** An open connection to a target. */
export type TargetConnection = Poolable & Readonly<{
	/** Hashes of the statements prepared on this connection. */
	preparedHashes: Set<string>;
	/** Writes encoded messages. */
	write: (...parts: readonly Buffer[]) => Promise<void>;
	/** Waits for at least one message. */
	read: () => Promise<Result<readonly Message[], ReadFailure>>;
	/** Requests on a separate connection that the target cancel the running statement; a failure is ignored. */
	cancel: () => void;
	/** Runs a simple query; returns the rows of each of its statements as texts. */
	query: (text: string) => Promise<Result<readonly QueryRows[], QueryFailure>>;
}>;

/** Rows of one statement; `undefined` stands for NULL. */
export type QueryRows = ReadonlyArray<ReadonlyArray<string | undefined>>;

/** Failure of a query of the proxy itself. */
export type QueryFailure = Failure<'queryFailed' | 'closed' | 'messageMalformed'>;

/** Time without traffic after which connecting and authenticating is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2000;
const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEARTEXT = 3;
const AUTHENTICATION_SASL = 10;
const AUTHENTICATION_SASL_CONTINUE = 11;
const AUTHENTICATION_SASL_FINAL = 12;

const createFailure = (message: string): PoolFailure => ({code: 'targetUnreachable', message});

const parseRow = (message: Message): ReadonlyArray<string | undefined> => {
	const body = getBody(message);
	const columnCount = body.readInt16BE(0);
	const values: Array<string | undefined> = [];
	let offset = 2;
	for (let index = 0; index < columnCount; index++) {
		const length = body.readInt32BE(offset);
		offset += 4;
		values.push(length === -1 ? undefined : body.toString('utf8', offset, offset + length));
		offset += Math.max(0, length);
	}

	return values;
};

/** Answers the target's authentication requests until it is ready for queries; returns its `BackendKeyData`, if it sent any. */
const authenticate = async (wire: WireConnection, settings: TargetConnectionSettings): Promise<Result<Message | undefined, PoolFailure>> => {
	const password = settings.password ?? '';
	const scram = startScramClient(password);
	let keyData: Message | undefined;
	/** Whether the target has begun a SCRAM exchange and not yet proved that it knows the password. */
	let isProofDue = false;
	while (true) {
		const messages = await wire.readMessages();
		if (messages.err) {
			return Err(createFailure('The connection to the target failed or was closed before authentication was complete'));
		}

		for (const message of messages.val) {
			if (message.type === 'E') {
				return Err(createFailure(readErrorResponse(message).message));
			}

			if (message.type === 'K') {
				keyData = message;
			}

			if (message.type === 'Z') {
				return Ok(keyData);
			}

			if (message.type !== 'R') {
				continue;
			}

			const body = getBody(message);
			const method = body.readInt32BE(0);
			switch (method) {
				case AUTHENTICATION_CLEARTEXT: {
					await wire.write(createMessage('p', password).bytes);

					break;
				}

				case AUTHENTICATION_SASL: {
					isProofDue = true;
					await wire.write(scram.createInitialResponse().bytes);

					break;
				}

				case AUTHENTICATION_SASL_CONTINUE: {
					const finalResponse = scram.createFinalResponse(body.toString('utf8', 4));
					if (finalResponse.err) {
						return Err(createFailure(finalResponse.val.message));
					}

					await wire.write(finalResponse.val.bytes);
					break;
				}

				case AUTHENTICATION_SASL_FINAL: {
					const verified = scram.verifyServerFinal(body.toString('utf8', 4));
					if (verified.err) {
						return Err(createFailure(verified.val.message));
					}

					isProofDue = false;
					break;
				}

				case AUTHENTICATION_OK: {
					if (isProofDue) {
						return Err(createFailure('The target ended the authentication without proving that it knows the password'));
					}

					break;
				}

				default: {
					return Err(createFailure(`The target requires authentication method ${method}, which is not supported`));
				}
			}
		}
	}
};

/** Opens and authenticates a connection to a target; fails with `targetUnreachable`. */
export const openTargetConnection = async (settings: TargetConnectionSettings): Promise<Result<TargetConnection, PoolFailure>> => {
	const socket = createConnection({host: settings.host, port: settings.port, noDelay: true});
	const wire = openWireConnection(socket);
	socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
		socket.destroy();
	});
	await wire.write(createStartupPacket({user: settings.user, database: settings.databaseName, application_name: settings.applicationName}));
	const authenticated = await authenticate(wire, settings);
	if (authenticated.err) {
		await wire[Symbol.asyncDispose]();
		return authenticated;
	}

	socket.setTimeout(0);
	const backendKey = authenticated.val ? getBody(authenticated.val) : undefined;
	const preparedHashes = new Set<string>();

	const query = async (text: string): Promise<Result<readonly QueryRows[], QueryFailure>> => {
		await wire.write(createQuery(text).bytes);
		const results: QueryRows[] = [];
		let rows: Array<ReadonlyArray<string | undefined>> = [];
		let failure: QueryFailure | undefined;
		while (true) {
			const messages = await wire.readMessages();
			if (messages.err) {
				return messages;
			}

			for (const message of messages.val) {
				switch (message.type) {
					case 'D': {
						rows.push(parseRow(message));

						break;
					}

					case 'C': {
						results.push(rows);
						rows = [];

						break;
					}

					case 'E': {
						failure = {code: 'queryFailed', message: readErrorResponse(message).message};

						break;
					}

					case 'Z': {
						return failure ? Err(failure) : Ok(results);
					}
				// No default
				}
			}
		}
	};

	return Ok({
		preparedHashes,
		write: wire.write,
		read: wire.readMessages,
		query,
		isEnded: () => socket.destroyed || socket.readableEnded,
		cancel() {
			if (!backendKey) {
				return;
			}

			const cancelSocket = createConnection({host: settings.host, port: settings.port});
			cancelSocket.on('error', () => {
				cancelSocket.destroy();
			});
			cancelSocket.end(createCancelRequest(backendKey.readInt32BE(0), backendKey.readInt32BE(4)));
		},
		async reset() {
			const rollback = await query('ROLLBACK');
			const lastResult = rollback.ok ? await query('DISCARD ALL') : rollback;
			preparedHashes.clear();
			return lastResult.ok;
		},
		async [Symbol.asyncDispose]() {
			socket.destroy();
			await wire[Symbol.asyncDispose]();
		},
	});
};
