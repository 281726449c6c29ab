/** Frames of the inner protocol: a 32-bit length, then one CBOR item. */

import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {
	Err, Ok, getMessage, type Failure, type Result,
} from '@guavapitch/core';

/** Failure of reading frames. */
export type FrameFailure = Failure<'frameTooLarge' | 'frameMalformed'>;

/** Version of the inner protocol, sent in the hello. */
export const PROTOCOL_VERSION = 3;

/** Largest frame accepted from a peer. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const LENGTH_BYTES = 4;

/** Causal time as it travels in a frame. */
export type FrameTime = readonly [number, number];

/** One frame. */
export type Frame
	= | readonly [kind: 'hello', time: FrameTime, version: number, vm: string, incarnation: string]
		| readonly [kind: 'call', time: FrameTime, id: number, method: string, body: unknown]
		| readonly [kind: 'reply', time: FrameTime, id: number, body: unknown]
		| readonly [kind: 'refuse', time: FrameTime, id: number, code: string, message: string]
		| readonly [kind: 'open', time: FrameTime, id: number, method: string, header: unknown]
		| readonly [kind: 'item', time: FrameTime, id: number, side: StreamSide, item: unknown]
		| readonly [kind: 'credit', time: FrameTime, id: number, side: StreamSide, items: number]
		| readonly [kind: 'finish', time: FrameTime, id: number, side: StreamSide]
		| readonly [kind: 'reset', time: FrameTime, id: number, side: StreamSide]
		| readonly [kind: 'goaway', time: FrameTime, lastId: number];

/** Which end of a stream sent a frame. */
export type StreamSide = 'opener' | 'acceptor';

/** Number of items of each kind of frame. */
const FRAME_SIZES: Readonly<Record<Frame[0], number>> = {
	hello: 5, call: 5, reply: 4, refuse: 5, open: 5, item: 5, credit: 5, finish: 4, reset: 4, goaway: 3,
};

/**
 * Fields that travel by number, as their names took over a third of most frames. A number is never given to another
 * field, and a changed table needs another version of the protocol. Other fields travel by name.
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

/** Encodes a frame. */
export const encodeFrame = (frame: Frame): Buffer => {
	const body = encoder.encode(frame);
	const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
	bytes.writeUInt32BE(body.length, 0);
	body.copy(bytes, LENGTH_BYTES);
	return bytes;
};

const isTime = (value: unknown): boolean => Array.isArray(value) && value.length === 2 && value.every(part => typeof part === 'number');

const isFrame = (value: unknown): value is Frame => {
	if (!Array.isArray(value)) {
		return false;
	}

	const [kind, time, id] = value as readonly unknown[];
	return typeof kind === 'string'
		&& Object.hasOwn(FRAME_SIZES, kind)
		&& FRAME_SIZES[kind as Frame[0]] === value.length
		&& isTime(time)
		&& typeof id === 'number';
};

/** Decodes the body of a frame. */
export const decodeFrame = (body: Buffer): Result<Frame, FrameFailure> => {
	try {
		const value: unknown = encoder.decode(body);
		return isFrame(value) ? Ok(value) : Err({code: 'frameMalformed', message: 'A frame has the wrong shape'});
	} catch (error) {
		return Err({code: 'frameMalformed', message: `A frame is not CBOR: ${getMessage(error)}`});
	}
};

/** Frames at the start of some bytes with their sizes in bytes, what is left, and how many bytes the next frame takes. */
export type SplitFrames = Readonly<{frames: readonly Frame[]; sizes: readonly number[]; rest: Buffer; neededBytes: number}>;

/** Splits off and decodes the whole frames at the start of some bytes. */
export const splitFrames = (bytes: Buffer): Result<SplitFrames, FrameFailure> => {
	const frames: Frame[] = [];
	const sizes: number[] = [];
	let offset = 0;
	let neededBytes = LENGTH_BYTES;
	while (bytes.length - offset >= LENGTH_BYTES) {
		const length = bytes.readUInt32BE(offset);
		if (length > MAX_FRAME_BYTES) {
			return Err({code: 'frameTooLarge', message: `A frame announces ${length} bytes; at most ${MAX_FRAME_BYTES} are accepted`});
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
		frames, sizes, rest: bytes.subarray(offset), neededBytes: neededBytes,
	});
};
