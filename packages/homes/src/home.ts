/** The home of a database: places its statements on targets and answers for their consistency. */

import {
	createDeadline, createSharedFlight, isPast, Ok, type CustomerId, type DatabaseId, type Deadline, type Failure, type Instant, type Result, type TargetId, type World,
} from '@guavapitch/core';
import {
	createRefusal, type HomeAnswer, type HomeRequest,
} from '@guavapitch/sessions';
import {createTargetConnections, type Loan, type TargetConnections} from './connections.js';
import {createFloors, type Floors} from './floors.js';
import {createAnswer} from './answers.js';
import {createLeadership, type Leadership} from './leadership.js';
import {createPlacement, type Placement} from './placement.js';
import {createReach, type Reach} from './reach.js';
import {serveSingle} from './singles.js';
import {createTransactions, type Transactions} from './transactions.js';
import type {
	Command, DialFailure, DialTarget, ReadStatus, Target, TargetStatus,
} from './targets.js';

/** What happened to a request at its home, for the logs. */
export type HomeDecision = Readonly<{
	kind: 'placed' | 'retried' | 'refused' | 'lost' | 'leaderChanged' | 'targetFailing' | 'targetBack' | 'transactionExpired';
	requestId: string;
	customer?: string;
	target: string;
	reason: string;
	/** Age or wait that led to the decision, in milliseconds. */
	ageMs: number;
}>;

/** What a home needs. */
export type HomeContext = Readonly<{
	world: World;
	/** Reads the suspension clock. */
	readClock: () => Instant;
	database: DatabaseId;
	dial: DialTarget;
	readStatus: ReadStatus;
	/** Gets how many connections this home may have at each target. */
	getConnectionLimit: () => number;
	/** Gets a customer in whose name questions of the home itself may be asked. */
	getAnyCustomer: () => CustomerId;
	/** Gets how long a transaction may stay idle, in milliseconds. */
	getIdleTransactionMs: () => number;
	/** Spends one operation of a customer's share. */
	spend: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, Failure & Readonly<{retryAfterMs: number}>>>;
	onDecision: (decision: HomeDecision) => void;
}>;

/** Parts of a home that its tasks share. */
export type SharedParts = Readonly<{
	context: HomeContext;
	floors: Floors;
	leadership: Leadership;
	placement: Placement;
	reach: Reach;
	getTarget: (id: TargetId) => Target | undefined;
	listTargets: () => readonly Target[];
	getConnections: (id: TargetId) => TargetConnections | undefined;
	/** Calls a function if a target is taken for down; gives a function that forgets it. */
	abandonWhenDown: (target: TargetId, abandon: () => void) => (() => void);
	/** Waits until a position was verified after now; `false` if no leader proved itself before the deadline. */
	verifyPosition: (deadline: Deadline) => Promise<boolean>;
	/** Tells whether writes wait, as the leader is being replaced in an orderly way. */
	arePaused: () => boolean;
}>;

/** Parts of a home as others see them. */
export type HomeParts = SharedParts & Readonly<{transactions: Transactions}>;

/** What a target says to the question whether it leads; `undefined` if it is silent. */
export type PingAnswer = 'leads' | 'follows' | 'refused' | undefined;

/** Home of one database. */
export type DatabaseHome = Readonly<{
	serve: (request: HomeRequest) => Promise<HomeAnswer>;
	/** Rolls a transaction back. */
	rollBack: (transaction: string) => void;
	setTargets: (targets: readonly Target[]) => void;
	/** Asks a target whether it leads; `undefined` if it does not answer. */
	ping: (target: TargetId, deadline: Deadline) => Promise<PingAnswer>;
	/** Asks a target for its state, after another command if there is one; `undefined` if it does not answer. */
	askStatus: (target: TargetId, deadline: Deadline, before?: Command) => Promise<TargetStatus | undefined>;
	/** Holds writes back, or lets them go on. */
	pauseWrites: (paused: boolean) => void;
	/** Closes connections that were not used for some time. */
	closeIdle: (idleMs: number) => void;
	parts: HomeParts;
}>;

/** Longest time for the question whether a target leads, in milliseconds; it needs no slot. */
const PING_TIMEOUT_MS = 400;
/** Longest time for a probe of a suspect on one connection, in milliseconds; a kept one is tried first, then a new one. */
const PROBE_TIMEOUT_MS = 200;

/** Tells whether two descriptions are of one run of one target. */
const isSameRun = (a: Target, b: Target): boolean => a.id === b.id && a.born === b.born && a.host === b.host && a.port === b.port;

/** Creates the home of a database. */
export const createDatabaseHome = (context: HomeContext): DatabaseHome => {
	const {world, readClock} = context;
	const targets = new Map<TargetId, Target>();
	const connections = new Map<TargetId, TargetConnections>();
	const floors = createFloors();
	const placement = createPlacement(world);
	/** What to do with the reads under way at a target that is taken for down. */
	const abandons = new Map<TargetId, Set<() => void>>();
	const leadership = createLeadership(leader => {
		context.onDecision({
			kind: 'leaderChanged', requestId: '', target: leader ?? '', reason: 'the newest target that leads', ageMs: 0,
		});
		placement.wake();
	});
	const reach = createReach({
		world,
		async probe(id) {
			const answer = await pingTwice(id, PROBE_TIMEOUT_MS);
			return answer === 'leads' || answer === 'follows';
		},
		onChange(target, isUp, reason) {
			context.onDecision({
				kind: isUp ? 'targetBack' : 'targetFailing', requestId: '', target, reason, ageMs: 0,
			});
			if (!isUp) {
				for (const abandon of abandons.get(target) ?? []) {
					abandon();
				}
			}

			placement.wake();
		},
	});
	let paused = false;
	let lastCustomer: HomeRequest['customer'] | undefined;

	/** Takes a connection for a question of the home itself. */
	const borrow = async (id: TargetId, deadline: Deadline, isNew = false): Promise<Result<Loan, DialFailure> | undefined> => {
		const own = connections.get(id);
		if (!own) {
			return undefined;
		}

		if (isNew) {
			return own.takeNew(lastCustomer ?? context.getAnyCustomer(), deadline);
		}

		const idle = own.takeAny();
		return idle ? Ok(idle) : own.take(lastCustomer ?? context.getAnyCustomer(), [], deadline);
	};

	/** Asks a target whether it leads: a plain begin, which only a leader accepts and which needs no slot. */
	const ping = async (id: TargetId, deadline: Deadline, isNew = false): Promise<PingAnswer> => {
		const latest = Math.min(deadline, createDeadline(world.now(), PING_TIMEOUT_MS)) as Deadline;
		const askedAt = readClock();
		const borrowed = await borrow(id, latest, isNew);
		if (!borrowed?.ok) {
			return borrowed && borrowed.val.code !== 'silent' ? 'refused' : undefined;
		}

		const loan = borrowed.val;
		const {replies, ended} = await loan.connection.execute([{kind: 'begin', readOnly: false, after: undefined}, {kind: 'rollback'}], latest);
		const [begun, rolledBack] = replies;
		loan.giveBack(ended === 'no' && rolledBack?.status === 'idle');
		if (!begun) {
			return undefined;
		}

		reach.noteAnswer(id);
		if (begun.result.kind === 'done' && begun.position) {
			floors.note(askedAt, begun.position);
			leadership.noteLeading(id, world.now());
			return 'leads';
		}

		if (begun.result.kind === 'error' && begun.result.code === 'readOnly') {
			leadership.noteFollowing(id, world.now());
		}

		return 'follows';
	};

	/** Asks on a kept connection, which may have gone silent without a reset, and then on a new one. */
	const pingTwice = async (id: TargetId, timeoutMs: number): Promise<PingAnswer> => {
		const kept = connections.get(id)?.hasIdle() ? await ping(id, createDeadline(world.now(), timeoutMs)) : undefined;
		return kept ?? ping(id, createDeadline(world.now(), timeoutMs), true);
	};

	const verifyOnce = createSharedFlight(async (): Promise<boolean> => {
		const leader = leadership.getLeader();
		return leader !== undefined && await ping(leader, createDeadline(world.now(), PING_TIMEOUT_MS)) === 'leads';
	});

	const shared: SharedParts = {
		context,
		floors,
		leadership,
		placement,
		reach,
		getTarget: (id: TargetId) => targets.get(id),
		listTargets: () => [...targets.values()],
		getConnections: (id: TargetId) => connections.get(id),
		abandonWhenDown(target, abandon) {
			const own = abandons.get(target) ?? new Set();
			abandons.set(target, own);
			own.add(abandon);
			return () => {
				own.delete(abandon);
			};
		},
		async verifyPosition(deadline: Deadline) {
			return !isPast(deadline, world.now()) && verifyOnce();
		},
		arePaused: () => paused,
	};
	const transactions = createTransactions(shared);
	const parts: HomeParts = {...shared, transactions};

	const serve = async (request: HomeRequest): Promise<HomeAnswer> => {
		lastCustomer = request.customer;
		const deadline = createDeadline(world.now(), request.remainingMs);
		if (!request.transaction || request.transaction.isFirst) {
			const spent = await context.spend(request.customer, createDeadline(world.now(), Math.min(request.remainingMs, request.promptMs)));
			if (spent.err) {
				context.onDecision({
					kind: 'refused', requestId: request.id, customer: request.customer, target: '', reason: spent.val.message, ageMs: 0,
				});
				return createAnswer(createRefusal('overShare', spent.val.message, spent.val.retryAfterMs), 0, request.transaction ? 'failed' : 'idle');
			}
		}

		if (request.transaction) {
			return transactions.serve(request, deadline);
		}

		return request.statement.kind === 'commit'
			? createAnswer(createRefusal('malformed', 'There is no transaction to commit'))
			: serveSingle(parts, request, deadline);
	};

	return {
		serve,
		rollBack: transactions.rollBack,
		setTargets(next) {
			for (const [id, known] of targets) {
				if (!next.some(target => isSameRun(target, known))) {
					connections.get(id)?.close();
					connections.delete(id);
					targets.delete(id);
					reach.forget(id);
				}
			}

			for (const target of next) {
				targets.set(target.id, target);
				if (!connections.has(target.id)) {
					connections.set(target.id, createTargetConnections(target, context.dial, context.getConnectionLimit, world));
				}
			}

			leadership.noteRegistry(next, world.now());
			placement.setTargets(next);
		},
		ping: async (id, deadline) => pingTwice(id, deadline - world.now()),
		async askStatus(id, deadline, before) {
			const borrowed = await borrow(id, deadline);
			if (!borrowed?.ok) {
				return undefined;
			}

			const loan = borrowed.val;
			const commands: readonly Command[] = before ? [before, {kind: 'status'}] : [{kind: 'status'}];
			const {replies, ended} = await loan.connection.execute(commands, deadline);
			loan.giveBack(ended === 'no');
			const isRefused = replies[0]?.result.kind === 'error';
			const reply = replies[commands.length - 1];
			return reply && !isRefused ? context.readStatus(reply) : undefined;
		},
		pauseWrites(next) {
			paused = next;
			placement.wake();
		},
		closeIdle(idleMs) {
			const since = createDeadline(world.now(), -idleMs) as number as Instant;
			for (const own of connections.values()) {
				own.closeIdle(since);
			}
		},
		parts,
	};
};
