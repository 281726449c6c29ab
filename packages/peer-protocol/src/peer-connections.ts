/** Maintains one outgoing connection to each peer that is called. */

import {
	createDeadline, Err, getRemainingMs, Ok, type Result, type Stream,
} from '@guavapitch/core';
import type {PeerConnection, PeerContext, PeerFailure} from './connection.js';
import {dialPeer, type Address, type Dial} from './listener.js';

/** Outgoing connections to all peers, opened on demand. */
export type PeerConnections = AsyncDisposable & Readonly<{
	/** Calls a method of the peer at an address, connecting first if necessary; the time limit includes this. */
	call: (address: Address, method: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, PeerFailure>>;
	/** Opens a stream to the peer at an address, connecting first if necessary. */
	openStream: (address: Address, method: string, header: unknown) => Promise<Result<Stream<unknown, unknown>, PeerFailure>>;
	/** Closes the connection to the peer at an address; its running calls and streams fail. */
	disconnect: (address: Address) => void;
	/** Returns the number of peers that a connection was opened to, including connections that have ended. */
	getConnectionCount: () => number;
}>;

/** Creates the outgoing connections of a process, none of them open yet. */
export const createPeerConnections = (context: PeerContext, dial: Dial): PeerConnections => {
	const connections = new Map<string, PeerConnection>();
	const pendingDials = new Map<string, Promise<Result<PeerConnection, PeerFailure>>>();

	const dialOnce = async (key: string, address: Address): Promise<Result<PeerConnection, PeerFailure>> => {
		const result = await dialPeer(address, context, dial);
		pendingDials.delete(key);
		if (result.ok) {
			connections.set(key, result.val);
		}

		return result;
	};

	const getConnection = async (address: Address): Promise<Result<PeerConnection, PeerFailure>> => {
		const key = `${address.host}:${address.port}`;
		const existing = connections.get(key);
		if (existing && !existing.isEndedOrDraining()) {
			return Ok(existing);
		}

		const pendingDial = pendingDials.get(key) ?? dialOnce(key, address);
		if (pendingDials.get(key) !== pendingDial) {
			pendingDials.set(key, pendingDial);
		}

		return pendingDial;
	};

	/** Waits for a connection within a time limit; one that is not open by then may still be used by later calls. */
	const waitForConnection = async (address: Address, timeoutMs: number): Promise<Result<PeerConnection, PeerFailure>> => {
		let cancelTimer: (() => void) | undefined;
		const timedOut = new Promise<Result<PeerConnection, PeerFailure>>(resolve => {
			cancelTimer = context.runtime.schedule(timeoutMs, () => {
				resolve(Err({code: 'connectTimeout', message: 'The connection to the peer was not open in time'}));
			});
		});
		try {
			return await Promise.race([getConnection(address), timedOut]);
		} finally {
			cancelTimer?.();
		}
	};

	return {
		async call(address, method, body, timeoutMs) {
			const deadline = createDeadline(context.runtime.now(), timeoutMs);
			const connection = await waitForConnection(address, timeoutMs);
			return connection.ok ? connection.val.call(method, body, getRemainingMs(deadline, context.runtime.now())) : connection;
		},
		async openStream(address, method, header) {
			const connection = await getConnection(address);
			return connection.map(openConnection => openConnection.openStream(method, header));
		},
		disconnect(address) {
			const existing = connections.get(`${address.host}:${address.port}`);
			void existing?.[Symbol.asyncDispose]();
		},
		getConnectionCount: () => connections.size,
		async [Symbol.asyncDispose]() {
			await Promise.all([...connections.values()].map(async connection => connection[Symbol.asyncDispose]()));
		},
	};
};
