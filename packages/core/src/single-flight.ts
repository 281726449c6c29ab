/** Shares one running call between all that ask for it. */

/** Creates a function whose callers get the result of a call that began after they asked. */
export const createSingleFlight = <Value>(call: () => Promise<Value>): (() => Promise<Value>) => {
	let running: Promise<Value> | undefined;
	let next: Promise<Value> | undefined;

	const start = async (): Promise<Value> => {
		const flight = call();
		running = flight;
		try {
			return await flight;
		} finally {
			running = undefined;
		}
	};

	const startAfter = async (flight: Promise<Value>): Promise<Value> => {
		await flight.catch(() => undefined);
		next = undefined;
		return start();
	};

	return async () => {
		if (!running) {
			return start();
		}

		next ??= startAfter(running);
		return next;
	};
};
