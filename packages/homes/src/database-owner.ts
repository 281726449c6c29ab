/** The home of a database: places its statements on targets and answers for their consistency. */

import {
	createDeadline, createSingleFlight, isPast, Ok, type CustomerId, type DatabaseId, type Deadline, type Failure, type Instant, type Result, type TargetId, type World,
} from '@guavapitch/core';
import {
	createRefusal, type StatementResponse, type StatementRequest,
} from '@guavapitch/sessions';
import {createTargetConnections, type ConnectionHandle, type TargetConnections} from './connections.js';
import {createPositionHistory, type PositionHistory} from './position-history.js';
import {createResponse} from './replies.js';
import {createLeaderTracker, type LeaderTracker} from './leader-tracker.js';
import {createSlotScheduler, type SlotScheduler} from './slot-scheduler.js';
import {createHealthTracker, type HealthTracker} from './health-tracker.js';
import {serveSingleStatement} from './single-statements.js';
import {createTransactions, type Transactions} from './transactions.js';
import type {
	Command, DialFailure, DialTarget, ReadStatus, Target, TargetStatus,
} from './targets.js';

/** What happened to a request at its home, for the logs. */
export type DatabaseOwnerDecision = Readonly<{
	kind: 'placed' | 'retried' | 'refused' | 'lost' | 'leaderChanged' | 'targetFailing' | 'targetBack' | 'transactionExpired';
	requestId: string;
	customer?: string;
	target: string;
	reason: string;
	/** Age or wait that led to the decision, in milliseconds. */
	ageMs: number;
}>;

/** What a home needs. */
export type DatabaseOwnerContext = Readonly<{
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
	acquireToken: (customer: CustomerId, deadline: Deadline) => Promise<Result<undefined, Failure & Readonly<{retryAfterMs: number}>>>;
	onDecision: (decision: DatabaseOwnerDecision) => void;
}>;

/** Parts of a home that its tasks share. */
export type SharedComponents = Readonly<{
	context: DatabaseOwnerContext;
	positionHistory: PositionHistory;
	leaderTracker: LeaderTracker;
	scheduler: SlotScheduler;
	healthTracker: HealthTracker;
	getTarget: (id: TargetId) => Target | undefined;
	listTargets: () => readonly Target[];
	getConnections: (id: TargetId) => TargetConnections | undefined;
	/** Calls a function if a target is taken for down; gives a function that forgets it. */
	onTargetDown: (target: TargetId, abandon: () => void) => (() => void);
	/** Waits until a position was verified after now; `false` if no leader proved itself before the deadline. */
	verifyPosition: (deadline: Deadline) => Promise<boolean>;
	/** Tells whether writes wait, as the leader is being replaced in an orderly way. */
	areWritesPaused: () => boolean;
}>;

/** Parts of a home as others see them. */
export type DatabaseOwnerComponents = SharedComponents & Readonly<{transactions: Transactions}>;

/** What a target says to the question whether it leads; `undefined` if it is silent. */
export type PingResult = 'leads' | 'follows' | 'refused' | undefined;

/** Home of one database. */
export type DatabaseOwner = Readonly<{
	serve: (request: StatementRequest) => Promise<StatementResponse>;
	/** Rolls a transaction back. */
	rollBack: (transaction: string) => void;
	setTargets: (targets: readonly Target[]) => void;
	/** Asks a target whether it leads; `undefined` if it does not answer. */
	ping: (target: TargetId, deadline: Deadline) => Promise<PingResult>;
	/** Asks a target for its state, after another command if there is one; `undefined` if it does not answer. */
	queryStatus: (target: TargetId, deadline: Deadline, before?: Command) => Promise<TargetStatus | undefined>;
	/** Holds writes back, or lets them go on. */
	pauseWrites: (paused: boolean) => void;
	/** Closes connections that were not used for some time. */
	closeIdleConnections: (idleMs: number) => void;
	components: DatabaseOwnerComponents;
}>;

/** Longest time for the question whether a target leads, in milliseconds; it needs no slot. */
const PING_TIMEOUT_MS = 400;
/** Longest time for a probe of a suspect on one connection, in milliseconds; a kept one is tried first, then a new one. */
const PROBE_TIMEOUT_MS = 200;

/** Tells whether two descriptions are of one run of one target. */
const isSameRun = (a: Target, b: Target): boolean => a.id === b.id && a.startedAtMs === b.startedAtMs && a.host === b.host && a.port === b.port;

/** Creates the home of a database. */
export const createDatabaseOwner = (context: DatabaseOwnerContext): DatabaseOwner => {
	const {world, readClock} = context;
	const targets = new Map<TargetId, Target>();
	const connections = new Map<TargetId, TargetConnections>();
	const floors = createPositionHistory();
	const placement = createSlotScheduler(world);
	/** What to do with the reads under way at a target that is taken for down. */
	const abandons = new Map<TargetId, Set<() => void>>();
	const leadership = createLeaderTracker(leader => {
		context.onDecision({
			kind: 'leaderChanged', requestId: '', target: leader ?? '', reason: 'the newest target that leads', ageMs: 0,
		});
		placement.admitWaiting();
	});
	const reach = createHealthTracker({
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

			placement.admitWaiting();
		},
	});
	let paused = false;
	let lastCustomer: StatementRequest['customer'] | undefined;

	/** Takes a connection for a question of the home itself. */
	const borrow = async (id: TargetId, deadline: Deadline, isNew = false): Promise<Result<ConnectionHandle, DialFailure> | undefined> => {
		const own = connections.get(id);
		if (!own) {
			return undefined;
		}

		if (isNew) {
			return own.acquireNew(lastCustomer ?? context.getAnyCustomer(), deadline);
		}

		const idle = own.acquireIdle();
		return idle ? Ok(idle) : own.acquire(lastCustomer ?? context.getAnyCustomer(), [], deadline);
	};

	/** Asks a target whether it leads: a plain begin, which only a leader accepts and which needs no slot. */
	const ping = async (id: TargetId, deadline: Deadline, isNew = false): Promise<PingResult> => {
		const latest = Math.min(deadline, createDeadline(world.now(), PING_TIMEOUT_MS)) as Deadline;
		const askedAt = readClock();
		const borrowed = await borrow(id, latest, isNew);
		if (!borrowed?.ok) {
			return borrowed && borrowed.val.code !== 'silent' ? 'refused' : undefined;
		}

		const loan = borrowed.val;
		const {replies, ended} = await loan.connection.execute([{kind: 'begin', readOnly: false, after: undefined}, {kind: 'rollback'}], latest);
		const [begun, rolledBack] = replies;
		loan.release(ended === 'no' && rolledBack?.status === 'idle');
		if (!begun) {
			return undefined;
		}

		reach.recordResponse(id);
		if (begun.result.kind === 'done' && begun.position) {
			floors.record(askedAt, begun.position);
			leadership.markLeading(id, world.now());
			return 'leads';
		}

		if (begun.result.kind === 'error' && begun.result.code === 'readOnly') {
			leadership.markFollowing(id, world.now());
		}

		return 'follows';
	};

	/** Asks on a kept connection, which may have gone silent without a reset, and then on a new one. */
	const pingTwice = async (id: TargetId, timeoutMs: number): Promise<PingResult> => {
		const kept = connections.get(id)?.hasIdle() ? await ping(id, createDeadline(world.now(), timeoutMs)) : undefined;
		return kept ?? ping(id, createDeadline(world.now(), timeoutMs), true);
	};

	const verifyOnce = createSingleFlight(async (): Promise<boolean> => {
		const leader = leadership.getLeader();
		return leader !== undefined && await ping(leader, createDeadline(world.now(), PING_TIMEOUT_MS)) === 'leads';
	});

	const shared: SharedComponents = {
		context,
		positionHistory: floors,
		leaderTracker: leadership,
		scheduler: placement,
		healthTracker: reach,
		getTarget: (id: TargetId) => targets.get(id),
		listTargets: () => [...targets.values()],
		getConnections: (id: TargetId) => connections.get(id),
		onTargetDown(target, abandon) {
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
		areWritesPaused: () => paused,
	};
	const transactions = createTransactions(shared);
	const parts: DatabaseOwnerComponents = {...shared, transactions};

	const serve = async (request: StatementRequest): Promise<StatementResponse> => {
		lastCustomer = request.customer;
		const deadline = createDeadline(world.now(), request.remainingMs);
		if (!request.transaction || request.transaction.isFirst) {
			const spent = await context.acquireToken(request.customer, createDeadline(world.now(), Math.min(request.remainingMs, request.promptMs)));
			if (spent.err) {
				context.onDecision({
					kind: 'refused', requestId: request.id, customer: request.customer, target: '', reason: spent.val.message, ageMs: 0,
				});
				return createResponse(createRefusal('overShare', spent.val.message, spent.val.retryAfterMs), 0, request.transaction ? 'failed' : 'idle');
			}
		}

		if (request.transaction) {
			return transactions.serve(request, deadline);
		}

		return request.statement.kind === 'commit'
			? createResponse(createRefusal('malformed', 'There is no transaction to commit'))
			: serveSingleStatement(parts, request, deadline);
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
					reach.remove(id);
				}
			}

			for (const target of next) {
				targets.set(target.id, target);
				if (!connections.has(target.id)) {
					connections.set(target.id, createTargetConnections(target, context.dial, context.getConnectionLimit, world));
				}
			}

			leadership.applyRegistry(next, world.now());
			placement.setTargets(next);
		},
		ping: async (id, deadline) => pingTwice(id, deadline - world.now()),
		async queryStatus(id, deadline, before) {
			const borrowed = await borrow(id, deadline);
			if (!borrowed?.ok) {
				return undefined;
			}

			const loan = borrowed.val;
			const commands: readonly Command[] = before ? [before, {kind: 'status'}] : [{kind: 'status'}];
			const {replies, ended} = await loan.connection.execute(commands, deadline);
			loan.release(ended === 'no');
			const isRefused = replies[0]?.result.kind === 'error';
			const reply = replies[commands.length - 1];
			return reply && !isRefused ? context.readStatus(reply) : undefined;
		},
		pauseWrites(next) {
			paused = next;
			placement.admitWaiting();
		},
		closeIdleConnections(idleMs) {
			const since = createDeadline(world.now(), -idleMs) as number as Instant;
			for (const own of connections.values()) {
				own.closeIdle(since);
			}
		},
		components: parts,
	};
};
