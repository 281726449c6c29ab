/** Streams multiplexed over one peer connection, with credit-based flow control. */

import {createConditionVariable, createQueue, type Stream} from '@guavapitch/core';
import type {Frame, FrameTime, StreamSide} from './frames.js';

/** Flow-control window: number of bytes that may be sent before the receiver consumes an item. The last item sent may exceed it. */
export const WINDOW_BYTES = 262_144;

/** A stream, and the functions through which its connection controls it. */
export type MultiplexedStream = Readonly<{
	/** The end of the stream that the local task reads and writes. */
	stream: Stream<unknown, unknown>;
	/** Handles a frame received for this stream; the size includes the length prefix. */
	handleFrame: (frame: Frame, sizeBytes: number) => void;
	/** Ends the stream because the connection was lost or the other end was closed. */
	abort: (reason?: string) => void;
}>;

/** Functions of the connection that a stream depends on. */
export type StreamConnection = Readonly<{
	/** Writes a frame without waiting; returns its size in bytes, or 0 if the connection has ended. */
	write: (frame: Frame) => number;
	/** Waits while the connection's write buffer is full. */
	waitUntilWritable: () => Promise<void>;
	readTime: () => FrameTime;
	/** Removes the stream from the connection. */
	remove: () => void;
}>;

type ReceivedItem = Readonly<{item: unknown; sizeBytes: number}>;

/** Creates one end of a stream. */
export const createMultiplexedStream = (
	id: number,
	side: StreamSide,
	connection: StreamConnection,
): MultiplexedStream => {
	const incoming = createQueue<ReceivedItem>();
	const closedController = new AbortController();
	let sendCreditBytes = WINDOW_BYTES;
	let consumedBytes = 0;
	let hasSentFinish = false;
	let hasReceivedFinish = false;
	const creditAdded = createConditionVariable();

	const abort = (reason?: string) => {
		if (!hasReceivedFinish) {
			closedController.abort(reason);
		}

		incoming.close();
		creditAdded.notifyAll();
	};

	const returnCredit = (sizeBytes: number) => {
		consumedBytes += sizeBytes;
		if (consumedBytes >= WINDOW_BYTES / 2 && !hasReceivedFinish) {
			connection.write(['credit', connection.readTime(), id, side, consumedBytes]);
			consumedBytes = 0;
		}
	};

	const finish = () => {
		if (!hasSentFinish) {
			hasSentFinish = true;
			connection.write(['finish', connection.readTime(), id, side]);
		}
	};

	return {
		abort,
		handleFrame(frame, sizeBytes) {
			switch (frame[0]) {
				case 'item': {
					incoming.push({item: frame[4], sizeBytes});

					break;
				}

				case 'credit': {
					sendCreditBytes += frame[4];
					creditAdded.notifyAll();

					break;
				}

				case 'finish': {
					hasReceivedFinish = true;
					incoming.close();

					break;
				}

				default: {
					abort();
					connection.remove();
				}
			}
		},
		stream: {
			signal: closedController.signal,
			async send(item) {
				while (sendCreditBytes <= 0 && !closedController.signal.aborted) {
					await creditAdded.wait();
				}

				sendCreditBytes -= connection.write(['item', connection.readTime(), id, side, item]);
				await connection.waitUntilWritable();
			},
			async receive() {
				const received = await incoming.take();
				if (received) {
					returnCredit(received.sizeBytes);
				}

				return received?.item;
			},
			finish,
			async [Symbol.asyncDispose]() {
				if (hasSentFinish && hasReceivedFinish) {
					connection.remove();
					return;
				}

				connection.remove();
				incoming.close();
				connection.write(['reset', connection.readTime(), id, side]);
			},
		},
	};
};
