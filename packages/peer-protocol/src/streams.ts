/** Streams of items inside one peer connection, with credit for back-pressure. */

import {createConditionVariable, createQueue, type Stream} from '@guavapitch/core';
import type {Frame, FrameTime, StreamSide} from './frames.js';

/** Bytes that may travel before the receiver has taken an item; one item more may be on its way. */
export const WINDOW_BYTES = 262_144;

/** A stream with the ends that the connection drives. */
export type MultiplexedStream = Readonly<{
	/** The end that the task holds. */
	stream: Stream<unknown, unknown>;
	/** Takes a frame that arrived for this stream. */
	accept: (frame: Frame, bytes: number) => void;
	/** Ends the stream because the connection or the other end is gone. */
	abort: (reason?: string) => void;
}>;

/** What a stream needs of its connection. */
export type StreamConnection = Readonly<{
	/** Writes a frame without waiting; gives its size in bytes. */
	write: (frame: Frame) => number;
	/** Waits while the connection has too much to write. */
	waitForDrain: () => Promise<void>;
	readTime: () => FrameTime;
	/** Drops the stream from the connection. */
	remove: () => void;
}>;

type Arrived = Readonly<{item: unknown; bytes: number}>;

/** Creates one end of a stream. */
export const createMultiplexedStream = (
	id: number,
	side: StreamSide,
	link: StreamConnection,
): MultiplexedStream => {
	const incoming = createQueue<Arrived>();
	const gone = new AbortController();
	let creditBytes = WINDOW_BYTES;
	let takenBytes = 0;
	let sentFinish = false;
	let receivedFinish = false;
	const credited = createConditionVariable();

	const breakOff = (reason?: string) => {
		if (!receivedFinish) {
			gone.abort(reason);
		}

		incoming.close();
		credited.notifyAll();
	};

	const giveCredit = (bytes: number) => {
		takenBytes += bytes;
		if (takenBytes >= WINDOW_BYTES / 2 && !receivedFinish) {
			link.write(['credit', link.readTime(), id, side, takenBytes]);
			takenBytes = 0;
		}
	};

	const finish = () => {
		if (!sentFinish) {
			sentFinish = true;
			link.write(['finish', link.readTime(), id, side]);
		}
	};

	return {
		abort: breakOff,
		accept(frame, bytes) {
			switch (frame[0]) {
				case 'item': {
					incoming.push({item: frame[4], bytes});

					break;
				}

				case 'credit': {
					creditBytes += frame[4];
					credited.notifyAll();

					break;
				}

				case 'finish': {
					receivedFinish = true;
					incoming.close();

					break;
				}

				default: {
					breakOff();
					link.remove();
				}
			}
		},
		stream: {
			signal: gone.signal,
			async send(item) {
				while (creditBytes <= 0 && !gone.signal.aborted) {
					await credited.wait();
				}

				creditBytes -= link.write(['item', link.readTime(), id, side, item]);
				await link.waitForDrain();
			},
			async receive() {
				const arrived = await incoming.take();
				if (arrived) {
					giveCredit(arrived.bytes);
				}

				return arrived?.item;
			},
			finish,
			async [Symbol.asyncDispose]() {
				if (sentFinish && receivedFinish) {
					link.remove();
					return;
				}

				link.remove();
				incoming.close();
				link.write(['reset', link.readTime(), id, side]);
			},
		},
	};
};
