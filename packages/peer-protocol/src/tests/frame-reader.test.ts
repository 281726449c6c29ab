/** Long frames between vms: they wait for memory without the connection being taken for silent, and one that is too large fails alone. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRuntime} from '@guavapitch/core';
import type {PeerContext} from '../connection.js';
import type {PeerMemory} from '../frame-reader.js';
import {MAX_FRAME_BYTES} from '../frames.js';
import {createDial, startPeerListener} from '../listener.js';
import {createPeerConnections} from '../peer-connections.js';

const LONG_BYTES = 1_000_000;
/** Longer than the time after which a silent peer is given up, in milliseconds. */
const WAIT_MS = 1200;

const createContext = (vm: string, memory?: PeerMemory): PeerContext => ({
	runtime: createRuntime(),
	identity: {vm, incarnation: 'i'},
	handlers: {calls: {measure: async body => String(body).length, grow: async body => 'x'.repeat(Number(body))}, streams: {}},
	readTime: () => [1, 2],
	observeTime: () => undefined,
	onMalformedFrame: () => undefined,
	...(memory && {memory}),
});

describe('long frames', () => {
	it('wait for memory while the peer keeps the connection, and are then served', async () => {
		const {runtime} = createContext('w');
		let heldCount = 0;
		const memory: PeerMemory = {
			request(bytes, onGranted) {
				assert.ok(bytes > LONG_BYTES);
				heldCount++;
				runtime.schedule(WAIT_MS, onGranted);
				return () => {
					heldCount--;
				};
			},
			hold: () => () => undefined,
		};
		await using listener = await startPeerListener({host: '127.0.0.1', port: 0}, createContext('b', memory));
		await using peers = createPeerConnections(createContext('a'), createDial());
		const startedAt = runtime.now();
		const response = await peers.call(listener.address, 'measure', 'x'.repeat(LONG_BYTES), 5000);
		assert.equal(response.unwrap(), LONG_BYTES);
		assert.ok(runtime.now() - startedAt >= WAIT_MS);
		assert.equal(heldCount, 0);
	});

	// A frame over the limit of the receiver ended the connection, and with it the calls of other callers.
	it('over the limit fail alone, whether call or reply', async () => {
		await using listener = await startPeerListener({host: '127.0.0.1', port: 0}, createContext('b'));
		await using peers = createPeerConnections(createContext('a'), createDial());
		const other = peers.call(listener.address, 'measure', 'abc', 2000);
		const call = await peers.call(listener.address, 'measure', 'x'.repeat(MAX_FRAME_BYTES), 2000);
		assert.equal(call.err && call.val.code, 'frameTooLarge');
		const reply = await peers.call(listener.address, 'grow', MAX_FRAME_BYTES, 2000);
		assert.equal(reply.err && reply.val.code, 'peerRefused');
		assert.equal((await other).unwrap(), 3);
		assert.equal((await peers.call(listener.address, 'measure', 'abcd', 2000)).unwrap(), 4);
	});
});
