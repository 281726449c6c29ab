/** Reads and writes protocol messages on a socket with back-pressure; used by one task at a time. */

import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	createChunkBuffer, createConditionVariable, Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {splitMessages, type Message} from './messages.js';
import {readStartupPacketLength, type StartupFailure} from './startup-packets.js';

/** Failure of reading from a connection. */
export type ReadFailure = Failure<'closed' | 'messageMalformed'>;

/** A connection from which messages are read and to which bytes are written. */
export type WireConnection = AsyncDisposable & Readonly<{
	/** The underlying socket. */
	socket: Socket;
	/** Waits for at least one complete message; returns all complete messages received so far. */
	readMessages: () => Promise<Result<readonly Message[], ReadFailure>>;
	/** Waits for the first packet of the connection, which has no type byte. */
	readStartupPacket: () => Promise<Result<Buffer, ReadFailure | StartupFailure>>;
	/** Waits for one byte. */
	readByte: () => Promise<Result<number, ReadFailure>>;
	/** Writes bytes; waits while the socket's write buffer is full. Does nothing after the connection has ended. */
	write: (...parts: readonly Buffer[]) => Promise<void>;
	/** Takes the bytes received but not yet read. */
	takeUnread: () => Buffer;
	/** Detaches the connection from its socket and returns the socket, so that it can be wrapped in TLS. */
	detach: () => Socket;
}>;

const EMPTY_BUFFER = Buffer.alloc(0);

const CONNECTION_CLOSED: ReadFailure = {code: 'closed', message: 'The connection was closed'};

/** Opens a connection on a socket; the socket is paused between reads. */
export const openWireConnection = (socket: Socket): WireConnection => {
	const received = createChunkBuffer();
	let hasEnded = socket.destroyed;
	const readable = createConditionVariable();
	const writable = createConditionVariable();
	const wakeAll = () => {
		readable.notifyAll();
		writable.notifyAll();
	};

	const onData = (chunk: Buffer) => {
		received.push(chunk);
		socket.pause();
		readable.notifyAll();
	};

	const onEnd = () => {
		hasEnded = true;
		wakeAll();
	};

	const onDrain = () => {
		writable.notifyAll();
	};

	socket.on('data', onData);
	socket.on('end', onEnd);
	socket.on('close', onEnd);
	socket.on('error', onEnd);
	socket.on('drain', onDrain);
	socket.pause();

	/** Waits until as many bytes have been received as the last `putBack` asked for, and takes all of them; returns `undefined` if the connection ends before. */
	const readBytes = async (): Promise<Buffer | undefined> => {
		while (true) {
			const bytes = received.take();
			if (bytes ?? hasEnded) {
				return bytes;
			}

			socket.resume();
			await readable.wait();
		}
	};

	return {
		socket,
		async readMessages() {
			while (true) {
				const bytes = await readBytes();
				if (!bytes) {
					return Err(CONNECTION_CLOSED);
				}

				const split = splitMessages(bytes);
				received.putBack(split.remainder, split.neededBytes);
				if (split.messages.length > 0) {
					return Ok(split.messages);
				}

				if (split.isMalformed) {
					return Err({code: 'messageMalformed', message: 'The length of a message is out of range'});
				}
			}
		},
		async readStartupPacket() {
			while (true) {
				const bytes = await readBytes();
				if (!bytes) {
					return Err(CONNECTION_CLOSED);
				}

				const length = readStartupPacketLength(bytes);
				if (length.err) {
					return length;
				}

				if (length.val !== undefined && bytes.length >= length.val) {
					received.putBack(bytes.subarray(length.val), 1);
					return Ok(bytes.subarray(0, length.val));
				}

				received.putBack(bytes, length.val ?? bytes.length + 1);
			}
		},
		async readByte() {
			const bytes = await readBytes();
			if (!bytes) {
				return Err(CONNECTION_CLOSED);
			}

			received.putBack(bytes.subarray(1), 1);
			return Ok(bytes[0] ?? 0);
		},
		async write(...parts) {
			if (hasEnded || socket.destroyed) {
				return;
			}

			const bytes = parts.length === 1 ? (parts[0] ?? EMPTY_BUFFER) : Buffer.concat(parts);
			if (!socket.write(bytes)) {
				await writable.wait();
			}
		},
		takeUnread: received.takeAll,
		detach() {
			socket.off('data', onData);
			socket.off('end', onEnd);
			socket.off('close', onEnd);
			socket.off('drain', onDrain);
			return socket;
		},
		async [Symbol.asyncDispose]() {
			hasEnded = true;
			wakeAll();
			socket.end();
			socket.destroySoon();
		},
	};
};
