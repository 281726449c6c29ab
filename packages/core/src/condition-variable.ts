/** A gate on which tasks wait until another task opens it once. */

/** Wakes the tasks that wait at this moment. */
export type ConditionVariable = Readonly<{
	/** Waits for the next `open`. */
	wait: () => Promise<void>;
	/** Wakes every waiting task. */
	notifyAll: () => void;
}>;

/** Creates a gate. */
export const createConditionVariable = (): ConditionVariable => {
	let waiting: Array<() => void> = [];
	return {
		async wait() {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		},
		notifyAll() {
			const woken = waiting;
			waiting = [];
			for (const wake of woken) {
				wake();
			}
		},
	};
};
