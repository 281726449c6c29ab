/** Messages of the PostgreSQL protocol version 3, stored in their encoded form. */

import {Buffer} from 'node:buffer';
import type {TransactionStatus} from '@guavapitch/core';

/** One message with its type and its encoded form. */
export type Message = Readonly<{
	/** Type byte, as a character. */
	type: string;
	/** The encoded message, including its header. */
	bytes: Buffer;
}>;

/** Size of a message's header, the type byte and the length field, in bytes. */
export const HEADER_BYTES = 5;

/** Default limit of the length field of a message, in bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Creates a message from its type and the parts of its body; texts are zero-terminated. */
export const createMessage = (type: string, ...parts: ReadonlyArray<Buffer | string>): Message => {
	const body = parts.map(part => typeof part === 'string' ? Buffer.from(`${part}\u0000`) : part);
	const lengthBytes = body.reduce((sum, part) => sum + part.length, 0);
	const header = Buffer.alloc(HEADER_BYTES);
	header.write(type, 0, 'latin1');
	header.writeInt32BE(lengthBytes + 4, 1);
	return {type, bytes: Buffer.concat([header, ...body])};
};

/** Encodes a signed 16-bit integer in network byte order. */
export const encodeInt16 = (value: number): Buffer => {
	const bytes = Buffer.alloc(2);
	bytes.writeInt16BE(value);
	return bytes;
};

/** Encodes a signed 32-bit integer in network byte order. */
export const encodeInt32 = (value: number): Buffer => {
	const bytes = Buffer.alloc(4);
	bytes.writeInt32BE(value);
	return bytes;
};

/** Returns the body of a message, without its header. */
export const getBody = (message: Message): Buffer => message.bytes.subarray(HEADER_BYTES);

/** Reads a zero-terminated text at an offset; returns the text and the offset after its terminator. */
export const readCString = (bytes: Buffer, offset: number): readonly [text: string, next: number] => {
	const end = bytes.indexOf(0, offset);
	return end === -1 ? [bytes.toString('utf8', offset), bytes.length] : [bytes.toString('utf8', offset, end), end + 1];
};

const STATUS_INDICATORS: Readonly<Record<TransactionStatus, string>> = {idle: 'I', open: 'T', failed: 'E'};

/** Creates `ReadyForQuery`. */
export const createReadyForQuery = (status: TransactionStatus): Message => createMessage('Z', Buffer.from(STATUS_INDICATORS[status], 'latin1'));

/** Reads the transaction status of a `ReadyForQuery`. */
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

/** Complete messages at the start of a buffer, the remaining bytes, the number of bytes needed for the next message, and whether its length is invalid. */
export type SplitMessages = Readonly<{messages: readonly Message[]; rest: Buffer; neededBytes: number; malformed: boolean}>;

/** Splits off the complete messages at the start of a buffer; stops at a message whose length is out of range, with `malformed` set. */
export const splitMessages = (bytes: Buffer, maxBytes = MAX_MESSAGE_BYTES): SplitMessages => {
	const messages: Message[] = [];
	let offset = 0;
	let wantedBytes = HEADER_BYTES;
	while (bytes.length - offset >= HEADER_BYTES) {
		const length = bytes.readInt32BE(offset + 1);
		if (length < 4 || length > maxBytes) {
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
