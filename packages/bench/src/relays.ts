/** Relays before the proxies' peer ports, which can be cut between any two vms. */

import {createServer, createConnection, type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {createNotifier, NEVER, type World} from '@guavapitch/core';
import {splitFrames} from '@guavapitch/peer-protocol';

/** Links between vms. */
export type PeerLinks = Readonly<{
	/** Decides which links are cut from now on. */
	setPartition: (isCut: (from: string, to: string) => boolean) => void;
	/** Opens a relay before a vm's peer port; gives the port of the relay. */
	openRelay: (vm: string, peerPort: number, relayPort: number) => Promise<AsyncDisposable>;
}>;

/** Reads the name that the dialling vm gives in its hello. */
const readDialler = (bytes: Buffer): string => {
	const split = splitFrames(bytes);
	const hello = split.ok ? split.val.frames[0] : undefined;
	return hello?.[0] === 'hello' ? hello[3] : '';
};

/** Creates the links, none of them cut. */
export const createPeerLinks = (world: World): PeerLinks => {
	let isCut: (from: string, to: string) => boolean = () => false;
	const changed = createNotifier(world);

	const pump = async (source: Socket, target: Socket, isOpen: () => boolean) => {
		for await (const chunk of source) {
			await changed.waitUntil(isOpen, NEVER);
			if (!target.write(chunk as Buffer)) {
				await new Promise(resolve => {
					target.once('drain', resolve);
					target.once('close', resolve);
				});
			}
		}

		target.end();
	};

	const relay = async (vm: string, socket: Socket, peerPort: number) => {
		const target = createConnection(peerPort, '127.0.0.1');
		const destroy = () => {
			socket.destroy();
			target.destroy();
		};

		socket.on('close', destroy);
		target.on('close', destroy);
		socket.on('error', destroy);
		target.on('error', destroy);
		socket.setNoDelay(true);
		target.setNoDelay(true);
		const first = await new Promise<Buffer>(resolve => {
			socket.once('data', resolve);
			socket.once('close', () => {
				resolve(Buffer.alloc(0));
			});
		});
		socket.pause();
		const dialler = readDialler(first);
		const isOpen = () => socket.destroyed || !(isCut(dialler, vm) || isCut(vm, dialler));
		await changed.waitUntil(isOpen, NEVER);
		target.write(first);
		await Promise.allSettled([pump(socket, target, isOpen), pump(target, socket, isOpen)]);
	};

	return {
		setPartition(next) {
			isCut = next;
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
				void relay(vm, socket, peerPort);
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
