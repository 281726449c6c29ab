/** One connection between two processes: exchanges hellos, then carries calls and streams in both directions. */

import type {Socket} from 'node:net';
import {
	createDeadline, createNotifier, createScope, Err, getErrorMessage, NEVER, NOT_ACCEPTED, Ok, type Deadline, type Failure, type Result, type Stream, type Runtime,
} from '@guavapitch/core';
import {createFrameReader, LONG_FRAME_BYTES, type PeerMemory} from './frame-reader.js';
import {
	encodeFrame, isFrameTooLarge, MAX_FRAME_BYTES, PROTOCOL_VERSION, type Frame, type FrameFailure, type FrameTime, type StreamSide,
} from './frames.js';
import {createMultiplexedStream, type MultiplexedStream} from './streams.js';

/** Failure of a call to a peer: with `peerUnreachable`, `connectTimeout` and `frameTooLarge` it was not sent, otherwise the peer may have handled it. */
export type PeerFailure = Failure<'peerUnreachable' | 'connectTimeout' | 'frameTooLarge' | 'peerGone' | 'peerTimeout' | 'peerRefused'>;

/** Identity of a process, sent to its peers in the hello. */
export type PeerIdentity = Readonly<{vm: string; incarnation: string}>;

/** Handlers for the calls and streams that peers open. */
export type PeerHandlers = Readonly<{
	/** Handlers of calls, by method; the caller receives the result, or a refusal if the handler throws. */
	calls: Readonly<Record<string, (body: unknown, from: PeerIdentity) => Promise<unknown>>>;
	/** Handlers of streams, by method; the stream is finished when the handler returns. */
	streams: Readonly<Record<string, (header: unknown, stream: Stream<unknown, unknown>, from: PeerIdentity) => Promise<void>>>;
}>;

/** Dependencies of a peer connection. */
export type PeerContext = Readonly<{
	runtime: Runtime;
	identity: PeerIdentity;
	handlers: PeerHandlers;
	/** Reads the hybrid logical clock for a frame to be sent. */
	readTime: () => FrameTime;
	/** Called with the time of each frame received. */
	observeTime: (time: FrameTime) => void;
	/** Called when a frame is malformed or too large; the connection is then closed. */
	onMalformedFrame: (failure: FrameFailure) => void;
	/** Called when a peer has been silent for a while although a reply from it is pending. */
	onSilence?: (peer: PeerIdentity) => void;
	/** Called with the number of bytes of each write and each read. */
	onTransfer?: (direction: 'sent' | 'received', byteCount: number) => void;
	/** Memory for long frames; without it, each connection reads and writes them at any time. */
	memory?: PeerMemory;
}>;

/** An open connection to a peer. */
export type PeerConnection = AsyncDisposable & Readonly<{
	/** Waits for the peer's hello; fails with `peerTimeout` or `peerGone`. */
	waitForHello: () => Promise<Result<PeerIdentity, PeerFailure>>;
	/** Calls a method of the peer and waits for its reply. */
	call: (method: string, body: unknown, timeoutMs: number) => Promise<Result<unknown, PeerFailure>>;
	/** Opens a stream to the peer; its signal aborts with `NOT_ACCEPTED` if the peer is known not to serve it. */
	openStream: (method: string, header: unknown) => Stream<unknown, unknown>;
	/** Waits until the connection has ended. */
	waitForEnd: () => Promise<void>;
	/** Tells whether no new calls or streams can be opened, because the connection has ended or the peer is draining. */
	isEndedOrDraining: () => boolean;
	/** Accepts no new calls or streams, completes those already accepted, and closes the connection; stops waiting at the deadline. */
	drain: (deadline: Deadline) => Promise<void>;
}>;

type SettleCall = (result: Result<unknown, PeerFailure>) => void;

const HELLO_TIMEOUT_MS = 3000;
/** Interval between checks for a silent peer, in milliseconds; longer than a busy process takes to answer a liveness probe. */
const SILENCE_CHECK_INTERVAL_MS = 150;
/** Number of successive silent checks that send a liveness probe; the next silent check ends the connection. */
const MAX_SILENT_CHECKS = 3;
/** Method of the liveness probe, which every peer answers immediately; handlers cannot have this name. */
export const LIVENESS_METHOD = 'protocol/alive';
const CONNECTION_LOST: PeerFailure = {code: 'peerGone', message: 'The connection to the peer was lost'};
const NOT_CALLED: PeerFailure = {code: 'peerUnreachable', message: 'The peer is stopping and has not accepted the call'};
const OPPOSITE_SIDE: Readonly<Record<StreamSide, StreamSide>> = {opener: 'acceptor', acceptor: 'opener'};

/** Starts the protocol on a connected socket; both ends use it in the same way. */
export const openPeerConnection = (socket: Socket, context: PeerContext): PeerConnection => {
	const {runtime, handlers} = context;
	const stateChanged = createNotifier(runtime);
	const pendingCalls = new Map<number, SettleCall>();
	const streams = new Map<string, MultiplexedStream>();
	const scope = createScope(() => undefined);
	let peer: PeerIdentity | undefined;
	let hasEnded = false;
	let lastOpenedId = 0;
	let lastServedId = 0;
	let activeTaskCount = 0;
	let isDraining = false;
	let isPeerDraining = false;
	let lastReceivedAt = runtime.now();
	let isCheckScheduled = false;
	let silentCheckCount = 0;

	/** Writes a frame without waiting; returns its size in bytes, or 0 if the connection has ended, or if a call or reply is too large for the peer. */
	const write = (frame: Frame): number => {
		if (hasEnded) {
			return 0;
		}

		const bytes = encodeFrame(frame);
		if (isFrameTooLarge(bytes) && (frame[0] === 'call' || frame[0] === 'reply')) {
			return 0;
		}

		context.onTransfer?.('sent', bytes.length);
		socket.write(bytes, bytes.length > LONG_FRAME_BYTES ? context.memory?.hold(bytes.length) : undefined);
		return bytes.length;
	};

	/** Waits until the write buffer has been emptied, if it is full and holds more than a number of bytes. */
	const waitUntilWritable = async (maxUnsentBytes = 0): Promise<void> => {
		if (socket.writableNeedDrain && socket.writableLength > maxUnsentBytes) {
			await stateChanged.waitUntil(() => hasEnded || !socket.writableNeedDrain, NEVER);
		}
	};

	const send = async (frame: Frame): Promise<void> => {
		write(frame);
		await waitUntilWritable();
	};

	const createStreamEnd = (id: number, side: StreamSide): Stream<unknown, unknown> => {
		const key = `${side}${id}`;
		const multiplexedStream = createMultiplexedStream(id, side, {
			write,
			waitUntilWritable,
			readTime: context.readTime,
			remove() {
				streams.delete(key);
			},
		});
		streams.set(key, multiplexedStream);
		return multiplexedStream.stream;
	};

	const serveCall = async (id: number, method: string, body: unknown, from: PeerIdentity) => {
		const handler = Object.hasOwn(handlers.calls, method) ? handlers.calls[method] : undefined;
		if (!handler) {
			await send(['refuse', context.readTime(), id, 'unknownMethod', `Unknown method ${method}`]);
			return;
		}

		try {
			const reply = await handler(body, from);
			if (write(['reply', context.readTime(), id, reply]) === 0) {
				write(['refuse', context.readTime(), id, 'handlerFailed', 'The reply is too large']);
			}

			await waitUntilWritable();
		} catch (error) {
			await send(['refuse', context.readTime(), id, 'handlerFailed', getErrorMessage(error)]);
		}
	};

	const serveStream = async (id: number, method: string, header: unknown, from: PeerIdentity) => {
		await using stream = createStreamEnd(id, 'acceptor');
		const handler = Object.hasOwn(handlers.streams, method) ? handlers.streams[method] : undefined;
		await handler?.(header, stream, from);
		stream.finish();
	};

	/** Serves a call or stream of the peer; ignores it while draining, as the peer was told that it is not accepted. */
	const serve = (id: number, task: () => Promise<void>) => {
		if (isDraining) {
			return;
		}

		lastServedId = id;
		activeTaskCount++;
		scope.run(async () => {
			try {
				await task();
			} finally {
				activeTaskCount--;
				stateChanged.notify();
			}
		});
	};

	const handleGoaway = (lastAcceptedId: number) => {
		isPeerDraining = true;
		for (const [key, stream] of streams) {
			if (key.startsWith('opener') && Number(key.slice('opener'.length)) > lastAcceptedId) {
				stream.abort(NOT_ACCEPTED);
			}
		}

		for (const id of [...pendingCalls.keys()].filter(callId => callId > lastAcceptedId)) {
			settleCall(id, Err(NOT_CALLED));
		}
	};

	const settleCall = (id: number, result: Result<unknown, PeerFailure>) => {
		pendingCalls.get(id)?.(result);
		pendingCalls.delete(id);
	};

	const handleHello = (version: number, identity: PeerIdentity) => {
		if (version !== PROTOCOL_VERSION) {
			context.onMalformedFrame({code: 'frameMalformed', message: `The peer uses protocol version ${version}, this process uses ${PROTOCOL_VERSION}; the connection is closed`});
			socket.destroy();
			return;
		}

		peer = identity;
		stateChanged.notify();
	};

	const handleFrame = (frame: Frame, sizeBytes: number) => {
		context.observeTime(frame[1]);
		if (!peer && frame[0] !== 'hello') {
			context.onMalformedFrame({code: 'frameMalformed', message: 'The first frame is not a hello; the connection is closed'});
			socket.destroy();
			return;
		}

		const from = peer ?? {vm: '', incarnation: ''};
		const [kind] = frame;
		switch (kind) {
			case 'hello': {
				handleHello(frame[2], {vm: frame[3], incarnation: frame[4]});

				break;
			}

			case 'call': {
				if (frame[3] === LIVENESS_METHOD) {
					// Also answered while draining, because calls and streams accepted earlier are still running.
					write(['reply', context.readTime(), frame[2], undefined]);
					break;
				}

				serve(frame[2], async () => serveCall(frame[2], frame[3], frame[4], from));

				break;
			}

			case 'reply': {
				settleCall(frame[2], Ok(frame[3]));

				break;
			}

			case 'refuse': {
				settleCall(frame[2], Err({code: 'peerRefused', message: `${frame[3]}: ${frame[4]}`}));

				break;
			}

			case 'open': {
				serve(frame[2], async () => serveStream(frame[2], frame[3], frame[4], from));

				break;
			}

			case 'goaway': {
				handleGoaway(frame[2]);

				break;
			}

			default: {
				streams.get(`${OPPOSITE_SIDE[frame[3]]}${frame[2]}`)?.handleFrame(frame, sizeBytes);
			}
		}
	};

	const handleEnd = () => {
		if (hasEnded) {
			return;
		}

		hasEnded = true;
		reader.close();
		for (const id of pendingCalls.keys()) {
			settleCall(id, Err(CONNECTION_LOST));
		}

		for (const stream of streams.values()) {
			stream.abort();
		}

		stateChanged.notify();
	};

	const sendProbe = () => {
		write(['call', context.readTime(), ++lastOpenedId, LIVENESS_METHOD, undefined]);
	};

	/** Checks at intervals, while replies are pending, whether the peer is silent: sends liveness probes first, then ends the connection. */
	const scheduleSilenceCheck = () => {
		if (isCheckScheduled || pendingCalls.size === 0) {
			return;
		}

		isCheckScheduled = true;
		const scheduledAt = runtime.now();
		runtime.schedule(SILENCE_CHECK_INTERVAL_MS, () => {
			isCheckScheduled = false;
			silentCheckCount = lastReceivedAt <= scheduledAt && !reader.isPaused() ? silentCheckCount + 1 : 0;
			if (hasEnded || pendingCalls.size === 0) {
				silentCheckCount = 0;
			} else if (silentCheckCount > MAX_SILENT_CHECKS) {
				socket.destroy();
				handleEnd();
			} else {
				if (silentCheckCount > 0) {
					context.onSilence?.(peer ?? {vm: '', incarnation: ''});
					sendProbe();
				}

				scheduleSilenceCheck();
			}
		});
	};

	const reader = createFrameReader(socket, {
		runtime,
		memory: context.memory,
		onFrame: handleFrame,
		onFailure(failure) {
			context.onMalformedFrame(failure);
			socket.destroy();
		},
		keepAlive: sendProbe,
	});

	socket.setNoDelay(true);
	socket.on('data', chunk => {
		lastReceivedAt = runtime.now();
		context.onTransfer?.('received', chunk.length);
		reader.handleData(chunk);
	});
	socket.on('drain', stateChanged.notify);
	socket.on('close', handleEnd);
	socket.on('error', handleEnd);
	void send(['hello', context.readTime(), PROTOCOL_VERSION, context.identity.vm, context.identity.incarnation]);

	return {
		async waitForHello() {
			const hello = await stateChanged.waitUntil(() => hasEnded || peer !== undefined, createDeadline(runtime.now(), HELLO_TIMEOUT_MS));
			if (hello.err) {
				return Err({code: 'peerTimeout', message: 'The peer did not send its hello in time'});
			}

			return peer ? Ok(peer) : Err(CONNECTION_LOST);
		},
		async call(method, body, timeoutMs) {
			if (hasEnded || isPeerDraining) {
				return Err(hasEnded ? CONNECTION_LOST : NOT_CALLED);
			}

			const id = ++lastOpenedId;
			const cancelTimer = runtime.schedule(timeoutMs, () => {
				settleCall(id, Err({code: 'peerTimeout', message: `The peer did not respond to ${method} in time; it may have handled the call`}));
			});
			const response = new Promise<Result<unknown, PeerFailure>>(resolve => {
				pendingCalls.set(id, resolve);
			});
			scheduleSilenceCheck();
			await Promise.race([waitUntilWritable(MAX_FRAME_BYTES), response]);
			if (pendingCalls.has(id) && write(['call', context.readTime(), id, method, body]) === 0) {
				settleCall(id, Err({code: 'frameTooLarge', message: `The body of ${method} is too large for a frame`}));
			}

			const result = await response;
			cancelTimer();
			return result;
		},
		openStream(method, header) {
			const id = ++lastOpenedId;
			const stream = createStreamEnd(id, 'opener');
			void send(['open', context.readTime(), id, method, header]);
			if (hasEnded || isPeerDraining) {
				streams.get(`opener${id}`)?.abort(NOT_ACCEPTED);
			}

			return stream;
		},
		async waitForEnd() {
			await stateChanged.waitUntil(() => hasEnded, NEVER);
		},
		isEndedOrDraining: () => hasEnded || isPeerDraining,
		async drain(deadline) {
			isDraining = true;
			await send(['goaway', context.readTime(), lastServedId]);
			await stateChanged.waitUntil(() => hasEnded || activeTaskCount === 0, deadline);
			socket.end();
			await stateChanged.waitUntil(() => hasEnded, deadline);
		},
		async [Symbol.asyncDispose]() {
			socket.destroy();
			handleEnd();
			await scope[Symbol.asyncDispose]();
		},
	};
};
