/** First packets of a connection, which have no type byte: startup packet, TLS request and cancel request. */

import {Buffer} from 'node:buffer';
import {
	Err, Ok, type Failure, type Result,
} from '@guavapitch/core';
import {readCString} from './messages.js';

/** First packet of a connection. */
export type StartupPacket
	= | Readonly<{kind: 'tlsRequest'}>
		| Readonly<{kind: 'gssRequest'}>
		| Readonly<{kind: 'cancel'; processId: number; secret: number}>
		| Readonly<{kind: 'startup'; minorVersion: number; parameters: ReadonlyMap<string, string>}>;

/** Failure of reading or parsing the first packet. */
export type StartupFailure = Failure<'packetTooLarge' | 'packetMalformed' | 'versionUnsupported'>;

/** Largest first packet accepted, in bytes. */
export const MAX_STARTUP_PACKET_BYTES = 10_000;

/** Request codes, sent in the field that otherwise holds the protocol version. */
const TLS_REQUEST_CODE = 80_877_103;
const GSS_REQUEST_CODE = 80_877_104;
const CANCEL_REQUEST_CODE = 80_877_102;
const MAJOR_VERSION = 3;
const MIN_PACKET_BYTES = 8;
const CANCEL_REQUEST_BYTES = 16;

/** Reads the length of a first packet; returns `undefined` until four bytes have been received, and fails if the length is out of range. */
export const readStartupPacketLength = (bytes: Buffer): Result<number | undefined, StartupFailure> => {
	if (bytes.length < 4) {
		return Ok(undefined);
	}

	const length = bytes.readInt32BE(0);
	if (length > MAX_STARTUP_PACKET_BYTES) {
		return Err({code: 'packetTooLarge', message: `A startup packet of ${length} bytes exceeds the limit of ${MAX_STARTUP_PACKET_BYTES} bytes`});
	}

	if (length < MIN_PACKET_BYTES) {
		return Err({code: 'packetMalformed', message: `A startup packet of ${length} bytes is shorter than the minimum of ${MIN_PACKET_BYTES} bytes`});
	}

	return Ok(length);
};

const parseParameters = (packet: Buffer): ReadonlyMap<string, string> => {
	const parameters = new Map<string, string>();
	let offset = MIN_PACKET_BYTES;
	while (offset < packet.length && packet[offset] !== 0) {
		const [name, afterName] = readCString(packet, offset);
		const [value, afterValue] = readCString(packet, afterName);
		parameters.set(name, value);
		offset = afterValue;
	}

	return parameters;
};

/** Parses a complete first packet; fails with `packetMalformed` or `versionUnsupported`. */
export const parseStartupPacket = (packet: Buffer): Result<StartupPacket, StartupFailure> => {
	const code = packet.readInt32BE(4);
	if (code === TLS_REQUEST_CODE) {
		return Ok({kind: 'tlsRequest'});
	}

	if (code === GSS_REQUEST_CODE) {
		return Ok({kind: 'gssRequest'});
	}

	if (code === CANCEL_REQUEST_CODE) {
		return packet.length === CANCEL_REQUEST_BYTES
			? Ok({kind: 'cancel', processId: packet.readInt32BE(8), secret: packet.readInt32BE(12)})
			: Err({code: 'packetMalformed', message: 'The length of the cancel request is invalid'});
	}

	if (code >>> 16 !== MAJOR_VERSION) {
		return Err({code: 'versionUnsupported', message: `Protocol version ${code >>> 16}.${code & 0xFF_FF} is not supported; use version 3`});
	}

	return Ok({kind: 'startup', minorVersion: code & 0xFF_FF, parameters: parseParameters(packet)});
};

/** Creates a startup packet of protocol version 3.0. */
export const createStartupPacket = (parameters: Readonly<Record<string, string>>): Buffer => {
	const body = Buffer.concat([
		...Object.entries(parameters).map(([name, value]) => Buffer.from(`${name}\u0000${value}\u0000`)),
		Buffer.from([0]),
	]);
	const header = Buffer.alloc(MIN_PACKET_BYTES);
	header.writeInt32BE(body.length + MIN_PACKET_BYTES, 0);
	header.writeInt32BE(MAJOR_VERSION << 16, 4);
	return Buffer.concat([header, body]);
};

/** Creates a cancel request with the identity that the server sent in `BackendKeyData`. */
export const createCancelRequest = (processId: number, secret: number): Buffer => {
	const packet = Buffer.alloc(CANCEL_REQUEST_BYTES);
	packet.writeInt32BE(CANCEL_REQUEST_BYTES, 0);
	packet.writeInt32BE(CANCEL_REQUEST_CODE, 4);
	packet.writeInt32BE(processId, 8);
	packet.writeInt32BE(secret, 12);
	return packet;
};
