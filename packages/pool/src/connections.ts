/** Scarce connections to one target, opened ahead of need and reused. */

import {
	createDeadline, createNotifier, createScope, Err, isPast, Ok, PAST, type Deadline, type Failure, type Result, type World,
} from '@guavapitch/core';

/** Failure of taking a connection; nothing has run. */
export type PoolFailure = Failure<'targetUnreachable' | 'connectionsExhausted'>;

/** A connection that the pool can keep. */
export type Poolable = AsyncDisposable & Readonly<{
	/** Tells whether the connection has ended. */
	isEnded: () => boolean;
	/** Removes all state of earlier users; `false` if that failed. */
	reset: () => Promise<boolean>;
}>;

/** A connection on loan. */
export type ConnectionHandle<Connection> = Readonly<{
	connection: Connection;
	/** Gives the connection back; a dirty one is reset first. */
	release: (state: 'clean' | 'dirty' | 'broken') => void;
}>;

/** Settings of a pool. */
export type PoolSettings<Connection> = Readonly<{
	/** Connections open at a time. */
	maxOpen: number;
	/** Connections kept open ahead of need. */
	minIdle: number;
	dial: () => Promise<Result<Connection, PoolFailure>>;
	/** Called when a connection has become free. */
	onAvailable: () => void;
	/** Called when a dial has failed or worked again. */
	onReachabilityChange: (reachable: boolean, message: string) => void;
}>;

/** Pool of connections. */
export type Pool<Connection> = AsyncDisposable & Readonly<{
	/** Takes a connection, waiting for a dial if needed. */
	acquire: (deadline: Deadline) => Promise<Result<ConnectionHandle<Connection>, PoolFailure>>;
	/** Tells whether a connection is idle or may be opened. */
	hasCapacity: () => boolean;
	getOpenCount: () => number;
	getIdleCount: () => number;
}>;

const FIRST_BACKOFF_MS = 20;
const LONGEST_BACKOFF_MS = 500;

/** Creates a pool and begins to open its spare connections. */
export const createPool = <Connection extends Poolable>(settings: PoolSettings<Connection>, world: World): Pool<Connection> => {
	const idle: Connection[] = [];
	const changed = createNotifier(world);
	const scope = createScope(() => undefined);
	let open = 0;
	let dialling = 0;
	let waiting = 0;
	let reachable = true;
	let nextDialAt: Deadline = PAST;
	let backoffMs = FIRST_BACKOFF_MS;

	const takeIdle = (): Connection | undefined => {
		while (true) {
			const connection = idle.pop();
			if (!connection?.isEnded()) {
				return connection;
			}

			open--;
		}
	};

	const announce = () => {
		changed.notify();
		settings.onAvailable();
	};

	const noteFailure = (message: string) => {
		nextDialAt = createDeadline(world.now(), backoffMs * (0.5 + world.random()));
		backoffMs = Math.min(LONGEST_BACKOFF_MS, backoffMs * 2);
		if (reachable) {
			reachable = false;
			settings.onReachabilityChange(false, message);
		}
	};

	const noteSuccess = () => {
		backoffMs = FIRST_BACKOFF_MS;
		if (!reachable) {
			reachable = true;
			settings.onReachabilityChange(true, '');
		}
	};

	const dialOne = async () => {
		const dialled = await settings.dial();
		dialling--;
		if (dialled.err) {
			noteFailure(dialled.val.message);
		} else if (scope.signal.aborted) {
			await dialled.val[Symbol.asyncDispose]();
		} else {
			noteSuccess();
			open++;
			idle.push(dialled.val);
		}

		announce();
	};

	const mayDial = () => open + dialling < settings.maxOpen && isPast(nextDialAt, world.now());

	const dialAhead = () => {
		const wanted = waiting + settings.minIdle - idle.length - dialling;
		for (let count = 0; count < wanted && mayDial() && !scope.signal.aborted; count++) {
			dialling++;
			scope.run(dialOne);
		}
	};

	const lend = (connection: Connection): ConnectionHandle<Connection> => {
		let given = false;
		const drop = async () => {
			open--;
			await connection[Symbol.asyncDispose]();
			dialAhead();
			announce();
		};

		const keep = () => {
			idle.push(connection);
			announce();
		};

		const reset = async () => {
			const clean = await connection.reset();
			if (clean && !scope.signal.aborted) {
				keep();
			} else {
				await drop();
			}
		};

		return {
			connection,
			release(state) {
				if (given) {
					return;
				}

				given = true;
				if (state === 'broken' || connection.isEnded() || scope.signal.aborted) {
					scope.run(drop);
				} else if (state === 'dirty') {
					scope.run(reset);
				} else {
					keep();
				}
			},
		};
	};

	const waitForIdle = async (deadline: Deadline): Promise<Connection | undefined> => {
		while (true) {
			const connection = takeIdle();
			const isOver = isPast(deadline, world.now()) || scope.signal.aborted;
			if (connection !== undefined || isOver) {
				return connection;
			}

			dialAhead();
			const wakeAt = isPast(nextDialAt, world.now()) ? deadline : Math.min(deadline, nextDialAt) as Deadline;
			await changed.waitForChange(wakeAt);
			if (!reachable) {
				return takeIdle();
			}
		}
	};

	dialAhead();
	return {
		async acquire(deadline) {
			waiting++;
			const connection = await waitForIdle(deadline);
			waiting--;
			dialAhead();
			if (connection) {
				return Ok(lend(connection));
			}

			return reachable
				? Err({code: 'connectionsExhausted', message: 'No connection became free in time'})
				: Err({code: 'targetUnreachable', message: 'The target cannot be reached'});
		},
		hasCapacity: () => idle.length > 0 || open + dialling < settings.maxOpen,
		getOpenCount: () => open,
		getIdleCount: () => idle.length,
		async [Symbol.asyncDispose]() {
			const closing = scope[Symbol.asyncDispose]();
			changed.notify();
			await closing;
			await Promise.all(idle.splice(0).map(async connection => connection[Symbol.asyncDispose]()));
		},
	};
};
