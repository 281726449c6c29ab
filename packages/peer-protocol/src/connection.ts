/** One connection between two processes: hello, calls and streams, served by one task. */

import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {
	createChunkBuffer, createDeadline, createNotifier, createScope, Err, getMessage, NEVER, NOT_ACCEPTED, Ok, type Deadline, type Failure, type Result, type Stream, type World,
} from '@guavapitch/core';
import {
	encodeFrame, PROTOCOL_VERSION, splitFrames, type Frame, type FrameFailure, type FrameTime, type StreamSide,
} from './frames.js';
import {createMultiplexedStream, type MultiplexedStream} from './streams.js';

/** Failure of a call to a peer. */
export type PeerFailure = Failure<'peerUnreachable' | 'peerGone' | 'peerTimeout' | 'peerRefused'>;

/** Who a process is to its peers. */
export type PeerIdentity = Readonly<{vm: string; incarnation: string}>;

/** What a process serves to its peers. */
export type PeerHandlers = Readonly<{
	/** Answers calls, by method. */
	calls: Readonly<Record<string, (body: unknown, from: PeerIdentity) => Promise<unknown>>>;
	/** Serves streams, by method. */
	streams: Readonly<Record<string, (header: unknown, stream: Stream<unknown, unknown>, from: PeerIdentity) => Promise<void>>>;
}>;

/** What a connection needs from its process. */
export type PeerContext = Readonly<{
	world: World;
	identity: PeerIdentity;
	handlers: PeerHandlers;
	/** Reads the causal clock, for the frames sent. */
	readTime: () => FrameTime;
	/** Hears of causal times received. */
	observeTime: (time: FrameTime) => void;
	/** Hears of frames that were refused. */
	onMalformedFrame: (failure: FrameFailure) => void;
	/** Hears of bytes sent and received. */
	onTransfer?: (direction: 'sent' | 'received', bytes: number) => void;
}>;

/** An open connection to a peer. */
export type PeerConnection = AsyncDisposable & Readonly<{
	/** Waits for the peer's hello. */
	waitForHello: () => Promise<Result<PeerIdentity, PeerFailure>>;
	/** Calls a method of the peer. */
	call: (method: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, PeerFailure>>;
	/** Opens a stream to the peer. */
	openStream: (method: string, header: unknown) => Stream<unknown, unknown>;
	/** Waits until the connection has ended. */
	waitForEnd: () => Promise<void>;
	/** Tells whether the connection takes nothing new. */
	isEnded: () => boolean;
	/** Refuses what the peer opens from now on, answers what it opened before, and ends; gives up at the deadline. */
	drain: (deadline: Deadline) => Promise<void>;
}>;

type Pending = (result: Result<unknown, PeerFailure>) => void;

const HELLO_TIMEOUT_MS = 3000;
/** Pause between looks for a silent peer, in milliseconds; longer than a busy process needs to answer a ping. */
const SILENCE_LOOK_MS = 150;
/** Silent looks before the connection is ended; the first of them sends a ping. */
const SILENT_LOOKS = 3;
/** Method that every peer answers at once; no handler can have its name. */
export const LIVENESS_METHOD = 'protocol/alive';
const GONE: PeerFailure = {code: 'peerGone', message: 'The connection to the peer was lost'};
const OTHER_SIDE: Readonly<Record<StreamSide, StreamSide>> = {opener: 'acceptor', acceptor: 'opener'};

/** Opens the protocol on a connected socket, whichever end connected. */
export const openPeerConnection = (socket: Socket, context: PeerContext): PeerConnection => {
	const {world, handlers} = context;
	const changed = createNotifier(world);
	const pending = new Map<number, Pending>();
	const streams = new Map<string, MultiplexedStream>();
	const scope = createScope(() => undefined);
	let peer: PeerIdentity | undefined;
	let ended = false;
	let lastId = 0;
	let lastServedId = 0;
	let serving = 0;
	let leaving = false;
	let peerLeaving = false;
	let heardAt = world.now();
	let watching = false;
	let silentLooks = 0;

	/** Writes a frame without waiting; gives its size in bytes. */
	const write = (frame: Frame): number => {
		if (ended) {
			return 0;
		}

		const bytes = encodeFrame(frame);
		context.onTransfer?.('sent', bytes.length);
		socket.write(bytes);
		return bytes.length;
	};

	const waitForDrain = async (): Promise<void> => {
		if (socket.writableNeedDrain) {
			await changed.waitUntil(() => ended || !socket.writableNeedDrain, NEVER);
		}
	};

	const send = async (frame: Frame): Promise<void> => {
		write(frame);
		await waitForDrain();
	};

	const createEnd = (id: number, side: StreamSide): Stream<unknown, unknown> => {
		const key = `${side}${id}`;
		const wireStream = createMultiplexedStream(id, side, {
			write,
			waitForDrain,
			readTime: context.readTime,
			remove() {
				streams.delete(key);
			},
		});
		streams.set(key, wireStream);
		return wireStream.stream;
	};

	const answerCall = async (id: number, method: string, body: unknown, from: PeerIdentity) => {
		const handler = Object.hasOwn(handlers.calls, method) ? handlers.calls[method] : undefined;
		if (!handler) {
			await send(['refuse', context.readTime(), id, 'unknownMethod', `There is no method ${method}`]);
			return;
		}

		try {
			const reply = await handler(body, from);
			await send(['reply', context.readTime(), id, reply]);
		} catch (error) {
			await send(['refuse', context.readTime(), id, 'handlerFailed', getMessage(error)]);
		}
	};

	const serveStream = async (id: number, method: string, header: unknown, from: PeerIdentity) => {
		await using stream = createEnd(id, 'acceptor');
		const handler = Object.hasOwn(handlers.streams, method) ? handlers.streams[method] : undefined;
		await handler?.(header, stream, from);
		stream.finish();
	};

	/** Serves what the peer opened, unless it was told that nothing more is served. */
	const serve = (id: number, task: () => Promise<void>) => {
		if (leaving) {
			return;
		}

		lastServedId = id;
		serving++;
		scope.run(async () => {
			try {
				await task();
			} finally {
				serving--;
				changed.notify();
			}
		});
	};

	const acceptLeaving = (servedId: number) => {
		peerLeaving = true;
		for (const [key, stream] of streams) {
			if (key.startsWith('opener') && Number(key.slice('opener'.length)) > servedId) {
				stream.abort(NOT_ACCEPTED);
			}
		}
	};

	const settle = (id: number, result: Result<unknown, PeerFailure>) => {
		pending.get(id)?.(result);
		pending.delete(id);
	};

	const acceptHello = (version: number, identity: PeerIdentity) => {
		if (version !== PROTOCOL_VERSION) {
			context.onMalformedFrame({code: 'frameMalformed', message: `The peer speaks version ${version}; this process speaks ${PROTOCOL_VERSION}`});
			socket.destroy();
			return;
		}

		peer = identity;
		changed.notify();
	};

	const accept = (frame: Frame, bytes: number) => {
		context.observeTime(frame[1]);
		if (!peer && frame[0] !== 'hello') {
			context.onMalformedFrame({code: 'frameMalformed', message: 'The first frame is not a hello'});
			socket.destroy();
			return;
		}

		const from = peer ?? {vm: '', incarnation: ''};
		const [kind] = frame;
		switch (kind) {
			case 'hello': {
				acceptHello(frame[2], {vm: frame[3], incarnation: frame[4]});

				break;
			}

			case 'call': {
				if (frame[3] === LIVENESS_METHOD) {
					// Answered also while leaving: what the peer opened before is still under way.
					write(['reply', context.readTime(), frame[2], undefined]);
					break;
				}

				serve(frame[2], async () => answerCall(frame[2], frame[3], frame[4], from));

				break;
			}

			case 'reply': {
				settle(frame[2], Ok(frame[3]));

				break;
			}

			case 'refuse': {
				settle(frame[2], Err({code: 'peerRefused', message: `${frame[3]}: ${frame[4]}`}));

				break;
			}

			case 'open': {
				serve(frame[2], async () => serveStream(frame[2], frame[3], frame[4], from));

				break;
			}

			case 'goaway': {
				acceptLeaving(frame[2]);

				break;
			}

			default: {
				streams.get(`${OTHER_SIDE[frame[3]]}${frame[2]}`)?.accept(frame, bytes);
			}
		}
	};

	const end = () => {
		if (ended) {
			return;
		}

		ended = true;
		for (const id of pending.keys()) {
			settle(id, Err(GONE));
		}

		for (const stream of streams.values()) {
			stream.abort();
		}

		changed.notify();
	};

	/** Looks while answers are awaited whether the peer is silent: pings it, and then ends the connection. */
	const watchSilence = () => {
		if (watching || pending.size === 0) {
			return;
		}

		watching = true;
		const watchedAt = world.now();
		world.schedule(SILENCE_LOOK_MS, () => {
			watching = false;
			silentLooks = heardAt <= watchedAt ? silentLooks + 1 : 0;
			if (ended || pending.size === 0) {
				silentLooks = 0;
			} else if (silentLooks > SILENT_LOOKS) {
				socket.destroy();
				end();
			} else {
				if (silentLooks > 0) {
					write(['call', context.readTime(), ++lastId, LIVENESS_METHOD, undefined]);
				}

				watchSilence();
			}
		});
	};

	const collected = createChunkBuffer();
	const acceptBytes = (chunk: Buffer) => {
		heardAt = world.now();
		context.onTransfer?.('received', chunk.length);
		collected.push(chunk);
		const bytes = collected.take();
		if (!bytes) {
			return;
		}

		const split = splitFrames(bytes);
		if (split.err) {
			context.onMalformedFrame(split.val);
			socket.destroy();
			return;
		}

		collected.putBack(split.val.rest, split.val.neededBytes);
		for (const [index, frame] of split.val.frames.entries()) {
			accept(frame, split.val.sizes[index] ?? 0);
		}
	};

	socket.setNoDelay(true);
	socket.on('data', acceptBytes);
	socket.on('drain', changed.notify);
	socket.on('close', end);
	socket.on('error', end);
	void send(['hello', context.readTime(), PROTOCOL_VERSION, context.identity.vm, context.identity.incarnation]);

	return {
		async waitForHello() {
			const said = await changed.waitUntil(() => ended || peer !== undefined, createDeadline(world.now(), HELLO_TIMEOUT_MS));
			if (said.err) {
				return Err({code: 'peerTimeout', message: 'The peer sent no hello'});
			}

			return peer ? Ok(peer) : Err(GONE);
		},
		async call(method, body, timeoutMs) {
			if (ended) {
				return Err(GONE);
			}

			const id = ++lastId;
			const cancelTimer = world.schedule(timeoutMs, () => {
				settle(id, Err({code: 'peerTimeout', message: `The peer did not answer ${method} in time`}));
			});
			const answered = new Promise<Result<unknown, PeerFailure>>(resolve => {
				pending.set(id, resolve);
			});
			watchSilence();
			await send(['call', context.readTime(), id, method, body]);
			const result = await answered;
			cancelTimer();
			return result;
		},
		openStream(method, header) {
			const id = ++lastId;
			const stream = createEnd(id, 'opener');
			void send(['open', context.readTime(), id, method, header]);
			if (ended || peerLeaving) {
				streams.get(`opener${id}`)?.abort(NOT_ACCEPTED);
			}

			return stream;
		},
		async waitForEnd() {
			await changed.waitUntil(() => ended, NEVER);
		},
		isEnded: () => ended || peerLeaving,
		async drain(deadline) {
			leaving = true;
			await send(['goaway', context.readTime(), lastServedId]);
			await changed.waitUntil(() => ended || serving === 0, deadline);
			socket.end();
			await changed.waitUntil(() => ended, deadline);
		},
		async [Symbol.asyncDispose]() {
			socket.destroy();
			end();
			await scope[Symbol.asyncDispose]();
		},
	};
};
