/** Log of the changes that followers of a vm may still need: the last one of each key. */

import type {StoreChange} from './entries.js';

/** Log of changes, which are numbered from 1 on. */
export type ChangeLog = Readonly<{
	/** Adds changes; one that another change of the same key follows is no longer needed. */
	add: (changes: readonly StoreChange[]) => void;
	/** Returns the number of the last change; 0 if there is none. */
	getLastNumber: () => number;
	/** Tells whether the log holds the last change of every key that has changed after the one with a number. */
	isCompleteAfter: (number: number) => boolean;
	/** Returns the last change of every key that has changed after the one with a number. */
	listAfter: (number: number) => readonly StoreChange[];
}>;

type LoggedChange = Readonly<{number: number; change: StoreChange}>;

/** Creates an empty log that holds the changes of at most `maxKeys` keys. */
export const createChangeLog = (maxKeys: number): ChangeLog => {
	/** The last change of each key, in the order of their numbers. */
	const changesByKey = new Map<string, LoggedChange>();
	let lastNumber = 0;
	/** Number of the latest change that was dropped although it is the last one of its key. */
	let droppedNumber = 0;

	const dropOldest = () => {
		const [oldest] = changesByKey;
		if (oldest) {
			droppedNumber = oldest[1].number;
			changesByKey.delete(oldest[0]);
		}
	};

	return {
		add(changes) {
			for (const change of changes) {
				lastNumber++;
				changesByKey.delete(change.key);
				changesByKey.set(change.key, {number: lastNumber, change});
			}

			while (changesByKey.size > maxKeys) {
				dropOldest();
			}
		},
		getLastNumber: () => lastNumber,
		isCompleteAfter: number => number >= droppedNumber && number <= lastNumber,
		listAfter: number => [...changesByKey.values()].flatMap(logged => logged.number > number ? [logged.change] : []),
	};
};
