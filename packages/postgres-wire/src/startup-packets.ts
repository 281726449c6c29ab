/** First packets of a connection: startup, TLS request and cancel request. */

import {Buffer} from 'node:buffer';
import {
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {readCString} from './messages.js';

/** What a caller may send first. */
export type StartupPacket
	= | Readonly<{kind: 'tlsRequest'}>
		| Readonly<{kind: 'gssRequest'}>
		| Readonly<{kind: 'cancel'; processId: number; secret: number}>
		| Readonly<{kind: 'startup'; minorVersion: number; parameters: ReadonlyMap<string, string>}>;

/** Failure of reading the first packet. */
export type StartupFailure = Failure<'packetTooLarge' | 'packetMalformed' | 'versionUnsupported'>;

/** Largest first packet accepted. */
export const MAX_STARTUP_PACKET_BYTES = 10_000;

const TLS_REQUEST_CODE = 80_877_103;
const GSS_REQUEST_CODE = 80_877_104;
const CANCEL_CODE = 80_877_102;
const MAJOR_VERSION = 3;
const SMALLEST_BYTES = 8;
const CANCEL_BYTES = 16;

/** Reads the length that a first packet announces; `undefined` until four bytes are there. */
export const readStartupPacketLength = (bytes: Buffer): Result<number | undefined, StartupFailure> => {
	if (bytes.length < 4) {
		return Ok(undefined);
	}

	const length = bytes.readInt32BE(0);
	if (length > MAX_STARTUP_PACKET_BYTES) {
		return Err({code: 'packetTooLarge', message: `The startup packet announces ${length} bytes; at most ${MAX_STARTUP_PACKET_BYTES} are accepted`});
	}

	if (length < SMALLEST_BYTES) {
		return Err({code: 'packetMalformed', message: `The startup packet announces ${length} bytes; at least ${SMALLEST_BYTES} are needed`});
	}

	return Ok(length);
};

const parseParameters = (packet: Buffer): ReadonlyMap<string, string> => {
	const parameters = new Map<string, string>();
	let offset = SMALLEST_BYTES;
	while (offset < packet.length && packet[offset] !== 0) {
		const [name, afterName] = readCString(packet, offset);
		const [value, afterValue] = readCString(packet, afterName);
		parameters.set(name, value);
		offset = afterValue;
	}

	return parameters;
};

/** Parses a whole first packet. */
export const parseStartupPacket = (packet: Buffer): Result<StartupPacket, StartupFailure> => {
	const code = packet.readInt32BE(4);
	if (code === TLS_REQUEST_CODE) {
		return Ok({kind: 'tlsRequest'});
	}

	if (code === GSS_REQUEST_CODE) {
		return Ok({kind: 'gssRequest'});
	}

	if (code === CANCEL_CODE) {
		return packet.length === CANCEL_BYTES
			? Ok({kind: 'cancel', processId: packet.readInt32BE(8), secret: packet.readInt32BE(12)})
			: Err({code: 'packetMalformed', message: 'The cancel request has the wrong length'});
	}

	if (code >>> 16 !== MAJOR_VERSION) {
		return Err({code: 'versionUnsupported', message: `Protocol version ${code >>> 16}.${code & 0xFF_FF} is not supported; use version 3`});
	}

	return Ok({kind: 'startup', minorVersion: code & 0xFF_FF, parameters: parseParameters(packet)});
};

/** Creates a startup packet. */
export const createStartupPacket = (parameters: Readonly<Record<string, string>>): Buffer => {
	const body = Buffer.concat([
		...Object.entries(parameters).map(([name, value]) => Buffer.from(`${name}\u0000${value}\u0000`)),
		Buffer.from([0]),
	]);
	const header = Buffer.alloc(SMALLEST_BYTES);
	header.writeInt32BE(body.length + SMALLEST_BYTES, 0);
	header.writeInt32BE(MAJOR_VERSION << 16, 4);
	return Buffer.concat([header, body]);
};

/** Creates a cancel request. */
export const createCancelRequest = (processId: number, secret: number): Buffer => {
	const packet = Buffer.alloc(CANCEL_BYTES);
	packet.writeInt32BE(CANCEL_BYTES, 0);
	packet.writeInt32BE(CANCEL_CODE, 4);
	packet.writeInt32BE(processId, 8);
	packet.writeInt32BE(secret, 12);
	return packet;
};
