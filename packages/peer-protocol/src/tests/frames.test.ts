/** Decoding of frames from arbitrary bytes, and calls and streams over real sockets. */

import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createConnection} from 'node:net';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
	createDeadline, createRuntime, NOT_ACCEPTED, type Stream,
} from '@guavapitch/core';
import type {PeerContext, PeerHandlers} from '../connection.js';
import {
	encodeFrame, MAX_FRAME_BYTES, splitFrames, type Frame, type FrameFailure,
} from '../frames.js';
import {createDial, startPeerListener} from '../listener.js';
import {createPeerConnections} from '../peer-connections.js';
import {WINDOW_BYTES} from '../streams.js';

const NO_HANDLERS: PeerHandlers = {calls: {}, streams: {}};
const ANY_PORT = {host: '127.0.0.1', port: 0};

const createContext = (vm: string, handlers: PeerHandlers, onMalformed: (failure: FrameFailure) => void = () => undefined): PeerContext => ({
	runtime: createRuntime(), identity: {vm, incarnation: 'i'}, handlers, readTime: () => [1, 2], observeTime: () => undefined, onMalformedFrame: onMalformed,
});

describe('frames', () => {
	describe('splitFrames', () => {
		it('decodes encoded frames wherever the bytes are split', () => {
			fc.assert(fc.property(fc.array(fc.record({id: fc.nat(), body: fc.oneof(fc.string(), fc.integer(), fc.uint8Array(), fc.constant(null))}), {maxLength: 6}), fc.nat(), (calls, splitSeed) => {
				const frames: Frame[] = calls.map(({id, body}) => ['call', [1, 2], id, 'method', body]);
				const bytes = Buffer.concat(frames.map(frame => encodeFrame(frame)));
				const splitAt = bytes.length === 0 ? 0 : splitSeed % (bytes.length + 1);
				const firstPart = splitFrames(bytes.subarray(0, splitAt)).unwrap();
				const secondPart = splitFrames(Buffer.concat([firstPart.remainder, bytes.subarray(splitAt)])).unwrap();
				assert.equal(firstPart.frames.length + secondPart.frames.length, frames.length);
				assert.equal(secondPart.remainder.length, 0);
			}), {seed: 11, numRuns: 300});
		});

		it('decodes fields encoded by number and fields encoded by name', () => {
			const name = fc.constantFrom('id', 'kind', 'statement', 'values', 'changes', 'other', '1', '38', 'constructor');
			const key = fc.oneof(name, fc.string({maxLength: 4}).filter(text => text !== '__proto__'));
			const inner = fc.dictionary(key, fc.array(fc.integer()), {noNullPrototype: true});
			const body = fc.dictionary(key, fc.oneof(fc.string(), fc.integer(), fc.boolean(), fc.constant(null), inner), {noNullPrototype: true});
			fc.assert(fc.property(body, value => {
				const split = splitFrames(encodeFrame(['reply', [1, 2], 7, value])).unwrap();
				assert.deepEqual(split.frames, [['reply', [1, 2], 7, value]]);
			}), {seed: 13, numRuns: 500});
		});

		it('encodes a statement in less than 60 % of its size with field names', () => {
			const statement = {
				id: '5c0e7a21d94b36f8',
				database: 'lepu270',
				customer: 'nypu',
				statement: {kind: 'text', access: 'read', text: 'READ 1a4'},
				consistency: {kind: 'ownWrites', maxStalenessMs: 2500},
				floor: {term: 3, number: 1209},
				values: [],
				transaction: undefined,
				remainingMs: 1500,
				promptMs: 200,
				priority: 1,
			};
			const namedSizeBytes = JSON.stringify(statement).length;
			const sizeBytes = encodeFrame(['call', [1_796_400_192_760, 5], 1234, 'run', statement]).length;
			assert.ok(sizeBytes < namedSizeBytes * 0.6, `${sizeBytes} bytes, ${namedSizeBytes} bytes with field names`);
		});

		it('does not throw on arbitrary bytes', () => {
			fc.assert(fc.property(fc.uint8Array({maxLength: 200}), garbage => {
				const split = splitFrames(Buffer.from(garbage));
				assert.ok(split.ok || split.val.code === 'frameMalformed' || split.val.code === 'frameTooLarge');
			}), {seed: 12, numRuns: 2000});
		});

		it('refuses a frame over the size limit from its length alone', () => {
			const header = Buffer.alloc(4);
			header.writeUInt32BE(MAX_FRAME_BYTES + 1);
			const split = splitFrames(header);
			assert.ok(split.err && split.val.code === 'frameTooLarge');
		});
	});

	describe('connections', () => {
		it('answers calls, refuses unknown methods and reports the loss of a peer', async () => {
			const listener = await startPeerListener(ANY_PORT, createContext('b', {calls: {echo: async body => body}, streams: {}}));
			const peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
			const echoed = await peers.call(listener.address, 'echo', {text: 'x'}, 1000);
			const unknown = await peers.call(listener.address, 'nothing', null, 1000);
			assert.deepEqual(echoed.unwrap(), {text: 'x'});
			assert.ok(unknown.err && unknown.val.code === 'peerRefused');
			await listener[Symbol.asyncDispose]();
			const lost = await peers.call(listener.address, 'echo', 1, 1000);
			assert.ok(lost.err);
			await peers[Symbol.asyncDispose]();
		});

		it('blocks a sender until the receiver consumes items', async () => {
			const body = Buffer.alloc(WINDOW_BYTES / 16);
			let sentCount = 0;
			const serve = async (_header: unknown, stream: Stream<unknown, unknown>) => {
				for (; sentCount < 500; sentCount++) {
					await stream.send({sent: sentCount, body});
				}
			};

			const listener = await startPeerListener(ANY_PORT, createContext('b', {calls: {}, streams: {count: serve}}));
			const peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
			const stream = (await peers.openStream(listener.address, 'count', null)).unwrap();
			await new Promise(resolve => {
				setTimeout(resolve, 100);
			});
			assert.ok(sentCount <= 20, `${sentCount} items were sent although none was consumed`);
			const items: unknown[] = [];
			for (let item = await stream.receive(); item !== undefined; item = await stream.receive()) {
				items.push(item);
			}

			assert.equal(items.length, 500);
			await peers[Symbol.asyncDispose]();
			await listener[Symbol.asyncDispose]();
		});

		it('drains without losing a stream: each is answered or reported as not accepted', async () => {
			let servedCount = 0;
			const serve = async (_header: unknown, stream: Stream<unknown, unknown>) => {
				servedCount++;
				await stream.receive();
				await stream.send('answer');
			};

			const runtime = createRuntime();
			const listener = await startPeerListener(ANY_PORT, createContext('b', {calls: {}, streams: {ask: serve}}));
			const peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
			const outcomes: string[] = [];
			const ask = async () => {
				const opened = await peers.openStream(listener.address, 'ask', null);
				if (opened.err) {
					outcomes.push('unreachable');
					return;
				}

				await using stream = opened.val;
				await stream.send('question');
				const reply = await stream.receive();
				outcomes.push(reply === 'answer' ? 'answered' : String(stream.signal.reason));
			};

			await ask();
			const asksBeforeDrain = Array.from({length: 50}, ask);
			await Promise.resolve();
			const draining = listener.drain(createDeadline(runtime.now(), 5000));
			const asksDuringDrain = Array.from({length: 50}, ask);
			await Promise.all([...asksBeforeDrain, ...asksDuringDrain, draining]);
			assert.equal(outcomes.length, 101);
			assert.equal(outcomes.filter(outcome => outcome === 'answered').length, servedCount);
			assert.deepEqual(outcomes.filter(outcome => !['answered', NOT_ACCEPTED, 'unreachable'].includes(outcome)), []);
			assert.ok(outcomes.includes(NOT_ACCEPTED));
			const late = await peers.openStream(listener.address, 'ask', null);
			assert.ok(late.err && late.val.code === 'peerUnreachable');
			await peers[Symbol.asyncDispose]();
			await listener[Symbol.asyncDispose]();
		});

		// A call that a stopping peer ignored was reported as lost, although it had not run.
		it('drains without losing a call: each is answered or known not to have been made', async () => {
			let servedCount = 0;
			const echo = async (body: unknown) => {
				servedCount++;
				return body;
			};

			const runtime = createRuntime();
			const listener = await startPeerListener(ANY_PORT, createContext('b', {calls: {echo}, streams: {}}));
			const peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
			await peers.call(listener.address, 'echo', 0, 1000);
			const call = async () => {
				const response = await peers.call(listener.address, 'echo', 1, 1000);
				return response.ok ? 'answered' : response.val.code;
			};

			const callsBefore = Array.from({length: 50}, call);
			await Promise.resolve();
			const draining = listener.drain(createDeadline(runtime.now(), 5000));
			const callsDuring = Array.from({length: 50}, call);
			const outcomes = await Promise.all([...callsBefore, ...callsDuring]);
			await draining;
			assert.equal(outcomes.filter(outcome => outcome === 'answered').length, servedCount - 1);
			assert.deepEqual(outcomes.filter(outcome => !['answered', 'peerUnreachable'].includes(outcome)), []);
			assert.ok(outcomes.includes('peerUnreachable'));
			await peers[Symbol.asyncDispose]();
			await listener[Symbol.asyncDispose]();
		});

		it('reports arbitrary bytes on its port and continues to serve', async () => {
			const failures: FrameFailure[] = [];
			const listener = await startPeerListener(ANY_PORT, createContext('b', {calls: {echo: async body => body}, streams: {}}, failure => {
				failures.push(failure);
			}));
			const socket = createConnection(listener.address);
			socket.write('GET / HTTP/1.1\r\n\r\n');
			await new Promise(resolve => {
				socket.resume();
				socket.on('close', resolve);
				socket.on('error', () => undefined);
			});
			const peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
			const echoed = await peers.call(listener.address, 'echo', 1, 1000);
			assert.equal(echoed.unwrap(), 1);
			assert.equal(failures.length, 1);
			await peers[Symbol.asyncDispose]();
			await listener[Symbol.asyncDispose]();
		});
	});
});
