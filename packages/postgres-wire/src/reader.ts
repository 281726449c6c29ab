/** Reading and writing a socket with back-pressure, one task at a time. */

import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	createGate,
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {splitMessages, type Message} from './messages.js';
import {readStartupLength, type StartupFailure} from './startup.js';

/** Failure of reading from a connection. */
export type ReadFailure = Failure<'closed' | 'messageMalformed'>;

/** A connection as a task sees it. */
export type Wire = AsyncDisposable & Readonly<{
	/** The socket below. */
	socket: Socket;
	/** Reads at least one whole message, and all that are there. */
	readMessages: () => Promise<Result<readonly Message[], ReadFailure>>;
	/** Reads the first packet, which has no type byte. */
	readStartup: () => Promise<Result<Buffer, ReadFailure | StartupFailure>>;
	/** Reads exactly one byte. */
	readByte: () => Promise<Result<number, ReadFailure>>;
	/** Writes bytes; waits while the peer reads too slowly. */
	write: (...parts: readonly Buffer[]) => Promise<void>;
	/** Takes the bytes read but not yet used. */
	takeRest: () => Buffer;
	/** Gives up the socket, to wrap it anew. */
	detach: () => Socket;
}>;

const EMPTY = Buffer.alloc(0);

const CLOSED: ReadFailure = {code: 'closed', message: 'The connection was closed'};

/** Opens a wire over a socket; the socket is paused between reads. */
export const openWire = (socket: Socket): Wire => {
	let rest: Buffer = EMPTY;
	let ended = socket.destroyed;
	const readable = createGate();
	const writable = createGate();
	const chunks: Buffer[] = [];
	const wake = () => {
		readable.open();
		writable.open();
	};

	const onData = (chunk: Buffer) => {
		chunks.push(chunk);
		socket.pause();
		readable.open();
	};

	const onEnd = () => {
		ended = true;
		wake();
	};

	const onDrain = () => {
		writable.open();
	};

	socket.on('data', onData);
	socket.on('end', onEnd);
	socket.on('close', onEnd);
	socket.on('error', onEnd);
	socket.on('drain', onDrain);
	socket.pause();

	const readMore = async (): Promise<boolean> => {
		if (chunks.length === 0 && !ended) {
			socket.resume();
			await readable.wait();
		}

		if (chunks.length === 0) {
			return false;
		}

		rest = rest.length === 0 && chunks.length === 1 ? (chunks[0] ?? EMPTY) : Buffer.concat([rest, ...chunks]);
		chunks.length = 0;
		return true;
	};

	return {
		socket,
		async readMessages() {
			while (true) {
				const split = splitMessages(rest);
				rest = split.rest;
				if (split.messages.length > 0) {
					return Ok(split.messages);
				}

				if (split.malformed) {
					return Err({code: 'messageMalformed', message: 'A message announces a length that is out of bounds'});
				}

				if (!await readMore()) {
					return Err(CLOSED);
				}
			}
		},
		async readStartup() {
			while (true) {
				const length = readStartupLength(rest);
				if (length.err) {
					return length;
				}

				if (length.val !== undefined && rest.length >= length.val) {
					const packet = rest.subarray(0, length.val);
					rest = rest.subarray(length.val);
					return Ok(packet);
				}

				if (!await readMore()) {
					return Err(CLOSED);
				}
			}
		},
		async readByte() {
			while (rest.length === 0) {
				if (!await readMore()) {
					return Err(CLOSED);
				}
			}

			const byte = rest[0] ?? 0;
			rest = rest.subarray(1);
			return Ok(byte);
		},
		async write(...parts) {
			if (ended || socket.destroyed) {
				return;
			}

			const bytes = parts.length === 1 ? (parts[0] ?? EMPTY) : Buffer.concat(parts);
			if (!socket.write(bytes)) {
				await writable.wait();
			}
		},
		takeRest() {
			const taken = Buffer.concat([rest, ...chunks]);
			rest = EMPTY;
			chunks.length = 0;
			return taken;
		},
		detach() {
			socket.off('data', onData);
			socket.off('end', onEnd);
			socket.off('close', onEnd);
			socket.off('drain', onDrain);
			return socket;
		},
		async [Symbol.asyncDispose]() {
			ended = true;
			wake();
			socket.end();
			socket.destroySoon();
		},
	};
};
