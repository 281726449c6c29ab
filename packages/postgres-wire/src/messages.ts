/** Messages of the PostgreSQL protocol version 3, kept as bytes. */

import {Buffer} from 'node:buffer';
import type {TransactionStatus} from '@guavapitch/core';

/** One message: its type and all its bytes, header included. */
export type Message = Readonly<{
	/** Type byte as a character. */
	type: string;
	/** The message as it stands on the wire. */
	bytes: Buffer;
}>;

/** Length of a message's type byte and length field. */
export const HEADER_BYTES = 5;

/** Largest message accepted from a caller. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Creates a message from its type and body parts. */
export const createMessage = (type: string, ...parts: ReadonlyArray<Buffer | string>): Message => {
	const body = parts.map(part => typeof part === 'string' ? Buffer.from(`${part}\u0000`) : part);
	const length = body.reduce((sum, part) => sum + part.length, 0);
	const header = Buffer.alloc(HEADER_BYTES);
	header.write(type, 0, 'latin1');
	header.writeInt32BE(length + 4, 1);
	return {type, bytes: Buffer.concat([header, ...body])};
};

/** Encodes a 16-bit integer. */
export const encodeInt16 = (value: number): Buffer => {
	const bytes = Buffer.alloc(2);
	bytes.writeInt16BE(value);
	return bytes;
};

/** Encodes a 32-bit integer. */
export const encodeInt32 = (value: number): Buffer => {
	const bytes = Buffer.alloc(4);
	bytes.writeInt32BE(value);
	return bytes;
};

/** Gets the body of a message. */
export const getBody = (message: Message): Buffer => message.bytes.subarray(HEADER_BYTES);

/** Reads a zero-terminated text at an offset; gives the text and the offset behind it. */
export const readCString = (bytes: Buffer, offset: number): readonly [text: string, next: number] => {
	const end = bytes.indexOf(0, offset);
	return end === -1 ? [bytes.toString('utf8', offset), bytes.length] : [bytes.toString('utf8', offset, end), end + 1];
};

const STATUS_BYTES: Readonly<Record<TransactionStatus, string>> = {idle: 'I', open: 'T', failed: 'E'};

/** Creates `ReadyForQuery`. */
export const createReadyForQuery = (status: TransactionStatus): Message => createMessage('Z', Buffer.from(STATUS_BYTES[status], 'latin1'));

/** Reads the status of a `ReadyForQuery`. */
export const readTransactionStatus = (ready: Message): TransactionStatus => {
	const byte = ready.bytes.toString('latin1', HEADER_BYTES, HEADER_BYTES + 1);
	if (byte === 'T') {
		return 'open';
	}

	return byte === 'E' ? 'failed' : 'idle';
};

/** Creates `ParameterStatus`. */
export const createParameterStatus = (name: string, value: string): Message => createMessage('S', name, value);

/** Creates `CommandComplete`. */
export const createCommandComplete = (tag: string): Message => createMessage('C', tag);

/** Creates a simple `Query`. */
export const createQuery = (text: string): Message => createMessage('Q', text);

/** Reads the command tag of a `CommandComplete`. */
export const readCommandTag = (complete: Message): string => readCString(complete.bytes, HEADER_BYTES)[0];

/** Messages at the start of some bytes, what is left, and how many bytes the next message takes. */
export type SplitMessages = Readonly<{messages: readonly Message[]; rest: Buffer; neededBytes: number; malformed: boolean}>;

/** Splits off the complete messages at the start of some bytes; fails on a length out of bounds. */
export const splitMessages = (bytes: Buffer, limit = MAX_MESSAGE_BYTES): SplitMessages => {
	const messages: Message[] = [];
	let offset = 0;
	let wantedBytes = HEADER_BYTES;
	while (bytes.length - offset >= HEADER_BYTES) {
		const length = bytes.readInt32BE(offset + 1);
		if (length < 4 || length > limit) {
			return {
				messages, rest: bytes.subarray(offset), neededBytes: 0, malformed: true,
			};
		}

		const end = offset + 1 + length;
		if (end > bytes.length) {
			wantedBytes = end - offset;
			break;
		}

		messages.push({type: bytes.toString('latin1', offset, offset + 1), bytes: bytes.subarray(offset, end)});
		offset = end;
	}

	return {
		messages, rest: bytes.subarray(offset), neededBytes: wantedBytes, malformed: false,
	};
};
