/** Bidirectional streams between two tasks, in one process or over the peer protocol. */

import {createConditionVariable} from './condition-variable.js';
import {createQueue} from './queue.js';

/** One end of a bidirectional stream. */
export type Stream<Out, In> = AsyncDisposable & Readonly<{
	/** Sends an item; waits while the other end has more unread bytes than the window of the stream allows. Does not fail if the other end is closed: the item is then discarded. */
	send: (item: Out) => Promise<void>;
	/** Waits for the next item; resolves to `undefined` when the other end has finished or is closed. */
	receive: () => Promise<In | undefined>;
	/** Signals to the other end that no more items follow. */
	finish: () => void;
	/** Aborts when the other end is closed before it has finished; the reason is `NOT_ACCEPTED` if it is known to have taken no item. */
	signal: AbortSignal;
}>;

type Direction<Item> = Readonly<{
	send: (item: Item) => Promise<void>;
	receive: () => Promise<Item | undefined>;
	finish: () => void;
}>;

/** Abort reason of a stream of which the other end is known to have taken no item. */
export const NOT_ACCEPTED = 'the other end did not accept the stream';

/** Number of unread bytes in one direction above which the sender waits. */
const WINDOW_BYTES = 262_144;
const OTHER_END_CLOSED = 'the other end closed the stream';

const createDirection = <Item>(measureBytes: (item: Item) => number): Direction<Item> => {
	const items = createQueue<Item>();
	let bufferedBytes = 0;
	const itemTaken = createConditionVariable();
	let isFinished = false;
	return {
		async send(item) {
			items.push(item);
			bufferedBytes += measureBytes(item);
			while (bufferedBytes > WINDOW_BYTES && !isFinished) {
				await itemTaken.wait();
			}
		},
		async receive() {
			const item = await items.take();
			bufferedBytes -= item === undefined ? 0 : measureBytes(item);
			itemTaken.notifyAll();
			return item;
		},
		finish() {
			isFinished = true;
			items.close();
			itemTaken.notifyAll();
		},
	};
};

const createEnd = <Out, In>(outgoing: Direction<Out>, incoming: Direction<In>, ownController: AbortController, otherController: AbortController): Stream<Out, In> => ({
	send: outgoing.send,
	receive: incoming.receive,
	finish: outgoing.finish,
	signal: ownController.signal,
	async [Symbol.asyncDispose]() {
		// An explicit reason avoids the cost of creating an exception for each stream.
		otherController.abort(OTHER_END_CLOSED);
		outgoing.finish();
		incoming.finish();
	},
});

/** Creates both ends of a stream within one process; `measureBytes` returns the size of an item in bytes. */
export const createStreamPair = <Left, Right>(measureBytes: (item: Left | Right) => number): readonly [Stream<Left, Right>, Stream<Right, Left>] => {
	const toRight = createDirection<Left>(measureBytes);
	const toLeft = createDirection<Right>(measureBytes);
	const left = new AbortController();
	const right = new AbortController();
	return [createEnd(toRight, toLeft, left, right), createEnd(toLeft, toRight, right, left)];
};
