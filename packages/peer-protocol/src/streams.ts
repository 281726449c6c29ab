/** Streams multiplexed over one peer connection, with credit-based flow control. */

import {createConditionVariable, createQueue, type Stream} from '@guavapitch/core';
import type {Frame, FrameTime, StreamSide} from './frames.js';

/** Flow-control window: number of bytes that may be sent before the receiver consumes an item. The last item sent may exceed it. */
export const WINDOW_BYTES = 262_144;

/** A stream, and the functions through which its connection controls it. */
export type MultiplexedStream = Readonly<{
	/** The stream as the task that reads and writes it sees it. */
	stream: Stream<unknown, unknown>;
	/** Handles a frame received for this stream. */
	accept: (frame: Frame, bytes: number) => void;
	/** Ends the stream because the connection was lost or the other end was closed. */
	abort: (reason?: string) => void;
}>;

/** Functions of the connection that a stream depends on. */
export type StreamConnection = Readonly<{
	/** Writes a frame without waiting; returns its size in bytes. */
	write: (frame: Frame) => number;
	/** Waits while the connection's write buffer is full. */
	waitForDrain: () => Promise<void>;
	readTime: () => FrameTime;
	/** Removes the stream from the connection. */
	remove: () => void;
}>;

type ReceivedItem = Readonly<{item: unknown; bytes: number}>;

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
	let sentFinish = false;
	let receivedFinish = false;
	const creditAdded = createConditionVariable();

	const abort = (reason?: string) => {
		if (!receivedFinish) {
			closedController.abort(reason);
		}

		incoming.close();
		creditAdded.notifyAll();
	};

	const returnCredit = (bytes: number) => {
		consumedBytes += bytes;
		if (consumedBytes >= WINDOW_BYTES / 2 && !receivedFinish) {
			connection.write(['credit', connection.readTime(), id, side, consumedBytes]);
			consumedBytes = 0;
		}
	};

	const finish = () => {
		if (!sentFinish) {
			sentFinish = true;
			connection.write(['finish', connection.readTime(), id, side]);
		}
	};

	return {
		abort,
		accept(frame, bytes) {
			switch (frame[0]) {
				case 'item': {
					incoming.push({item: frame[4], bytes});

					break;
				}

				case 'credit': {
					sendCreditBytes += frame[4];
					creditAdded.notifyAll();

					break;
				}

				case 'finish': {
					receivedFinish = true;
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
				await connection.waitForDrain();
			},
			async receive() {
				const received = await incoming.take();
				if (received) {
					returnCredit(received.bytes);
				}

				return received?.item;
			},
			finish,
			async [Symbol.asyncDispose]() {
				if (sentFinish && receivedFinish) {
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
