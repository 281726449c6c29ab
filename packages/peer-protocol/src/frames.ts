/** Frames of the protocol between vms: a 32-bit length, followed by one CBOR item. */

import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {
	Err, Ok, getErrorMessage, type Failure, type Result,
} from '@guavapitch/core';

/** Failure of decoding frames received from a peer. */
export type FrameFailure = Failure<'frameTooLarge' | 'frameMalformed'>;

/** Version of the protocol between vms, sent in the hello. */
export const PROTOCOL_VERSION = 3;

/** Largest frame body accepted from a peer, in bytes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const LENGTH_BYTES = 4;

/** Hybrid logical time carried by every frame: wall clock in milliseconds, then a counter. */
export type FrameTime = readonly [number, number];

/** One frame of the protocol. */
export type Frame
	= | readonly [kind: 'hello', time: FrameTime, version: number, vm: string, incarnation: string]
		| readonly [kind: 'call', time: FrameTime, id: number, method: string, body: unknown]
		| readonly [kind: 'reply', time: FrameTime, id: number, body: unknown]
		| readonly [kind: 'refuse', time: FrameTime, id: number, code: string, message: string]
		| readonly [kind: 'open', time: FrameTime, id: number, method: string, header: unknown]
		| readonly [kind: 'item', time: FrameTime, id: number, side: StreamSide, item: unknown]
		| readonly [kind: 'credit', time: FrameTime, id: number, side: StreamSide, bytes: number]
		| readonly [kind: 'finish', time: FrameTime, id: number, side: StreamSide]
		| readonly [kind: 'reset', time: FrameTime, id: number, side: StreamSide]
		| readonly [kind: 'goaway', time: FrameTime, lastAcceptedId: number];

/** Side of a stream that sent a frame: the one that opened the stream, or the one that accepted it. */
export type StreamSide = 'opener' | 'acceptor';

/** Number of array items in each kind of frame. */
const FRAME_ITEM_COUNTS: Readonly<Record<Frame[0], number>> = {
	hello: 5, call: 5, reply: 4, refuse: 5, open: 5, item: 5, credit: 5, finish: 4, reset: 4, goaway: 3,
};

/**
 * Field names that are encoded as numbers, because the names took over a third of most frames. A number is never reassigned to another
 * field, and a change of the table requires a new version of the protocol. Other fields are encoded by name.
 */
const NUMBERED_FIELDS: readonly string[] = [
	'id',
	'database',
	'customer',
	'statement',
	'kind',
	'access',
	'text',
	'consistency',
	'maxStalenessMs',
	'floor',
	'term',
	'number',
	'values',
	'transaction',
	'readOnly',
	'isFirst',
	'remainingMs',
	'promptMs',
	'priority',
	'outcome',
	'rows',
	'signature',
	'status',
	'position',
	'target',
	'waitedMs',
	'code',
	'reason',
	'retryAfterMs',
	'prepared',
	'shape',
	'rest',
	'key',
	'revision',
	'entry',
	'value',
	'createdRevision',
	'changes',
];

const encoder = new Encoder({
	useRecords: false, tagUint8Array: false, keyMap: Object.fromEntries(NUMBERED_FIELDS.map((name, index) => [name, index + 1])),
});

/** Encodes a frame, including its length. */
export const encodeFrame = (frame: Frame): Buffer => {
	const body = encoder.encode(frame);
	const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
	bytes.writeUInt32BE(body.length, 0);
	body.copy(bytes, LENGTH_BYTES);
	return bytes;
};

/** Tells whether an encoded frame is larger than a peer accepts. */
export const isFrameTooLarge = (bytes: Buffer): boolean => bytes.length - LENGTH_BYTES > MAX_FRAME_BYTES;

const isFrameTime = (value: unknown): boolean => Array.isArray(value) && value.length === 2 && value.every(part => typeof part === 'number');

const isFrame = (value: unknown): value is Frame => {
	if (!Array.isArray(value)) {
		return false;
	}

	const [kind, time, id] = value as readonly unknown[];
	return typeof kind === 'string'
		&& Object.hasOwn(FRAME_ITEM_COUNTS, kind)
		&& FRAME_ITEM_COUNTS[kind as Frame[0]] === value.length
		&& isFrameTime(time)
		&& typeof id === 'number';
};

/** Decodes the body of a frame, without its length; fails with `frameMalformed`. */
export const decodeFrame = (body: Buffer): Result<Frame, FrameFailure> => {
	try {
		const value: unknown = encoder.decode(body);
		return isFrame(value) ? Ok(value) : Err({code: 'frameMalformed', message: 'Malformed frame: unknown kind, or items of the wrong number or type'});
	} catch (error) {
		return Err({code: 'frameMalformed', message: `Malformed frame: the body is not valid CBOR: ${getErrorMessage(error)}`});
	}
};

/** Complete frames at the start of a buffer with their sizes in bytes, the remaining bytes, and the number of bytes needed for the next frame. */
export type SplitFrames = Readonly<{frames: readonly Frame[]; sizes: readonly number[]; remainder: Buffer; neededBytes: number}>;

/** Decodes the complete frames at the start of a buffer; fails on the first frame that is too large or malformed. */
export const splitFrames = (bytes: Buffer): Result<SplitFrames, FrameFailure> => {
	const frames: Frame[] = [];
	const sizes: number[] = [];
	let offset = 0;
	let neededBytes = LENGTH_BYTES;
	while (bytes.length - offset >= LENGTH_BYTES) {
		const length = bytes.readUInt32BE(offset);
		if (length > MAX_FRAME_BYTES) {
			return Err({code: 'frameTooLarge', message: `A frame of ${length} bytes exceeds the limit of ${MAX_FRAME_BYTES} bytes`});
		}

		const start = offset + LENGTH_BYTES;
		if (start + length > bytes.length) {
			neededBytes = LENGTH_BYTES + length;
			break;
		}

		const frame = decodeFrame(bytes.subarray(start, start + length));
		if (frame.err) {
			return frame;
		}

		frames.push(frame.val);
		sizes.push(LENGTH_BYTES + length);
		offset = start + length;
	}

	return Ok({
		frames, sizes, remainder: bytes.subarray(offset), neededBytes,
	});
};
