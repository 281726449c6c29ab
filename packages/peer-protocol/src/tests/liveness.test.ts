/** Liveness of peers: a silent peer is detected within a second, while a slow call is not mistaken for silence. */

import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createRuntime} from '@guavapitch/core';
import type {PeerContext, PeerHandlers} from '../connection.js';
import {encodeFrame, PROTOCOL_VERSION} from '../frames.js';
import {createDial, startPeerListener} from '../listener.js';
import {createPeerConnections} from '../peer-connections.js';

const NO_HANDLERS: PeerHandlers = {calls: {}, streams: {}};
const LONG_CALL_MS = 1500;
/** Time for which a connection waits for the peer's hello, in milliseconds. */
const HELLO_TIMEOUT_MS = 3000;
/** A failure before this time has another cause than silence, in milliseconds. */
const SHORTEST_SILENCE_MS = 100;

const createContext = (vm: string, handlers: PeerHandlers): PeerContext => ({
	runtime: createRuntime(), identity: {vm, incarnation: 'i'}, handlers, readTime: () => [1, 2], observeTime: () => undefined, onMalformedFrame: () => undefined,
});

describe('liveness', () => {
	it('keeps the connection to a peer that is running a long call', async () => {
		const {runtime} = createContext('w', NO_HANDLERS);
		await using listener = await startPeerListener({host: '127.0.0.1', port: 0}, createContext('b', {
			calls: {
				async long() {
					await runtime.sleep(LONG_CALL_MS);
					return 'done';
				},
			},
			streams: {},
		}));
		await using peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
		const response = await peers.call(listener.address, 'long', undefined, LONG_CALL_MS * 2);
		assert.equal(response.unwrap(), 'done');
	});

	it('is probed by a reserved method, so that a handler named ping can be called', async () => {
		await using listener = await startPeerListener({host: '127.0.0.1', port: 0}, createContext('b', {calls: {ping: async () => 'from the handler'}, streams: {}}));
		await using peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
		assert.equal((await peers.call(listener.address, 'ping', undefined, 1000)).unwrap(), 'from the handler');
	});

	it('ends a call at its time limit while the peer, a frozen process, accepts the connection but sends no hello', async () => {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		using closing = {
			[Symbol.dispose]() {
				server.close();
			},
		};
		await using peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
		const {runtime} = createContext('w', NO_HANDLERS);
		const calledAt = runtime.now();
		const response = await peers.call({host: '127.0.0.1', port}, 'any', undefined, 300);
		const elapsedMs = runtime.now() - calledAt;
		assert.equal(response.err && response.val.code, 'connectTimeout');
		assert.ok(elapsedMs >= 299 && elapsedMs < HELLO_TIMEOUT_MS / 2, `ended after ${elapsedMs} ms`);
	});

	it('fails calls to an unresponsive peer within a second', async () => {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.write(encodeFrame(['hello', [1, 2], PROTOCOL_VERSION, 'mute', 'i']));
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		using closing = {
			[Symbol.dispose]() {
				server.close();
			},
		};
		await using peers = createPeerConnections(createContext('a', NO_HANDLERS), createDial());
		const {runtime} = createContext('w', NO_HANDLERS);
		const calledAt = runtime.now();
		const response = await peers.call({host: '127.0.0.1', port}, 'any', undefined, 5000);
		assert.equal(response.err && response.val.code, 'peerGone');
		const elapsedMs = runtime.now() - calledAt;
		assert.ok(elapsedMs > SHORTEST_SILENCE_MS && elapsedMs < 1000, `failed after ${elapsedMs} ms`);
	});
});
