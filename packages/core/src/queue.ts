/** Unbounded queue between two tasks; the sender limits its length by credit. */

/** Queue from one task to another. */
export type Queue<Item> = Readonly<{
	/** Adds an item; does nothing after `close`. */
	push: (item: Item) => void;
	/** Waits for the next item; resolves to `undefined` once the queue is closed and empty. */
	take: () => Promise<Item | undefined>;
	/** Closes the queue; items already in it can still be taken. */
	close: () => void;
}>;

/** Creates an empty queue. */
export const createQueue = <Item>(): Queue<Item> => {
	const items: Item[] = [];
	const waitingTakers: Array<(item: Item | undefined) => void> = [];
	let isClosed = false;
	return {
		push(item) {
			if (isClosed) {
				return;
			}

			const taker = waitingTakers.shift();
			if (taker) {
				taker(item);
			} else {
				items.push(item);
			}
		},
		async take() {
			if (items.length > 0) {
				return items.shift();
			}

			if (isClosed) {
				return undefined;
			}

			return new Promise(resolve => {
				waitingTakers.push(resolve);
			});
		},
		close() {
			isClosed = true;
			for (const taker of waitingTakers.splice(0)) {
				taker(undefined);
			}
		},
	};
};
