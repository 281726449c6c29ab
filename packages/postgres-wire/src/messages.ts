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

/** Size of the header of a message, in bytes: the type byte and the length field, which counts itself and the body. */
export const HEADER_BYTES = 5;

/** Default maximum of the length field of a message, in bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Creates a message from its type and the parts of its body; texts are zero-terminated. */
export const createMessage = (type: string, ...parts: ReadonlyArray<Buffer | string>): Message => {
	const bodyParts = parts.map(part => typeof part === 'string' ? Buffer.from(`${part}\u0000`) : part);
	const bodyBytes = bodyParts.reduce((sum, part) => sum + part.length, 0);
	const header = Buffer.alloc(HEADER_BYTES);
	header.write(type, 0, 'latin1');
	header.writeInt32BE(bodyBytes + 4, 1);
	return {type, bytes: Buffer.concat([header, ...bodyParts])};
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
export const readCString = (bytes: Buffer, offset: number): readonly [text: string, nextOffset: number] => {
	const end = bytes.indexOf(0, offset);
	return end === -1 ? [bytes.toString('utf8', offset), bytes.length] : [bytes.toString('utf8', offset, end), end + 1];
};

const STATUS_INDICATORS: Readonly<Record<TransactionStatus, string>> = {idle: 'I', open: 'T', failed: 'E'};

/** Creates `ReadyForQuery`. */
export const createReadyForQuery = (status: TransactionStatus): Message => createMessage('Z', Buffer.from(STATUS_INDICATORS[status], 'latin1'));

/** Reads the transaction status of a `ReadyForQuery`. */
export const readTransactionStatus = (message: Message): TransactionStatus => {
	const indicator = message.bytes.toString('latin1', HEADER_BYTES, HEADER_BYTES + 1);
	if (indicator === 'T') {
		return 'open';
	}

	return indicator === 'E' ? 'failed' : 'idle';
};

/** Creates `ParameterStatus`. */
export const createParameterStatus = (name: string, value: string): Message => createMessage('S', name, value);

/** Creates `CommandComplete`. */
export const createCommandComplete = (tag: string): Message => createMessage('C', tag);

/** Creates a simple `Query`. */
export const createQuery = (text: string): Message => createMessage('Q', text);

/** Reads the command tag of a `CommandComplete`. */
export const readCommandTag = (message: Message): string => readCString(message.bytes, HEADER_BYTES)[0];

/** Result of splitting a buffer into messages. */
export type SplitMessages = Readonly<{
	/** Complete messages at the start of the buffer. */
	messages: readonly Message[];
	/** Bytes after the last complete message. */
	remainder: Buffer;
	/** Size that the remainder must reach before it is split again: that of the next message, or of its header if that is incomplete; 0 if malformed. */
	neededBytes: number;
	/** Whether the length of the next message is out of range. */
	isMalformed: boolean;
}>;

/** Splits off the complete messages at the start of a buffer; stops at a message whose length is out of range, with `isMalformed` set. */
export const splitMessages = (bytes: Buffer, maxLengthBytes = MAX_MESSAGE_BYTES): SplitMessages => {
	const messages: Message[] = [];
	let offset = 0;
	let neededBytes = HEADER_BYTES;
	while (bytes.length - offset >= HEADER_BYTES) {
		const length = bytes.readInt32BE(offset + 1);
		if (length < 4 || length > maxLengthBytes) {
			return {
				messages, remainder: bytes.subarray(offset), neededBytes: 0, isMalformed: true,
			};
		}

		const end = offset + 1 + length;
		if (end > bytes.length) {
			neededBytes = end - offset;
			break;
		}

		messages.push({type: bytes.toString('latin1', offset, offset + 1), bytes: bytes.subarray(offset, end)});
		offset = end;
	}

	return {
		messages, remainder: bytes.subarray(offset), neededBytes, isMalformed: false,
	};
};
