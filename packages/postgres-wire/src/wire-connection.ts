/** Reading and writing a socket with back-pressure, one task at a time. */

import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	createChunkBuffer, createConditionVariable, Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {splitMessages, type Message} from './messages.js';
import {readStartupPacketLength, type StartupFailure} from './startup-packets.js';

/** Failure of reading from a connection. */
export type ReadFailure = Failure<'closed' | 'messageMalformed'>;

/** A connection as a task sees it. */
export type WireConnection = AsyncDisposable & Readonly<{
	/** The socket below. */
	socket: Socket;
	/** Reads at least one whole message, and all that are there. */
	readMessages: () => Promise<Result<readonly Message[], ReadFailure>>;
	/** Reads the first packet, which has no type byte. */
	readStartupPacket: () => Promise<Result<Buffer, ReadFailure | StartupFailure>>;
	/** Reads exactly one byte. */
	readByte: () => Promise<Result<number, ReadFailure>>;
	/** Writes bytes; waits while the peer reads too slowly. */
	write: (...parts: readonly Buffer[]) => Promise<void>;
	/** Takes the bytes read but not yet used. */
	takeUnread: () => Buffer;
	/** Gives up the socket, to wrap it anew. */
	detach: () => Socket;
}>;

const EMPTY = Buffer.alloc(0);

const CLOSED: ReadFailure = {code: 'closed', message: 'The connection was closed'};

/** Opens a wire over a socket; the socket is paused between reads. */
export const openWireConnection = (socket: Socket): WireConnection => {
	const collected = createChunkBuffer();
	let ended = socket.destroyed;
	const readable = createConditionVariable();
	const writable = createConditionVariable();
	const wake = () => {
		readable.notifyAll();
		writable.notifyAll();
	};

	const onData = (chunk: Buffer) => {
		collected.push(chunk);
		socket.pause();
		readable.notifyAll();
	};

	const onEnd = () => {
		ended = true;
		wake();
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

	/** Takes as many bytes as are wanted, or what there is when the peer has ended. */
	const readBytes = async (): Promise<Buffer | undefined> => {
		while (true) {
			const taken = collected.take();
			if (taken ?? ended) {
				return taken;
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
					return Err(CLOSED);
				}

				const split = splitMessages(bytes);
				collected.putBack(split.rest, split.neededBytes);
				if (split.messages.length > 0) {
					return Ok(split.messages);
				}

				if (split.malformed) {
					return Err({code: 'messageMalformed', message: 'A message announces a length that is out of bounds'});
				}
			}
		},
		async readStartupPacket() {
			while (true) {
				const bytes = await readBytes();
				if (!bytes) {
					return Err(CLOSED);
				}

				const length = readStartupPacketLength(bytes);
				if (length.err) {
					return length;
				}

				if (length.val !== undefined && bytes.length >= length.val) {
					collected.putBack(bytes.subarray(length.val), 1);
					return Ok(bytes.subarray(0, length.val));
				}

				collected.putBack(bytes, length.val ?? bytes.length + 1);
			}
		},
		async readByte() {
			const bytes = await readBytes();
			if (!bytes) {
				return Err(CLOSED);
			}

			collected.putBack(bytes.subarray(1), 1);
			return Ok(bytes[0] ?? 0);
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
		takeUnread: collected.takeAll,
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
