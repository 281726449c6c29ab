/** Reads the frames of a peer connection; a long frame is read once there is memory for it. */

import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {createChunkBuffer, type Runtime} from '@guavapitch/core';
import {splitFrames, type Frame, type FrameFailure} from './frames.js';

/** Memory for long frames, which all connections of a process share. */
export type PeerMemory = Readonly<{
	/** Requests memory for a frame to be read; `onGranted` is called when it is there, which may be at once. The returned function gives it back, or withdraws the request. */
	request: (bytes: number, onGranted: () => void) => (() => void);
	/** Counts the bytes of a frame that was written, until the returned function is called. */
	hold: (bytes: number) => (() => void);
}>;

/** Reader of the frames of a connection. */
export type FrameReader = Readonly<{
	/** Handles received bytes. */
	handleData: (chunk: Buffer) => void;
	/** Tells whether reading is paused until there is memory. */
	isPaused: () => boolean;
	/** Gives all memory back; called when the connection has ended. */
	close: () => void;
}>;

/** Dependencies of a frame reader. */
export type FrameReaderContext = Readonly<{
	runtime: Runtime;
	memory: PeerMemory | undefined;
	onFrame: (frame: Frame, sizeBytes: number) => void;
	/** Called when a frame is malformed or too large; nothing more is read. */
	onFailure: (failure: FrameFailure) => void;
	/** Called at intervals while reading is paused: the peer must hear something, or it takes this process for silent. */
	keepAlive: () => void;
}>;

/** Size from which a frame is long, in bytes; statements and answers of the usual size, liveness probes and replies to them are far shorter. */
export const LONG_FRAME_BYTES = 65_536;
/** Interval of signs of life while reading is paused, in milliseconds; shorter than the interval after which a peer counts as silent. */
const KEEP_ALIVE_INTERVAL_MS = 100;
/** Time in which a long frame must arrive once there is memory for it, in milliseconds: twice what 4 MiB take at 7 Mbit/s. Its connection is then closed, as others wait for the memory. */
const LONG_FRAME_TIMEOUT_MS = 10_000;

/** Creates the reader of a connected socket. */
export const createFrameReader = (socket: Socket, context: FrameReaderContext): FrameReader => {
	const {runtime, memory} = context;
	const receivedBytes = createChunkBuffer();
	let release: (() => void) | undefined;
	let cancelTimer: (() => void) | undefined;
	let isWaiting = false;

	const endLongFrame = () => {
		cancelTimer?.();
		cancelTimer = undefined;
		isWaiting = false;
		release?.();
		release = undefined;
	};

	const scheduleKeepAlive = () => {
		cancelTimer = runtime.schedule(KEEP_ALIVE_INTERVAL_MS, () => {
			context.keepAlive();
			scheduleKeepAlive();
		});
	};

	const startLongFrame = (bytes: number, longFrames: PeerMemory) => {
		isWaiting = true;
		socket.pause();
		scheduleKeepAlive();
		release = longFrames.request(bytes, () => {
			isWaiting = false;
			cancelTimer?.();
			cancelTimer = runtime.schedule(LONG_FRAME_TIMEOUT_MS, () => {
				socket.destroy();
			});
			socket.resume();
		});
	};

	return {
		handleData(chunk) {
			receivedBytes.push(chunk);
			const bytes = receivedBytes.take();
			if (!bytes) {
				return;
			}

			const split = splitFrames(bytes);
			if (split.err) {
				context.onFailure(split.val);
				return;
			}

			const {
				frames, sizes, remainder, neededBytes,
			} = split.val;
			receivedBytes.putBack(remainder, neededBytes);
			for (const [index, frame] of frames.entries()) {
				context.onFrame(frame, sizes[index] ?? 0);
			}

			if (frames.length > 0) {
				endLongFrame();
			}

			if (memory && !release && neededBytes > LONG_FRAME_BYTES && !socket.destroyed) {
				startLongFrame(neededBytes, memory);
			}
		},
		isPaused: () => isWaiting,
		close: endLongFrame,
	};
};
