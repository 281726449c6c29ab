/** Shares one call among concurrent callers. */

/** Creates a function whose concurrent callers share the result of one call, which starts no earlier than their own request. */
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
