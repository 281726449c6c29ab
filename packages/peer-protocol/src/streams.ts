/** Streams of items inside one peer connection, with credit for back-pressure. */

import {createGate, createQueue, type Stream} from '@guavapitch/core';
import type {Frame, FrameTime, StreamSide} from './frames.js';

/** Items that may travel before the receiver has taken one. */
export const WINDOW_ITEMS = 16;

/** A stream with the ends that the connection drives. */
export type WireStream = Readonly<{
	/** The end that the task holds. */
	stream: Stream<unknown, unknown>;
	/** Takes a frame that arrived for this stream. */
	accept: (frame: Frame) => void;
	/** Ends the stream because the connection or the other end is gone. */
	breakOff: (reason?: string) => void;
}>;

/** Creates one end of a stream; `send` writes a frame, `forget` drops the stream from the connection. */
export const createWireStream = (
	id: number,
	side: StreamSide,
	link: Readonly<{send: (frame: Frame) => Promise<void>; readTime: () => FrameTime; forget: () => void}>,
): WireStream => {
	const incoming = createQueue<unknown>();
	const gone = new AbortController();
	let credit = WINDOW_ITEMS;
	let taken = 0;
	let sentFinish = false;
	let receivedFinish = false;
	const credited = createGate();

	const breakOff = (reason?: string) => {
		if (!receivedFinish) {
			gone.abort(reason);
		}

		incoming.close();
		credited.open();
	};

	const giveCredit = async () => {
		taken++;
		if (taken >= WINDOW_ITEMS / 2 && !receivedFinish) {
			const items = taken;
			taken = 0;
			await link.send(['credit', link.readTime(), id, side, items]);
		}
	};

	const finish = () => {
		if (!sentFinish) {
			sentFinish = true;
			void link.send(['finish', link.readTime(), id, side]);
		}
	};

	return {
		breakOff,
		accept(frame) {
			switch (frame[0]) {
				case 'item': {
					incoming.push(frame[4]);

					break;
				}

				case 'credit': {
					credit += frame[4];
					credited.open();

					break;
				}

				case 'finish': {
					receivedFinish = true;
					incoming.close();

					break;
				}

				default: {
					breakOff();
					link.forget();
				}
			}
		},
		stream: {
			signal: gone.signal,
			async send(item) {
				while (credit === 0 && !gone.signal.aborted) {
					await credited.wait();
				}

				credit--;
				await link.send(['item', link.readTime(), id, side, item]);
			},
			async receive() {
				const item = await incoming.take();
				if (item !== undefined) {
					await giveCredit();
				}

				return item;
			},
			finish,
			async [Symbol.asyncDispose]() {
				if (sentFinish && receivedFinish) {
					link.forget();
					return;
				}

				link.forget();
				incoming.close();
				await link.send(['reset', link.readTime(), id, side]);
			},
		},
	};
};
