/** Connection pool of one target: connections are limited, opened in advance and reused. */

import {
	createDeadline, createNotifier, createScope, Err, isPast, Ok, PAST, type Deadline, type Failure, type Result, type Runtime,
} from '@guavapitch/core';

/** Failure to acquire a connection; nothing has run. */
export type PoolFailure = Failure<'targetUnreachable' | 'connectionsExhausted'>;

/** A connection that can be pooled. */
export type Poolable = AsyncDisposable & Readonly<{
	/** Tells whether the connection has ended. */
	isEnded: () => boolean;
	/** Removes the session state of earlier users; resolves to `false` if that failed. */
	reset: () => Promise<boolean>;
}>;

/** Exclusive use of a pooled connection. */
export type ConnectionHandle<Connection> = Readonly<{
	connection: Connection;
	/** Releases the connection: a dirty one is reset before reuse, a broken one is closed. Further calls do nothing. */
	release: (state: 'clean' | 'dirty' | 'broken') => void;
}>;

/** Settings of a pool. */
export type PoolSettings<Connection> = Readonly<{
	/** Maximum number of open connections. */
	maxOpen: number;
	/** Number of idle connections that the pool tries to keep ready. */
	minIdle: number;
	/** Opens a connection. */
	dial: () => Promise<Result<Connection, PoolFailure>>;
	/** Called when a connection may have become available. */
	onAvailable: () => void;
	/** Called when opening a connection fails after it worked, with the error, and when it works again, with an empty message. */
	onReachabilityChange: (isReachable: boolean, message: string) => void;
}>;

/** Connection pool. Disposing of it closes all connections. */
export type Pool<Connection> = AsyncDisposable & Readonly<{
	/** Acquires a connection, waiting for one to be released or opened; fails at the deadline, or early if the target is unreachable. */
	acquire: (deadline: Deadline) => Promise<Result<ConnectionHandle<Connection>, PoolFailure>>;
	/** Tells whether a connection is idle or the limit allows opening one, even if the pool pauses after a failed dial. */
	hasCapacity: () => boolean;
	getOpenCount: () => number;
	getIdleCount: () => number;
}>;

const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 500;

/** Creates a pool and starts to open `minIdle` connections. After a failed dial, the next one waits for a backoff with jitter. */
export const createPool = <Connection extends Poolable>(settings: PoolSettings<Connection>, runtime: Runtime): Pool<Connection> => {
	const idleConnections: Connection[] = [];
	const changed = createNotifier(runtime);
	const scope = createScope(() => undefined);
	let openCount = 0;
	let diallingCount = 0;
	let waitingCount = 0;
	let isReachable = true;
	let nextDialAt: Deadline = PAST;
	let backoffMs = MIN_BACKOFF_MS;

	const popIdle = (): Connection | undefined => {
		while (true) {
			const connection = idleConnections.pop();
			if (!connection?.isEnded()) {
				return connection;
			}

			openCount--;
		}
	};

	const notifyAvailable = () => {
		changed.notify();
		settings.onAvailable();
	};

	const recordDialFailure = (message: string) => {
		nextDialAt = createDeadline(runtime.now(), backoffMs * (0.5 + runtime.random()));
		backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
		if (isReachable) {
			isReachable = false;
			settings.onReachabilityChange(false, message);
		}
	};

	const recordDialSuccess = () => {
		backoffMs = MIN_BACKOFF_MS;
		if (!isReachable) {
			isReachable = true;
			settings.onReachabilityChange(true, '');
		}
	};

	const dialConnection = async () => {
		const dialled = await settings.dial();
		diallingCount--;
		if (dialled.err) {
			recordDialFailure(dialled.val.message);
		} else if (scope.signal.aborted) {
			await dialled.val[Symbol.asyncDispose]();
		} else {
			recordDialSuccess();
			openCount++;
			idleConnections.push(dialled.val);
		}

		notifyAvailable();
	};

	const canDial = () => openCount + diallingCount < settings.maxOpen && isPast(nextDialAt, runtime.now());

	const dialAhead = () => {
		const missingCount = waitingCount + settings.minIdle - idleConnections.length - diallingCount;
		for (let count = 0; count < missingCount && canDial() && !scope.signal.aborted; count++) {
			diallingCount++;
			scope.run(dialConnection);
		}
	};

	const createHandle = (connection: Connection): ConnectionHandle<Connection> => {
		let isReleased = false;
		const closeConnection = async () => {
			openCount--;
			await connection[Symbol.asyncDispose]();
			dialAhead();
			notifyAvailable();
		};

		const returnToIdle = () => {
			idleConnections.push(connection);
			notifyAvailable();
		};

		const resetConnection = async () => {
			const wasReset = await connection.reset();
			if (wasReset && !scope.signal.aborted) {
				returnToIdle();
			} else {
				await closeConnection();
			}
		};

		return {
			connection,
			release(state) {
				if (isReleased) {
					return;
				}

				isReleased = true;
				if (state === 'broken' || connection.isEnded() || scope.signal.aborted) {
					scope.run(closeConnection);
				} else if (state === 'dirty') {
					scope.run(resetConnection);
				} else {
					returnToIdle();
				}
			},
		};
	};

	const waitForIdle = async (deadline: Deadline): Promise<Connection | undefined> => {
		while (true) {
			const connection = popIdle();
			const mustStop = isPast(deadline, runtime.now()) || scope.signal.aborted;
			if (connection !== undefined || mustStop) {
				return connection;
			}

			dialAhead();
			const recheckAt = isPast(nextDialAt, runtime.now()) ? deadline : Math.min(deadline, nextDialAt) as Deadline;
			await changed.waitForChange(recheckAt);
			if (!isReachable) {
				return popIdle();
			}
		}
	};

	dialAhead();
	return {
		async acquire(deadline) {
			waitingCount++;
			const connection = await waitForIdle(deadline);
			waitingCount--;
			dialAhead();
			if (connection) {
				return Ok(createHandle(connection));
			}

			return isReachable
				? Err({code: 'connectionsExhausted', message: 'No connection became available before the deadline'})
				: Err({code: 'targetUnreachable', message: 'The target is unreachable'});
		},
		hasCapacity: () => idleConnections.length > 0 || openCount + diallingCount < settings.maxOpen,
		getOpenCount: () => openCount,
		getIdleCount: () => idleConnections.length,
		async [Symbol.asyncDispose]() {
			const tasksEnded = scope[Symbol.asyncDispose]();
			changed.notify();
			await tasksEnded;
			await Promise.all(idleConnections.splice(0).map(async connection => connection[Symbol.asyncDispose]()));
		},
	};
};
