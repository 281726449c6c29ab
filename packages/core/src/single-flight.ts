/** Single flight: concurrent requests share one call and its result. */

/** Creates a function whose concurrent invocations share one call; each gets the result of a call that started no earlier than its own invocation. */
export const createSingleFlight = <Value>(call: () => Promise<Value>): (() => Promise<Value>) => {
	let runningCall: Promise<Value> | undefined;
	let nextCall: Promise<Value> | undefined;

	const start = async (): Promise<Value> => {
		const promise = call();
		runningCall = promise;
		try {
			return await promise;
		} finally {
			runningCall = undefined;
		}
	};

	const startAfter = async (promise: Promise<Value>): Promise<Value> => {
		await promise.catch(() => undefined);
		nextCall = undefined;
		return start();
	};

	return async () => {
		if (!runningCall) {
			return start();
		}

		nextCall ??= startAfter(runningCall);
		return nextCall;
	};
};
