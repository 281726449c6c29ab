/** A condition variable, on which tasks wait until another task notifies them. */

/** Wakes the tasks that are waiting when `notifyAll` is called. */
export type ConditionVariable = Readonly<{
	/** Waits for the next `notifyAll`. */
	wait: () => Promise<void>;
	/** Wakes every waiting task. */
	notifyAll: () => void;
}>;

/** Creates a condition variable. */
export const createConditionVariable = (): ConditionVariable => {
	let waiters: Array<() => void> = [];
	return {
		async wait() {
			await new Promise<void>(resolve => {
				waiters.push(resolve);
			});
		},
		notifyAll() {
			const woken = waiters;
			waiters = [];
			for (const wake of woken) {
				wake();
			}
		},
	};
};
