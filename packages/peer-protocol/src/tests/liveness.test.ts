/** Silent peers: told from slow answers, and given up within a second. */

import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createWorld} from '@guavapitch/core';
import type {PeerContext, PeerHandlers} from '../connection.js';
import {encodeFrame} from '../frames.js';
import {createDial, startPeerListener} from '../listener.js';
import {createPeerConnections} from '../peer-connections.js';

const NONE: PeerHandlers = {calls: {}, streams: {}};
const LONG_MS = 1500;

const createContext = (vm: string, handlers: PeerHandlers): PeerContext => ({
	world: createWorld(), identity: {vm, incarnation: 'i'}, handlers, readTime: () => [1, 2], observeTime: () => undefined, onMalformedFrame: () => undefined,
});

describe('silence', () => {
	it('is not taken from a peer that works on a long call', async () => {
		const {world} = createContext('w', NONE);
		await using listener = await startPeerListener({host: '127.0.0.1', port: 0}, createContext('b', {
			calls: {
				async long() {
					await world.sleep(LONG_MS);
					return 'done';
				},
			},
			streams: {},
		}));
		await using peers = createPeerConnections(createContext('a', NONE), createDial());
		const answer = await peers.call(listener.address, 'long', undefined, LONG_MS * 2);
		assert.equal(answer.unwrap(), 'done');
	});

	it('is looked for by a method of its own: a handler named ping is called', async () => {
		await using listener = await startPeerListener({host: '127.0.0.1', port: 0}, createContext('b', {calls: {ping: async () => 'from the handler'}, streams: {}}));
		await using peers = createPeerConnections(createContext('a', NONE), createDial());
		assert.equal((await peers.call(listener.address, 'ping', undefined, 1000)).unwrap(), 'from the handler');
	});

	it('ends the calls to a peer that answers nothing within a second', async () => {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.write(encodeFrame(['hello', [1, 2], 2, 'mute', 'i']));
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		await using peers = createPeerConnections(createContext('a', NONE), createDial());
		const {world} = createContext('w', NONE);
		const askedAt = world.now();
		const answer = await peers.call({host: '127.0.0.1', port}, 'any', undefined, 5000);
		assert.equal(answer.err && answer.val.code, 'peerGone');
		assert.ok(world.now() - askedAt < 1000);
		server.close();
	});
});
