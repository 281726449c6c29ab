/** Connection pool of a database owner for one target; each connection belongs to one customer. */

import {
	computeHash, createDeadline, Err, isPast, Ok, PAST, type CustomerId, type Deadline, type Failure, type Instant, type Result, type Runtime,
} from '@guavapitch/core';
import type {TargetStatement} from '@guavapitch/sessions';
import type {
	Command, DialFailure, DialTarget, Target, TargetConnection, TargetErrorCode,
} from './targets.js';

/** Session variables that a statement needs. */
export type SessionVariables = ReadonlyArray<readonly [name: string, value: string]>;

/** Failure to set up a session; nothing was run for a statement. `lost` if the target did not reply to every command. */
export type SetupFailure = Failure<TargetErrorCode | 'lost'>;

/** Exclusive use of a connection, with the known state of its session on the target. */
export type ConnectionHandle = Readonly<{
	connection: TargetConnection;
	/**
	 * Sets the session variables and the prepared statement that a statement needs; resolves to the name of the latter, empty if the statement is not a prepared one.
	 * Resolves only after the target has confirmed all of them, since a statement sent behind a refused one would run with the values of another caller.
	 * After a failure the state of the session is unknown, and the connection is closed when it is released.
	 */
	setUp: (variables: SessionVariables, statement: TargetStatement, deadline: Deadline) => Promise<Result<string, SetupFailure>>;
	/** Discards the prepared statements after the target reported one as unknown; the next setup resets the session. */
	discardPrepared: () => void;
	/** Releases the connection; closes it unless `isClean`. Further calls do nothing. */
	release: (isClean: boolean) => void;
}>;

/** Connection pool of one target. */
export type TargetConnections = Readonly<{
	/** Tells whether a customer could acquire a connection now. */
	canAcquire: (customer: CustomerId) => boolean;
	/** Acquires an idle connection of the customer, preferring one with matching session variables, or opens one. At the limit, an idle one is closed first; fails with `tooMany` if all are in use. */
	acquire: (customer: CustomerId, variables: SessionVariables, deadline: Deadline) => Promise<Result<ConnectionHandle, DialFailure>>;
	/** Opens a connection even if others are idle, as an idle connection may have died without a TCP reset. */
	acquireNew: (customer: CustomerId, deadline: Deadline) => Promise<Result<ConnectionHandle, DialFailure>>;
	/** Tells whether any connection is idle. */
	hasIdle: () => boolean;
	/** Estimates the time until a connection of the customer is available, in milliseconds; 0 if one is idle. */
	estimateConnectMs: (customer: CustomerId) => number;
	/** Returns the mean time for opening a connection, in milliseconds. */
	getDialMs: () => number;
	/** Acquires an idle connection of any customer, for pings and status queries. */
	acquireIdle: () => ConnectionHandle | undefined;
	/** Closes connections that have been idle since before an instant. */
	closeIdle: (idleSince: Instant) => void;
	/** Closes all idle connections now, and the others once they are released. */
	close: () => void;
	/** Counts the connections that are open or being opened. */
	getOpenCount: () => number;
}>;

/** A connection and the state of its session on the target. */
type Session = {
	readonly connection: TargetConnection;
	readonly customer: CustomerId;
	variables: ReadonlyMap<string, string>;
	/** Names of the prepared statements, by their access and shape. */
	preparedNames: ReadonlyMap<string, string>;
	/** Whether the session must be reset before the next statement. */
	mustReset: boolean;
	/** Whether the target has confirmed everything that changed the session. */
	isConfirmed: boolean;
	isBusy: boolean;
	lastUsedAt: Instant;
};

/** Timeout for opening a connection: several times the handshake with a loaded target. */
const DIAL_TIMEOUT_MS = 350;

/** Fraction of a target's connections that an owner opens; the rest lets another owner, chosen under a different view, begin to work. */
const MAX_CONNECTION_FRACTION = 0.7;
/** Largest fraction that an owner keeps after a target refused a connection because too many were open, so that two owners stay within the limit together. */
const SHARED_CONNECTION_FRACTION = 0.5;
/** Time for which an owner opens no further connections to such a target, in milliseconds: longer than another owner keeps connections that it no longer needs. */
const SHARING_MS = 5000;

/** Assumed time for opening a connection before the first measurement. */
const INITIAL_DIAL_MS = 15;
/** Weight of a new measurement in the moving average. */
const DIAL_WEIGHT = 0.1;
/** Range of the differences in the estimates, in milliseconds, by which customers without connections are distributed over equal targets. */
const SPREAD_MS = 1;
/** Number of different hash values. */
const HASH_RANGE = 4_294_967_296;

/** Counts the session variables that differ from those that a statement needs. */
const countMismatches = (session: Session, neededVariables: SessionVariables): number => {
	let matchCount = 0;
	for (const [name, value] of neededVariables) {
		if (session.variables.get(name) === value) {
			matchCount++;
		}
	}

	return session.variables.size + neededVariables.length - (2 * matchCount);
};

/** Commands that bring a session to the state that a statement needs, and that state. */
type SetupPlan = Readonly<{commands: readonly Command[]; variables: ReadonlyMap<string, string>; preparedNames: ReadonlyMap<string, string>; preparedName: string}>;

const createSetupPlan = (session: Session, neededVariables: SessionVariables, statement: TargetStatement): SetupPlan => {
	const commands: Command[] = [];
	const neededByName = new Map(neededVariables);
	const mustReset = session.mustReset || [...session.variables.keys()].some(name => !neededByName.has(name));
	const variables = new Map(mustReset ? [] : session.variables);
	const preparedNames = new Map(mustReset ? [] : session.preparedNames);
	if (mustReset) {
		commands.push({kind: 'reset'});
	}

	for (const [name, value] of neededVariables) {
		if (variables.get(name) !== value) {
			commands.push({kind: 'set', name, value});
			variables.set(name, value);
		}
	}

	if (statement.kind !== 'prepared') {
		return {
			commands, variables, preparedNames, preparedName: '',
		};
	}

	const {prepared} = statement;
	const key = `${prepared.access} ${prepared.shape}`;
	const existingName = preparedNames.get(key);
	const preparedName = existingName ?? `p${preparedNames.size + 1}`;
	if (existingName === undefined) {
		commands.push({kind: 'prepare', name: preparedName, prepared});
		preparedNames.set(key, preparedName);
	}

	return {
		commands, variables, preparedNames, preparedName,
	};
};

const createHandle = (session: Session, onRelease: (isClean: boolean) => void): ConnectionHandle => {
	let isReleased = false;
	return {
		connection: session.connection,
		async setUp(neededVariables, statement, deadline) {
			const {commands, variables, preparedNames, preparedName} = createSetupPlan(session, neededVariables, statement);
			if (commands.length === 0) {
				return Ok(preparedName);
			}

			session.isConfirmed = false;
			const {replies} = await session.connection.execute(commands, deadline);
			for (const {result} of replies) {
				if (result.kind === 'error') {
					return Err({code: result.code, message: `the target refused to set up the session: ${result.text}`});
				}
			}

			if (replies.length < commands.length) {
				return Err({code: 'lost', message: 'the target did not confirm the setup of the session'});
			}

			session.isConfirmed = true;
			session.mustReset = false;
			session.variables = variables;
			session.preparedNames = preparedNames;
			return Ok(preparedName);
		},
		discardPrepared() {
			session.mustReset = true;
		},
		release(isClean) {
			if (!isReleased) {
				isReleased = true;
				onRelease(isClean);
			}
		},
	};
};

/** Creates an empty connection pool; `getTargetLimit` returns the maximum number of connections that the target accepts from all owners together. */
export const createTargetConnections = (target: Target, dial: DialTarget, getTargetLimit: () => number, runtime: Runtime): TargetConnections => {
	const sessions = new Set<Session>();
	let diallingCount = 0;
	let isClosed = false;
	let meanDialMs = INITIAL_DIAL_MS;
	let sharesUntil: Deadline = PAST;
	/** Number of connections that this owner may have while it shares the target with others. */
	let sharedLimit = 0;

	const getLimit = (): number => Math.max(1, isPast(sharesUntil, runtime.now()) ? Math.floor(getTargetLimit() * MAX_CONNECTION_FRACTION) : sharedLimit);

	const closeSession = (session: Session) => {
		sessions.delete(session);
		session.connection.close();
	};

	const findIdleSession = (customer: CustomerId, neededVariables: SessionVariables): Session | undefined => {
		let bestSession: Session | undefined;
		let fewestMismatches = Number.POSITIVE_INFINITY;
		for (const session of sessions) {
			if (session.isBusy || session.customer !== customer) {
				continue;
			}

			if (session.connection.isEnded()) {
				closeSession(session);
				continue;
			}

			const mismatches = countMismatches(session, neededVariables);
			if (mismatches < fewestMismatches) {
				bestSession = session;
				fewestMismatches = mismatches;
			}
		}

		return bestSession;
	};

	const findLeastRecentlyUsed = (): Session | undefined => {
		let leastRecentlyUsed: Session | undefined;
		for (const session of sessions) {
			if (!session.isBusy && (!leastRecentlyUsed || session.lastUsedAt < leastRecentlyUsed.lastUsedAt)) {
				leastRecentlyUsed = session;
			}
		}

		return leastRecentlyUsed;
	};

	/** Leaves connections to another owner: opens no more than there are, and closes idle ones above the shared fraction, the least recently used first. */
	const shareTarget = () => {
		sharedLimit = Math.min(sessions.size, Math.floor(getTargetLimit() * SHARED_CONNECTION_FRACTION));
		sharesUntil = createDeadline(runtime.now(), SHARING_MS);
		while (sessions.size + diallingCount > getLimit()) {
			const leastRecentlyUsed = findLeastRecentlyUsed();
			if (!leastRecentlyUsed) {
				return;
			}

			closeSession(leastRecentlyUsed);
		}
	};

	const checkOut = (session: Session): ConnectionHandle => {
		session.isBusy = true;
		session.lastUsedAt = runtime.now();
		return createHandle(session, isClean => {
			session.isBusy = false;
			session.lastUsedAt = runtime.now();
			if (isClosed || !isClean || !session.isConfirmed || session.connection.isEnded()) {
				closeSession(session);
			}
		});
	};

	const openSession = async (customer: CustomerId, deadline: Deadline): Promise<Result<ConnectionHandle, DialFailure>> => {
		diallingCount++;
		const startedAt = runtime.now();
		const dialDeadline = Math.min(deadline, createDeadline(startedAt, DIAL_TIMEOUT_MS)) as Deadline;
		const dialled = await dial(target, customer, dialDeadline);
		diallingCount--;
		if (dialled.err) {
			if (dialled.val.code === 'tooMany') {
				shareTarget();
			}

			return dialled;
		}

		meanDialMs += (runtime.now() - startedAt - meanDialMs) * DIAL_WEIGHT;

		const session: Session = {
			connection: dialled.val, customer, variables: new Map(), preparedNames: new Map(), mustReset: false, isConfirmed: true, isBusy: true, lastUsedAt: runtime.now(),
		};
		sessions.add(session);
		return Ok(checkOut(session));
	};

	/** Opens a connection; at the limit, it replaces the least recently used idle one. */
	const openOrReplace = async (customer: CustomerId, deadline: Deadline): Promise<Result<ConnectionHandle, DialFailure>> => {
		if (sessions.size + diallingCount >= getLimit()) {
			const leastRecentlyUsed = findLeastRecentlyUsed();
			if (!leastRecentlyUsed) {
				return Err({code: 'tooMany', message: 'Every connection to the target is in use'});
			}

			closeSession(leastRecentlyUsed);
		}

		const opened = await openSession(customer, deadline);
		const leastRecentlyUsed = opened.err && opened.val.code === 'tooMany' ? findLeastRecentlyUsed() : undefined;
		if (!leastRecentlyUsed) {
			return opened;
		}

		closeSession(leastRecentlyUsed);
		return openSession(customer, deadline);
	};

	return {
		canAcquire: customer => sessions.size + diallingCount < getLimit() || findIdleSession(customer, []) !== undefined || findLeastRecentlyUsed() !== undefined,
		async acquire(customer, variables, deadline) {
			const idleSession = findIdleSession(customer, variables);
			return idleSession ? Ok(checkOut(idleSession)) : openOrReplace(customer, deadline);
		},
		acquireNew: openOrReplace,
		hasIdle: () => findLeastRecentlyUsed() !== undefined,
		estimateConnectMs: customer => findIdleSession(customer, [])
			? 0
			: meanDialMs + (SPREAD_MS * computeHash(`${customer}\u0000${target.id}`) / HASH_RANGE),
		getDialMs: () => meanDialMs,
		acquireIdle() {
			for (const session of sessions) {
				if (!session.isBusy && !session.connection.isEnded()) {
					return checkOut(session);
				}
			}

			return undefined;
		},
		closeIdle(idleSince) {
			for (const session of sessions) {
				if (!session.isBusy && session.lastUsedAt < idleSince) {
					closeSession(session);
				}
			}
		},
		close() {
			isClosed = true;
			for (const session of sessions) {
				if (!session.isBusy) {
					closeSession(session);
				}
			}
		},
		getOpenCount: () => sessions.size + diallingCount,
	};
};
