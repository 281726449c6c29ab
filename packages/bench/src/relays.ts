/** TCP relays in front of the peer ports of vms, which can simulate a network partition between any two vms. */

import {createServer, createConnection, type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {createNotifier, NEVER, type Runtime} from '@guavapitch/core';
import {splitFrames} from '@guavapitch/peer-protocol';

/** Network links between the vms of a stack. */
export type PeerLinks = Readonly<{
	/** Sets which links are partitioned from now on; a link with a partition in either direction forwards nothing until the partition is removed. */
	setPartition: (isPartitioned: (from: string, to: string) => boolean) => void;
	/** Opens a relay that listens on `relayPort` and forwards to the peer port of a vm; dispose of the result to close it. */
	openRelay: (vm: string, peerPort: number, relayPort: number) => Promise<AsyncDisposable>;
}>;

/** Reads the name of the dialling vm from its `hello` frame; returns an empty string if the first bytes are no such frame. */
const readDiallingVm = (bytes: Buffer): string => {
	const splitResult = splitFrames(bytes);
	const hello = splitResult.ok ? splitResult.val.frames[0] : undefined;
	return hello?.[0] === 'hello' ? hello[3] : '';
};

/** Creates links without any partition. */
export const createPeerLinks = (runtime: Runtime): PeerLinks => {
	let isPartitioned: (from: string, to: string) => boolean = () => false;
	const changed = createNotifier(runtime);

	const forwardData = async (source: Socket, destination: Socket, canForward: () => boolean) => {
		for await (const chunk of source) {
			await changed.waitUntil(canForward, NEVER);
			if (!destination.write(chunk as Buffer)) {
				await new Promise(resolve => {
					destination.once('drain', resolve);
					destination.once('close', resolve);
				});
			}
		}

		destination.end();
	};

	const relayConnection = async (vm: string, socket: Socket, peerPort: number) => {
		const peerSocket = createConnection(peerPort, '127.0.0.1');
		const destroy = () => {
			socket.destroy();
			peerSocket.destroy();
		};

		socket.on('close', destroy);
		peerSocket.on('close', destroy);
		socket.on('error', destroy);
		peerSocket.on('error', destroy);
		socket.setNoDelay(true);
		peerSocket.setNoDelay(true);
		const firstChunk = await new Promise<Buffer>(resolve => {
			socket.once('data', resolve);
			socket.once('close', () => {
				resolve(Buffer.alloc(0));
			});
		});
		socket.pause();
		const diallingVm = readDiallingVm(firstChunk);
		const canForward = () => socket.destroyed || !(isPartitioned(diallingVm, vm) || isPartitioned(vm, diallingVm));
		await changed.waitUntil(canForward, NEVER);
		peerSocket.write(firstChunk);
		await Promise.allSettled([forwardData(socket, peerSocket, canForward), forwardData(peerSocket, socket, canForward)]);
	};

	return {
		setPartition(isPartitionedNow) {
			isPartitioned = isPartitionedNow;
			changed.notify();
		},
		async openRelay(vm, peerPort, relayPort) {
			const sockets = new Set<Socket>();
			const server = createServer(socket => {
				sockets.add(socket);
				socket.once('close', () => {
					sockets.delete(socket);
					changed.notify();
				});
				void relayConnection(vm, socket, peerPort);
			});
			await new Promise<void>(resolve => {
				server.listen(relayPort, '127.0.0.1', resolve);
			});
			return {
				async [Symbol.asyncDispose]() {
					server.close();
					for (const socket of sockets) {
						socket.destroy();
					}
				},
			};
		},
	};
};
