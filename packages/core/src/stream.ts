/** Two-way streams between two tasks, in one process or over the inner protocol. */

import {createGate} from './gate.js';
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

const WINDOW_ITEMS = 8;
const GONE = 'the other end is gone';

const createHalf = <Item>(): Half<Item> => {
	const items = createQueue<Item>();
	const taken = createGate();
	let finished = false;
	return {
		async send(item) {
			items.push(item);
			while (items.getSize() > WINDOW_ITEMS && !finished) {
				await taken.wait();
			}
		},
		async receive() {
			const item = await items.take();
			taken.open();
			return item;
		},
		finish() {
			finished = true;
			items.close();
			taken.open();
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

/** Creates both ends of a stream inside one process. */
export const createStreamPair = <Left, Right>(): readonly [Stream<Left, Right>, Stream<Right, Left>] => {
	const toRight = createHalf<Left>();
	const toLeft = createHalf<Right>();
	const left = new AbortController();
	const right = new AbortController();
	return [createEnd(toRight, toLeft, left, right), createEnd(toLeft, toRight, right, left)];
};
