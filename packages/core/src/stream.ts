/** Two-way streams between two tasks, in one process or over the inner protocol. */

import {createConditionVariable} from './condition-variable.js';
import {createQueue} from './queue.js';

/** One end of a two-way stream. */
export type Stream<Out, In> = AsyncDisposable & Readonly<{
	/** Sends an item; waits while the other end is too far behind. */
	send: (item: Out) => Promise<void>;
	/** Waits for an item; `undefined` when the other end has finished or is gone. */
	receive: () => Promise<In | undefined>;
	/** Tells the other end that nothing more will be sent. */
	finish: () => void;
	/** Aborts when the other end is gone before it finished; with `NOT_ACCEPTED` as reason when it certainly took nothing. */
	signal: AbortSignal;
}>;

type Half<Item> = Readonly<{
	send: (item: Item) => Promise<void>;
	receive: () => Promise<Item | undefined>;
	finish: () => void;
}>;

/** Reason of the signal of a stream that the other end certainly did not accept. */
export const NOT_ACCEPTED = 'the other end did not accept the stream';

/** Bytes that wait in one direction before the sender waits. */
const WINDOW_BYTES = 262_144;
const GONE = 'the other end is gone';

const createHalf = <Item>(measure: (item: Item) => number): Half<Item> => {
	const items = createQueue<Item>();
	let waitingBytes = 0;
	const taken = createConditionVariable();
	let finished = false;
	return {
		async send(item) {
			items.push(item);
			waitingBytes += measure(item);
			while (waitingBytes > WINDOW_BYTES && !finished) {
				await taken.wait();
			}
		},
		async receive() {
			const item = await items.take();
			waitingBytes -= item === undefined ? 0 : measure(item);
			taken.notifyAll();
			return item;
		},
		finish() {
			finished = true;
			items.close();
			taken.notifyAll();
		},
	};
};

const createEnd = <Out, In>(out: Half<Out>, incoming: Half<In>, own: AbortController, other: AbortController): Stream<Out, In> => ({
	send: out.send,
	receive: incoming.receive,
	finish: out.finish,
	signal: own.signal,
	async [Symbol.asyncDispose]() {
		// A reason of our own spares the cost of an exception for each stream.
		other.abort(GONE);
		out.finish();
		incoming.finish();
	},
});

/** Creates both ends of a stream inside one process; `measure` gives the size of an item in bytes. */
export const createStreamPair = <Left, Right>(measure: (item: Left | Right) => number): readonly [Stream<Left, Right>, Stream<Right, Left>] => {
	const toRight = createHalf<Left>(measure);
	const toLeft = createHalf<Right>(measure);
	const left = new AbortController();
	const right = new AbortController();
	return [createEnd(toRight, toLeft, left, right), createEnd(toLeft, toRight, right, left)];
};
