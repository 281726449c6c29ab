/** Accepting and dialling peer connections over TCP or mutual TLS. */

import {createConnection, createServer, type Socket} from 'node:net';
import {connect as connectTls, createServer as createTlsServer} from 'node:tls';
import {
	createScope, Err, Ok, type Deadline, type Result,
} from '@guavapitch/core';
import {
	openPeerConnection, type PeerConnection, type PeerContext, type PeerFailure,
} from './connection.js';

/** Address of a listener. */
export type Address = Readonly<{host: string; port: number}>;

/** Keys of mutual TLS, in PEM. */
export type PeerTls = Readonly<{key: string; cert: string; ca: string}>;

/** A running listener. */
export type PeerListener = AsyncDisposable & Readonly<{
	address: Address;
	/** Accepts nothing new, and answers what the peers opened before; gives up at the deadline. */
	drain: (deadline: Deadline) => Promise<void>;
}>;

/** Dials a socket; tests pass one with broken links. */
export type Dial = (address: Address) => Promise<Result<Socket, PeerFailure>>;

const DIAL_TIMEOUT_MS = 1000;

/** Starts accepting peers. */
export const startPeerListener = async (address: Address, context: PeerContext, tls?: PeerTls): Promise<PeerListener> => {
	const scope = createScope(() => undefined);
	const open = new Set<PeerConnection>();
	const serve = (socket: Socket) => {
		scope.run(async signal => {
			await using connection = openPeerConnection(socket, context);
			signal.addEventListener('abort', () => {
				socket.destroy();
			});
			const hello = await connection.waitForHello();
			if (hello.ok) {
				open.add(connection);
				await connection.waitForEnd();
				open.delete(connection);
			}
		});
	};

	const server = tls
		? createTlsServer({...tls, requestCert: true, rejectUnauthorized: true}, serve)
		: createServer(serve);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, resolve);
	});
	const bound = server.address();
	return {
		address: {host: address.host, port: typeof bound === 'object' && bound ? bound.port : address.port},
		async drain(deadline) {
			server.close();
			await Promise.all([...open].map(async connection => connection.drain(deadline)));
		},
		async [Symbol.asyncDispose]() {
			server.close();
			await scope[Symbol.asyncDispose]();
		},
	};
};

/** Creates the dial function of TCP or mutual TLS. */
export const createDial = (tls?: PeerTls): Dial => async address => new Promise(resolve => {
	const socket = tls
		? connectTls({...tls, ...address, checkServerIdentity: () => undefined})
		: createConnection(address);
	const fail = (message: string) => {
		socket.destroy();
		resolve(Err({code: 'peerUnreachable', message}));
	};

	socket.setTimeout(DIAL_TIMEOUT_MS, () => {
		fail('The peer did not accept the connection in time');
	});
	socket.once('error', (error: Error) => {
		fail(error.message);
	});
	socket.once(tls ? 'secureConnect' : 'connect', () => {
		socket.setTimeout(0);
		resolve(Ok(socket));
	});
});

/** Dials a peer and waits for its hello. */
export const dialPeer = async (address: Address, context: PeerContext, dial: Dial): Promise<Result<PeerConnection, PeerFailure>> => {
	const socket = await dial(address);
	if (socket.err) {
		return socket;
	}

	const connection = openPeerConnection(socket.val, context);
	const hello = await connection.waitForHello();
	if (hello.err) {
		await connection[Symbol.asyncDispose]();
		return hello;
	}

	return Ok(connection);
};
