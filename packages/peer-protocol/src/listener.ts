/** Accepts and dials peer connections over TCP or mutual TLS. */

import {createConnection, createServer, type Socket} from 'node:net';
import {connect as connectTls, createServer as createTlsServer} from 'node:tls';
import {
	createScope, Err, Ok, type Deadline, type Result,
} from '@guavapitch/core';
import {
	openPeerConnection, type PeerConnection, type PeerContext, type PeerFailure,
} from './connection.js';

/** Address of a peer or a listener. */
export type Address = Readonly<{host: string; port: number}>;

/** Private key, certificate and certificate authority for mutual TLS, in PEM. */
export type PeerTls = Readonly<{key: string; cert: string; ca: string}>;

/** A listener for peer connections. */
export type PeerListener = AsyncDisposable & Readonly<{
	/** Address with the port that was actually bound. */
	address: Address;
	/** Stops accepting connections, calls and streams, and completes those already accepted; stops waiting at the deadline. */
	drain: (deadline: Deadline) => Promise<void>;
}>;

/** Connects a socket to the peer at an address; fails with `peerUnreachable`. */
export type Dial = (address: Address) => Promise<Result<Socket, PeerFailure>>;

const DIAL_TIMEOUT_MS = 1000;

/** Starts a listener for peer connections; throws if the address cannot be bound. */
export const startPeerListener = async (address: Address, context: PeerContext, tls?: PeerTls): Promise<PeerListener> => {
	const scope = createScope(() => undefined);
	const openConnections = new Set<PeerConnection>();
	const serveConnection = (socket: Socket) => {
		scope.run(async signal => {
			await using connection = openPeerConnection(socket, context);
			signal.addEventListener('abort', () => {
				socket.destroy();
			});
			const hello = await connection.waitForHello();
			if (hello.ok) {
				openConnections.add(connection);
				await connection.waitForEnd();
				openConnections.delete(connection);
			}
		});
	};

	const server = tls
		? createTlsServer({...tls, requestCert: true, rejectUnauthorized: true}, serveConnection)
		: createServer(serveConnection);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, resolve);
	});
	const boundAddress = server.address();
	return {
		address: {host: address.host, port: typeof boundAddress === 'object' && boundAddress ? boundAddress.port : address.port},
		async drain(deadline) {
			server.close();
			await Promise.all([...openConnections].map(async connection => connection.drain(deadline)));
		},
		async [Symbol.asyncDispose]() {
			server.close();
			await scope[Symbol.asyncDispose]();
		},
	};
};

/** Creates a dial function for mutual TLS, or for plain TCP if no keys are given. */
export const createDial = (tls?: PeerTls): Dial => async address => new Promise(resolve => {
	// Any certificate of the authority is accepted, whatever host it names.
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

/** Connects to a peer and waits for its hello; fails as `dial` or `waitForHello` does. */
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
