/** Unbounded hand-over between two tasks; bounds are kept by whoever sends, by credit. */

/** Queue from one task to another. */
export type Queue<Item> = Readonly<{
	/** Adds an item; ignored after `close`. */
	push: (item: Item) => void;
	/** Waits for the next item; `undefined` after the queue is closed and empty. */
	take: () => Promise<Item | undefined>;
	/** Ends the queue after the items already in it. */
	close: () => void;
}>;

/** Creates an empty queue. */
export const createQueue = <Item>(): Queue<Item> => {
	const items: Item[] = [];
	const takers: Array<(item: Item | undefined) => void> = [];
	let closed = false;
	return {
		push(item) {
			if (closed) {
				return;
			}

			const taker = takers.shift();
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

			if (closed) {
				return undefined;
			}

			return new Promise(resolve => {
				takers.push(resolve);
			});
		},
		close() {
			closed = true;
			for (const taker of takers.splice(0)) {
				taker(undefined);
			}
		},
	};
};
