/** Keeps one dialled connection to each peer that is asked for. */

import {Ok, type Result, type Stream} from '@guavapitch/core';
import type {PeerConnection, PeerContext, PeerFailure} from './connection.js';
import {dialPeer, type Address, type Dial} from './listener.js';

/** Connections to all peers, dialled on demand. */
export type PeerConnections = AsyncDisposable & Readonly<{
	/** Calls a method of the peer at an address. */
	call: (address: Address, method: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, PeerFailure>>;
	/** Opens a stream to the peer at an address. */
	openStream: (address: Address, method: string, header: unknown) => Promise<Result<Stream<unknown, unknown>, PeerFailure>>;
	/** Ends the connection to the peer at an address; what is under way on it is lost. */
	disconnect: (address: Address) => void;
	/** Counts the open connections. */
	getConnectionCount: () => number;
}>;

/** Creates the set of connections. */
export const createPeerConnections = (context: PeerContext, dial: Dial): PeerConnections => {
	const connections = new Map<string, PeerConnection>();
	const dialling = new Map<string, Promise<Result<PeerConnection, PeerFailure>>>();

	const dialOnce = async (key: string, address: Address): Promise<Result<PeerConnection, PeerFailure>> => {
		const result = await dialPeer(address, context, dial);
		dialling.delete(key);
		if (result.ok) {
			connections.set(key, result.val);
		}

		return result;
	};

	const connect = async (address: Address): Promise<Result<PeerConnection, PeerFailure>> => {
		const key = `${address.host}:${address.port}`;
		const open = connections.get(key);
		if (open && !open.isEnded()) {
			return Ok(open);
		}

		const flight = dialling.get(key) ?? dialOnce(key, address);
		if (dialling.get(key) !== flight) {
			dialling.set(key, flight);
		}

		return flight;
	};

	return {
		async call(address, method, body, timeoutMs) {
			const connection = await connect(address);
			return connection.ok ? connection.val.call(method, body, timeoutMs) : connection;
		},
		async openStream(address, method, header) {
			const connection = await connect(address);
			return connection.map(open => open.openStream(method, header));
		},
		disconnect(address) {
			const open = connections.get(`${address.host}:${address.port}`);
			void open?.[Symbol.asyncDispose]();
		},
		getConnectionCount: () => connections.size,
		async [Symbol.asyncDispose]() {
			await Promise.all([...connections.values()].map(async connection => connection[Symbol.asyncDispose]()));
		},
	};
};
