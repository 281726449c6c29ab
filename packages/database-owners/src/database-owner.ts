/** The owner of a database: runs its statements on targets and guarantees the consistency of their results. */

import {
	createDeadline, createSingleFlight, Err, isPast, Ok, PAST, type DataCentreId, type Deadline, type Failure, type Instant, type Result, type TargetId,
} from '@guavapitch/core';
import {
	createRefusal, type StatementResponse, type StatementRequest,
} from '@guavapitch/sessions';
import {createColdTargets, type ColdTargets} from './cold-targets.js';
import {createCommitProofs, type CommitProofs} from './commit-proofs.js';
import {createTargetConnections, type ConnectionHandle, type TargetConnections} from './connections.js';
import {recordLeadEvidence} from './lead-evidence.js';
import {createPositionHistory, type PositionHistory} from './position-history.js';
import {createResponse} from './replies.js';
import {createLeaderTracker, type LeaderTracker} from './leader-tracker.js';
import {createSlotScheduler, type SlotScheduler} from './slot-scheduler.js';
import {createHealthTracker, type HealthTracker} from './health-tracker.js';
import {createTargetPaces, type TargetPaces} from './paced-targets.js';
import {serveSingleStatement} from './single-statements.js';
import {createTransactions, type Transactions} from './transactions.js';
import type {DatabaseOwnerContext} from './owner-context.js';
import {isSameRun} from './replication-groups.js';
import {
	createUnlistedTarget, type Command, type DialFailure, type RegisteredTarget, type Target, type TargetStatus,
} from './targets.js';

/** Components of a database owner that the modules of this package share. */
export type SharedComponents = Readonly<{
	context: DatabaseOwnerContext;
	positionHistory: PositionHistory;
	leaderTracker: LeaderTracker;
	commitProofs: CommitProofs;
	scheduler: SlotScheduler;
	coldTargets: ColdTargets;
	healthTracker: HealthTracker;
	targetPaces: TargetPaces;
	getTarget: (id: TargetId) => Target | undefined;
	listTargets: () => readonly Target[];
	getConnections: (id: TargetId) => TargetConnections | undefined;
	/** Registers a callback for the moment at which a target is considered down; returns a function that removes it. */
	onTargetDown: (target: TargetId, callback: () => void) => (() => void);
	/** Records a log position that the leader confirms in reply to a ping sent after this call; resolves to `false` if no leader confirmed one, or if the deadline has already passed. */
	verifyPosition: (deadline: Deadline) => Promise<boolean>;
	/** Returns how long statements and transactions may still begin on a target, in milliseconds; infinite unless it is leaving or evacuated, 0 or negative if none may. */
	getAcceptingMs: (target: TargetId) => number;
	/** Returns how long anything may still be sent to the targets of a data centre, in milliseconds; infinite unless it is evacuated, 0 or negative if nothing may. */
	getSendingMs: (dataCentre: DataCentreId) => number;
	/** Tells whether a target can be expected to respond: its data centre can be reached, or it responded a moment ago. */
	isReachable: (target: TargetId) => boolean;
	/** Tells whether writes wait in the queue because of a planned change of the leader. */
	areWritesPaused: () => boolean;
}>;

/** All components of a database owner, which the failover coordinator uses too. */
export type DatabaseOwnerComponents = SharedComponents & Readonly<{transactions: Transactions}>;

/** Result of asking a target whether it leads: `follows` if it replied that it does not, `unclear` if its reply tells neither, `refused` if no connection could be opened, `undefined` if it did not respond. */
export type PingResult = 'leads' | 'follows' | 'unclear' | 'refused' | undefined;

/** Failure to get the status of a target: no connection could be opened, or, with `noStatus`, no reply came, or one without a status or after a refused command. */
export type StatusFailure = DialFailure | Failure<'noStatus'>;

/** Tells whether a ping got a reply, whatever it says. */
export const isPingAnswered = (result: PingResult): boolean => result !== undefined && result !== 'refused';

/** Owner of one database: the vm through which its statements run. */
export type DatabaseOwner = Readonly<{
	/** Runs a statement. Refusals and failures are outcomes of the response. */
	serve: (request: StatementRequest) => Promise<StatementResponse>;
	/** Rolls a transaction back; does nothing if it is not open here. */
	rollBack: (transaction: string) => void;
	/** Replaces the list of targets; connections to targets that left or restarted are closed. */
	setTargets: (targets: readonly Target[]) => void;
	/** Applies a changed appointment. */
	refreshLeader: () => void;
	/** Asks a target whether it leads, over an idle connection and, if that gets no response, over a new one; each attempt may take the time that is left now until the deadline. */
	ping: (target: TargetId, deadline: Deadline) => Promise<PingResult>;
	/** Queries the status of a target, after running `precedingCommand` if given. It need not be registered: it is then reached where it was last. */
	queryStatus: (target: RegisteredTarget, deadline: Deadline, precedingCommand?: Command) => Promise<Result<TargetStatus, StatusFailure>>;
	/** Keeps new writes in the queue, or admits them again. */
	pauseWrites: (areWritesPaused: boolean) => void;
	/** Closes connections that have been idle for longer than `idleMs`. */
	closeIdleConnections: (idleMs: number) => void;
	components: DatabaseOwnerComponents;
}>;

/** How a ping is sent: over a new connection, and with a proof confirmed by the store if this vm has no authority of its own. */
type PingOptions = Readonly<{mustDial: boolean; mustConfirm: boolean}>;

/** Timeout of a ping; short, as a ping occupies no slot of the target. */
const PING_TIMEOUT_MS = 400;
/** Time before the end of a leaving target's drain time, or of the time left for an evacuation, from which nothing more begins on it, in milliseconds: what is sent must also arrive in time. */
const START_MARGIN_MS = 250;
/** Time since its last response within which a target counts as reachable although the vms of its data centre do not answer, in milliseconds: about as long as these take to count as unreachable. */
const RECENT_RESPONSE_MS = 500;
/** Timeout of a health probe on one connection; an idle connection is tried first, then a new one. */
const PROBE_TIMEOUT_MS = 200;

/** Creates the owner of a database, without targets. */
export const createDatabaseOwner = (context: DatabaseOwnerContext): DatabaseOwner => {
	const {runtime, readSuspensionClock} = context;
	const targets = new Map<TargetId, Target>();
	const connections = new Map<TargetId, TargetConnections>();
	const positionHistory = createPositionHistory();
	const scheduler = createSlotScheduler(runtime, {getSlotLimit: id => targetPaces.getLimit(id)});
	const coldTargets = createColdTargets({
		runtime,
		readSuspensionClock,
		getLimit: context.getColdLimit,
		getColdUntil: id => targets.get(id)?.coldUntil ?? PAST,
		areConnectionsLost: id => connections.get(id)?.areAllLost() ?? false,
		getTargetsCompleteAt: context.getTargetsCompleteAt,
		onAvailable: scheduler.admitWaiting,
	});
	/** Callbacks of the reads that are running on each target; called when the target is considered down. */
	const targetDownCallbacks = new Map<TargetId, Set<() => void>>();
	const {appointments} = context;
	let lastLeader: TargetId | undefined;
	const leaderTracker = createLeaderTracker(appointments.getAppointed, leader => {
		context.onDecision({
			kind: 'leaderChanged', requestId: '', target: leader ?? '', reason: 'this target most recently became leader; an empty target means that none leads', ageMs: 0,
		});
		if (leader !== undefined && leader !== lastLeader) {
			lastLeader = leader;
			targetPaces.recordPromotion(leader);
		}

		scheduler.admitWaiting();
	});
	const targetPaces = createTargetPaces({
		runtime,
		getLeader: leaderTracker.getLeader,
		getSlots: id => targets.get(id)?.slots ?? 1,
		listTargets: () => [...targets.keys()],
		getBusyCount: id => scheduler.getLoads().find(load => load.id === id)?.busyCount ?? 0,
		getDialMs: id => connections.get(id)?.getDialMs() ?? 0,
		onRoom: scheduler.admitWaiting,
		onChange(target, isLimited, reason) {
			context.onDecision({
				kind: isLimited ? 'paceLimited' : 'paceRestored', requestId: '', target, reason, ageMs: 0,
			});
		},
	});
	const healthTracker = createHealthTracker({
		runtime,
		async probe(id) {
			return isPingAnswered(await pingWithRedial(id, PROBE_TIMEOUT_MS));
		},
		onChange(target, isUp, reason) {
			context.onDecision({
				kind: isUp ? 'targetBack' : 'targetFailing', requestId: '', target, reason, ageMs: 0,
			});
			if (isUp) {
				targetPaces.recordRecovery(target);
			} else {
				for (const callback of targetDownCallbacks.get(target) ?? []) {
					callback();
				}
			}

			scheduler.admitWaiting();
		},
	});
	let areWritesPaused = false;
	let lastCustomer: StatementRequest['customer'] | undefined;

	/** Records that a connection to a target was lost or refused. A target that has started again has ended them all. */
	const recordLoss = (id: TargetId) => {
		if (!connections.get(id)?.hasLive()) {
			coldTargets.recordGap(id);
		}
	};

	const getSendingMs = (dataCentre: DataCentreId): number => context.getEvacuationDeadline(dataCentre) - START_MARGIN_MS - readSuspensionClock();

	/** Tells whether a target elsewhere can take over the work of evacuated ones; without one, nothing more begins on them. */
	const hasStayingDataCentre = (): boolean => [...targets.values()].some(({isEvacuated}) => !isEvacuated);

	/** Acquires a connection for a ping or a status query. */
	const acquireConnection = async (id: TargetId, deadline: Deadline, mustDial = false): Promise<Result<ConnectionHandle, DialFailure> | undefined> => {
		const targetConnections = connections.get(id);
		const target = targets.get(id);
		if (!targetConnections || !target || getSendingMs(target.dataCentre) <= 0) {
			return undefined;
		}

		if (mustDial) {
			return targetConnections.acquireNew(lastCustomer ?? context.getAnyCustomer(), deadline);
		}

		const idleHandle = targetConnections.acquireIdle();
		return idleHandle ? Ok(idleHandle) : targetConnections.acquire(lastCustomer ?? context.getAnyCustomer(), [], deadline);
	};

	/** Opens a connection that is closed when it is released. */
	const dialOnce = async (target: RegisteredTarget, deadline: Deadline): Promise<Result<Pick<ConnectionHandle, 'connection' | 'release'>, DialFailure>> => {
		if (getSendingMs(target.dataCentre) <= 0) {
			return Err({code: 'silent', message: 'its data centre is evacuated'});
		}

		const dialled = await context.dial(createUnlistedTarget(target), lastCustomer ?? context.getAnyCustomer(), deadline);
		return dialled.map(connection => ({connection, release: connection.close}));
	};

	/** Asks a target whether it leads by beginning a write transaction, which a replica refuses and which needs no slot; rolls it back at once. Its position is recorded if the proof that it leads is certain, or confirmed when `mustConfirm` is set. */
	const ping = async (id: TargetId, deadline: Deadline, {mustDial, mustConfirm}: PingOptions): Promise<PingResult> => {
		const pingDeadline = Math.min(deadline, createDeadline(runtime.now(), PING_TIMEOUT_MS)) as Deadline;
		const sentAt = readSuspensionClock();
		const proof = appointments.startProof(id);
		const acquired = await acquireConnection(id, pingDeadline, mustDial);
		if (!acquired?.ok) {
			return acquired && acquired.val.code !== 'silent' ? 'refused' : undefined;
		}

		const handle = acquired.val;
		const {replies, ended} = await handle.connection.execute([{kind: 'begin', readOnly: false, after: undefined}, {kind: 'rollback'}], pingDeadline);
		const [beginReply, rollbackReply] = replies;
		handle.release(ended === 'no' && rollbackReply?.status === 'idle');
		if (!beginReply) {
			return undefined;
		}

		healthTracker.recordResponse(id);
		if (beginReply.result.kind === 'done' && beginReply.position) {
			if (mustConfirm ? await proof.confirm() : proof.isCertain()) {
				recordLeadEvidence({context, positionHistory, leaderTracker}, id, {work: 'beginForWriting', reply: beginReply, sentAt});
			} else {
				leaderTracker.markLeading(id, runtime.now());
			}

			return 'leads';
		}

		if (beginReply.result.kind === 'error' && beginReply.result.code === 'readOnly') {
			leaderTracker.markFollowing(id, runtime.now());
			return 'follows';
		}

		return 'unclear';
	};

	/** Pings on an idle connection and then on a new one, as an idle connection may have died without a TCP reset. */
	const pingWithRedial = async (id: TargetId, timeoutMs: number): Promise<PingResult> => {
		const idleResult = connections.get(id)?.hasIdle() ? await ping(id, createDeadline(runtime.now(), timeoutMs), {mustDial: false, mustConfirm: false}) : undefined;
		return idleResult ?? ping(id, createDeadline(runtime.now(), timeoutMs), {mustDial: true, mustConfirm: false});
	};

	const verifyLeader = createSingleFlight(async (): Promise<boolean> => {
		const leader = leaderTracker.getLeader() ?? appointments.getAppointed();
		return leader !== undefined && await ping(leader, createDeadline(runtime.now(), PING_TIMEOUT_MS), {mustDial: false, mustConfirm: true}) === 'leads';
	});

	const queryStatus: DatabaseOwner['queryStatus'] = async (target, deadline, precedingCommand) => {
		const registered = targets.get(target.id);
		const acquired = registered && isSameRun(registered, target) ? await acquireConnection(target.id, deadline) : undefined;
		const dialled = acquired ?? await dialOnce(target, deadline);
		if (dialled.err) {
			return dialled;
		}

		const handle = dialled.val;
		const commands: readonly Command[] = precedingCommand ? [precedingCommand, {kind: 'status'}] : [{kind: 'status'}];
		const {replies, ended} = await handle.connection.execute(commands, deadline);
		handle.release(ended === 'no');
		const reply = replies[commands.length - 1];
		const status = reply && replies.every(({result}) => result.kind === 'done') ? context.readStatus(reply) : undefined;
		return status ? Ok(status) : Err({code: 'noStatus', message: reply ? 'the target refused the command or its reply contains no status' : 'the target did not reply'});
	};

	const sharedComponents: SharedComponents = {
		context,
		positionHistory,
		leaderTracker,
		commitProofs: createCommitProofs({
			runtime,
			getKnownGroup: context.getKnownGroup,
			listTargets: () => [...targets.values()],
			queryStatus: async target => queryStatus(target, createDeadline(runtime.now(), PING_TIMEOUT_MS)),
		}),
		scheduler,
		coldTargets,
		healthTracker: {
			...healthTracker,
			markSuspect(id, reason) {
				recordLoss(id);
				healthTracker.markSuspect(id, reason);
			},
		},
		targetPaces,
		getTarget: (id: TargetId) => targets.get(id),
		listTargets: () => [...targets.values()],
		getConnections: (id: TargetId) => connections.get(id),
		onTargetDown(target, callback) {
			const callbacks = targetDownCallbacks.get(target) ?? new Set();
			targetDownCallbacks.set(target, callbacks);
			callbacks.add(callback);
			return () => {
				callbacks.delete(callback);
			};
		},
		async verifyPosition(deadline: Deadline) {
			return !isPast(deadline, runtime.now()) && verifyLeader();
		},
		getAcceptingMs(id) {
			const target = targets.get(id);
			if (!target || (target.isEvacuated && !hasStayingDataCentre())) {
				return 0;
			}

			return Math.min(target.acceptsUntil - START_MARGIN_MS - readSuspensionClock(), getSendingMs(target.dataCentre));
		},
		getSendingMs,
		isReachable(id) {
			const target = targets.get(id);
			return !target || context.isDataCentreReachable(target.dataCentre)
				|| runtime.now() - (healthTracker.getLastResponseAt(id) ?? PAST) < RECENT_RESPONSE_MS;
		},
		areWritesPaused: () => areWritesPaused,
	};
	const transactions = createTransactions(sharedComponents);
	const components: DatabaseOwnerComponents = {...sharedComponents, transactions};

	const run = async (request: StatementRequest): Promise<StatementResponse> => {
		lastCustomer = request.customer;
		const deadline = createDeadline(runtime.now(), request.remainingMs);
		if (!request.isTokenAcquired && (!request.transaction || request.transaction.isFirst)) {
			const token = await context.acquireToken(request.customer, createDeadline(runtime.now(), Math.min(request.remainingMs, request.promptMs)));
			if (token.err) {
				context.onDecision({
					kind: 'refused', requestId: request.id, customer: request.customer, target: '', reason: token.val.message, ageMs: 0,
				});
				const response = createResponse(createRefusal('overShare', token.val.message, token.val.retryAfterMs), 0, request.transaction ? 'failed' : 'idle');
				return token.val.code === 'unallocated' ? {...response, isUnallocated: true} : response;
			}
		}

		if (request.transaction) {
			return transactions.serve(request, deadline);
		}

		return request.statement.kind === 'commit'
			? createResponse(createRefusal('malformed', 'COMMIT outside a transaction'))
			: serveSingleStatement(components, request, deadline);
	};

	return {
		async serve(request) {
			const response = await run(request);
			return {...response, verified: positionHistory.getLastVerified(readSuspensionClock())};
		},
		rollBack: transactions.rollBack,
		setTargets(newTargets) {
			for (const [id, currentTarget] of targets) {
				if (!newTargets.some(target => isSameRun(target, currentTarget))) {
					connections.get(id)?.close();
					connections.delete(id);
					targets.delete(id);
					healthTracker.remove(id);
					coldTargets.remove(id);
					targetPaces.remove(id);
				}
			}

			for (const target of newTargets) {
				targets.set(target.id, target);
				if (!connections.has(target.id)) {
					connections.set(target.id, createTargetConnections(target, context.dial, context.getConnectionLimit, runtime));
				}
			}

			leaderTracker.applyRegistry(newTargets, runtime.now());
			transactions.limitToEvacuations();
			scheduler.setTargets(newTargets);
		},
		refreshLeader: leaderTracker.refresh,
		ping: async (id, deadline) => pingWithRedial(id, deadline - runtime.now()),
		queryStatus,
		pauseWrites(isPaused) {
			areWritesPaused = isPaused;
			scheduler.admitWaiting();
		},
		closeIdleConnections(idleMs) {
			const idleSince = createDeadline(runtime.now(), -idleMs) as number as Instant;
			for (const targetConnections of connections.values()) {
				targetConnections.closeIdle(idleSince);
			}
		},
		components,
	};
};
