/** Connections of one home to one target, each for one customer. */

import {
	createDeadline, Err, Ok, type CustomerId, type Deadline, type Instant, type Result, type World,
} from '@guavapitch/core';
import type {TargetStatement} from '@guavapitch/sessions';
import type {
	Command, DialFailure, DialTarget, Target, TargetConnection,
} from './targets.js';

/** Session values that a statement needs. */
export type SessionValues = ReadonlyArray<readonly [name: string, value: string]>;

/** A connection lent to a request, and what is known of its session at the target. */
export type ConnectionHandle = Readonly<{
	connection: TargetConnection;
	/** Lists the commands that give the session the values and the prepared statement that a statement needs. */
	createSetupCommands: (values: SessionValues, statement: TargetStatement) => Readonly<{commands: readonly Command[]; preparedName: string}>;
	/** Forgets the prepared statements, after the target has said that it lacks one. */
	discardPrepared: () => void;
	/** Gives the connection back; it is closed unless it is clean. */
	release: (isClean: boolean) => void;
}>;

/** Connections to one target. */
export type TargetConnections = Readonly<{
	/** Tells whether a customer could get a connection now. */
	canAcquire: (customer: CustomerId) => boolean;
	/** Takes an idle connection of the customer, or opens one. */
	acquire: (customer: CustomerId, values: SessionValues, deadline: Deadline) => Promise<Result<ConnectionHandle, DialFailure>>;
	/** Opens a connection even if others are idle: those may have gone silent without a reset. */
	acquireNew: (customer: CustomerId, deadline: Deadline) => Promise<Result<ConnectionHandle, DialFailure>>;
	hasIdle: () => boolean;
	/** Takes an idle connection of whichever customer, for questions of the home itself. */
	acquireIdle: () => ConnectionHandle | undefined;
	/** Closes connections that were idle for long. */
	closeIdle: (idleSince: Instant) => void;
	/** Closes all idle connections, and the others when they are given back. */
	close: () => void;
	getOpenCount: () => number;
}>;

type Session = {
	readonly connection: TargetConnection;
	readonly customer: CustomerId;
	values: Map<string, string>;
	prepared: Map<string, string>;
	mustReset: boolean;
	busy: boolean;
	usedAt: Instant;
};

/** Longest time for opening a connection, in milliseconds; several times the handshake of a loaded target. */
const DIAL_TIMEOUT_MS = 350;

/** Counts the values of a session that stand in the way of a statement. */
const countForeign = (session: Session, values: SessionValues): number => {
	let matching = 0;
	for (const [name, value] of values) {
		if (session.values.get(name) === value) {
			matching++;
		}
	}

	return session.values.size + values.length - (2 * matching);
};

const listValueCommands = (session: Session, values: SessionValues): readonly Command[] => {
	const commands: Command[] = [];
	const wanted = new Map(values);
	if (session.mustReset || [...session.values.keys()].some(name => !wanted.has(name))) {
		commands.push({kind: 'reset'});
		session.mustReset = false;
		session.values = new Map();
		session.prepared = new Map();
	}

	for (const [name, value] of values) {
		if (session.values.get(name) !== value) {
			commands.push({kind: 'set', name, value});
			session.values.set(name, value);
		}
	}

	return commands;
};

const createLoan = (session: Session, onReturn: (isClean: boolean) => void): ConnectionHandle => {
	let given = false;
	return {
		connection: session.connection,
		createSetupCommands(values, statement) {
			const commands = [...listValueCommands(session, values)];
			if (statement.kind !== 'prepared') {
				return {commands, preparedName: ''};
			}

			const {prepared} = statement;
			const key = `${prepared.access} ${prepared.shape}`;
			const known = session.prepared.get(key);
			if (known) {
				return {commands, preparedName: known};
			}

			const name = `p${session.prepared.size + 1}`;
			session.prepared.set(key, name);
			commands.push({kind: 'prepare', name, prepared});
			return {commands, preparedName: name};
		},
		discardPrepared() {
			session.mustReset = true;
		},
		release(isClean) {
			if (!given) {
				given = true;
				onReturn(isClean);
			}
		},
	};
};

/** Creates the empty set of connections to a target; `getLimit` gives the most that may be open. */
export const createTargetConnections = (target: Target, dial: DialTarget, getLimit: () => number, world: World): TargetConnections => {
	const sessions = new Set<Session>();
	let dialling = 0;
	let closed = false;

	const drop = (session: Session) => {
		sessions.delete(session);
		session.connection.close();
	};

	const findIdle = (customer: CustomerId, values: SessionValues): Session | undefined => {
		let best: Session | undefined;
		let fewest = Number.POSITIVE_INFINITY;
		for (const session of sessions) {
			if (session.busy || session.customer !== customer) {
				continue;
			}

			if (session.connection.isEnded()) {
				drop(session);
				continue;
			}

			const foreign = countForeign(session, values);
			if (foreign < fewest) {
				best = session;
				fewest = foreign;
			}
		}

		return best;
	};

	const findLeastUsed = (): Session | undefined => {
		let least: Session | undefined;
		for (const session of sessions) {
			if (!session.busy && (!least || session.usedAt < least.usedAt)) {
				least = session;
			}
		}

		return least;
	};

	const lend = (session: Session): ConnectionHandle => {
		session.busy = true;
		session.usedAt = world.now();
		return createLoan(session, isClean => {
			session.busy = false;
			session.usedAt = world.now();
			if (closed || !isClean || session.connection.isEnded()) {
				drop(session);
			}
		});
	};

	const open = async (customer: CustomerId, deadline: Deadline): Promise<Result<ConnectionHandle, DialFailure>> => {
		dialling++;
		const latest = Math.min(deadline, createDeadline(world.now(), DIAL_TIMEOUT_MS)) as Deadline;
		const dialled = await dial(target, customer, latest);
		dialling--;
		if (dialled.err) {
			return dialled;
		}

		const session: Session = {
			connection: dialled.val, customer, values: new Map(), prepared: new Map(), mustReset: false, busy: true, usedAt: world.now(),
		};
		sessions.add(session);
		return Ok(lend(session));
	};

	/** Opens a connection, in the place of the least used one if there are too many. */
	const openInPlace = async (customer: CustomerId, deadline: Deadline): Promise<Result<ConnectionHandle, DialFailure>> => {
		if (sessions.size + dialling >= getLimit()) {
			const least = findLeastUsed();
			if (!least) {
				return Err({code: 'tooMany', message: 'Every connection to the target is in use'});
			}

			drop(least);
		}

		return open(customer, deadline);
	};

	return {
		canAcquire: customer => sessions.size + dialling < getLimit() || findIdle(customer, []) !== undefined || findLeastUsed() !== undefined,
		async acquire(customer, values, deadline) {
			const idle = findIdle(customer, values);
			return idle ? Ok(lend(idle)) : openInPlace(customer, deadline);
		},
		acquireNew: openInPlace,
		hasIdle: () => findLeastUsed() !== undefined,
		acquireIdle() {
			for (const session of sessions) {
				if (!session.busy && !session.connection.isEnded()) {
					return lend(session);
				}
			}

			return undefined;
		},
		closeIdle(idleSince) {
			for (const session of sessions) {
				if (!session.busy && session.usedAt < idleSince) {
					drop(session);
				}
			}
		},
		close() {
			closed = true;
			for (const session of sessions) {
				if (!session.busy) {
					drop(session);
				}
			}
		},
		getOpenCount: () => sessions.size + dialling,
	};
};
