/** Parsing of messages and startup packets, and SCRAM exchanges, also with arbitrary and malformed input. */

import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createMessage, createQuery, getBody, readCString, splitMessages,
} from '../messages.js';
import {createErrorResponse, readErrorResponse} from '../error-response.js';
import {
	checkPassword, createVerifier, formatVerifier, parseVerifier, startScramClient, startScramServer,
} from '../scram.js';
import {
	createStartupPacket, parseStartupPacket, readStartupPacketLength, MAX_STARTUP_PACKET_BYTES,
} from '../startup-packets.js';

const createClientFirst = (key: string) => {
	const client = startScramClient(key);
	const body = getBody(client.createInitialResponse());
	const [, offset] = readCString(body, 0);
	return {client, clientFirst: body.toString('utf8', offset + 4)};
};

describe('wire', () => {
	describe('messages', () => {
		it('splits a sequence of messages that arrives in two parts, divided at any byte', () => {
			fc.assert(fc.property(fc.array(fc.string(), {maxLength: 8}), fc.nat(), (texts, splitSeed) => {
				const bytes = Buffer.concat(texts.map(text => createQuery(text).bytes));
				const splitAt = bytes.length === 0 ? 0 : splitSeed % (bytes.length + 1);
				const firstSplit = splitMessages(bytes.subarray(0, splitAt));
				const secondSplit = splitMessages(Buffer.concat([firstSplit.remainder, bytes.subarray(splitAt)]));
				assert.equal(firstSplit.messages.length + secondSplit.messages.length, texts.length);
			}), {seed: 21, numRuns: 300});
		});

		it('distinguishes a length out of range from an incomplete message', () => {
			assert.ok(splitMessages(Buffer.from([81, 0, 0, 0, 1])).isMalformed);
			assert.ok(splitMessages(Buffer.from([81, 127, 255, 255, 255])).isMalformed);
			assert.ok(!splitMessages(Buffer.from([81, 0, 0, 0, 9])).isMalformed);
		});

		it('decodes an encoded error response', () => {
			const fields = {
				severity: 'ERROR', code: '08007', message: 'm', detail: 'd', hint: 'h',
			} as const;
			assert.deepEqual(readErrorResponse(createErrorResponse(fields)), fields);
		});
	});

	describe('startup', () => {
		it('does not throw on arbitrary bytes', () => {
			fc.assert(fc.property(fc.uint8Array({minLength: 8, maxLength: 300}), garbage => {
				const packet = Buffer.from(garbage);
				const parsed = parseStartupPacket(packet);
				assert.ok(parsed.ok || parsed.val.code.length > 0);
				const length = readStartupPacketLength(packet);
				assert.ok(length.ok || length.val.message.length > 0);
			}), {seed: 22, numRuns: 2000});
		});

		it('refuses a packet over the size limit', () => {
			const header = Buffer.alloc(8);
			header.writeInt32BE(MAX_STARTUP_PACKET_BYTES + 1);
			const length = readStartupPacketLength(header);
			assert.ok(length.err && length.val.code === 'packetTooLarge');
		});

		it('parses the startup parameters', () => {
			const startup = parseStartupPacket(createStartupPacket({user: 'u', database: 'd'})).unwrap();
			assert.ok(startup.kind === 'startup');
			assert.deepEqual([...startup.parameters], [['user', 'u'], ['database', 'd']]);
		});
	});

	describe('SCRAM', () => {
		it('accepts only the key that the verifier was created from', () => {
			const verifier = parseVerifier(formatVerifier(createVerifier('secret'))).unwrap();
			for (const [key, isAccepted] of [['secret', true], ['other', false]] as const) {
				const {client, clientFirst} = createClientFirst(key);
				const server = startScramServer(clientFirst, verifier).unwrap();
				const clientFinal = getBody(client.createFinalResponse(server.serverFirst).unwrap()).toString();
				assert.equal(server.verifyClientFinal(clientFinal).ok, isAccepted);
				assert.equal(checkPassword(key, verifier), isAccepted);
			}
		});

		it('lets the client accept only a server that knows the verifier, in this exchange', () => {
			const verifier = createVerifier('secret');
			const {client, clientFirst} = createClientFirst('secret');
			const server = startScramServer(clientFirst, verifier).unwrap();
			assert.ok(client.verifyServerFinal('v=').err, 'accepted before the exchange');
			const clientFinal = getBody(client.createFinalResponse(server.serverFirst).unwrap()).toString();
			const serverFinal = server.verifyClientFinal(clientFinal).unwrap();
			assert.ok(client.verifyServerFinal(serverFinal).ok);
			const impostor = startScramServer(clientFirst, createVerifier('other')).unwrap();
			client.createFinalResponse(impostor.serverFirst).unwrap();
			for (const final of [serverFinal, '', 'v=', 'e=other-error', `v=${Buffer.alloc(32).toString('base64')}`]) {
				assert.ok(client.verifyServerFinal(final).err, final);
			}
		});

		it('lets the client refuse a server-first message of another exchange', () => {
			const {client, clientFirst} = createClientFirst('secret');
			const nonce = /r=(?<nonce>.+)$/v.exec(clientFirst)?.groups?.nonce ?? '';
			for (const serverFirst of ['', 'r=other,s=c2FsdA==,i=4096', `r=${nonce},s=c2FsdA==,i=4096`, `r=${nonce}x,i=4096`, `r=${nonce}x,s=c2FsdA==,i=0`, `r=${nonce}x,s=c2FsdA==,i=1e9`]) {
				assert.ok(client.createFinalResponse(serverFirst).err, serverFirst);
			}
		});

		it('completes the exchange for an unknown key and then rejects it', () => {
			const {client, clientFirst} = createClientFirst('secret');
			const server = startScramServer(clientFirst, undefined).unwrap();
			const verified = server.verifyClientFinal(getBody(client.createFinalResponse(server.serverFirst).unwrap()).toString());
			assert.ok(verified.err && verified.val.code === 'scramRejected');
		});

		it('does not throw on malformed messages', () => {
			fc.assert(fc.property(fc.string(), fc.string(), (clientFirst, clientFinal) => {
				const server = startScramServer(clientFirst, undefined);
				assert.ok(server.err || server.val.verifyClientFinal(clientFinal).err);
			}), {seed: 23, numRuns: 500});
		});
	});

	describe('createMessage', () => {
		it('terminates texts with a zero byte', () => {
			assert.deepEqual([...createMessage('C', 'a').bytes], [67, 0, 0, 0, 6, 97, 0]);
		});
	});
});
