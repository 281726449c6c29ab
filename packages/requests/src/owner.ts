/** The home's part of a request: one task from its header to the end of its transaction, without an encoding. */

import {
	createDeadline, type CustomerId, type DatabaseId, type Deadline, type TargetId, type RequestId, type Result, type Stream, type World, type TransactionStatus,
} from '@guavapitch/core';
import type {
	FairQueue, ConnectionHandle, Permit, Pool,
} from '@guavapitch/pool';
import type {
	Refusal, Reply, RequestChunk, RequestHeader, RequestMode,
} from '@guavapitch/sessions';

/** Connection to a target as the decisions see it. */
export type CancelableConnection = AsyncDisposable & Readonly<{
	/** Asks the target to cancel what runs on the connection. */
	cancel: () => void;
}>;

/** A target as its home works it. */
export type OwnedTarget<Connection extends CancelableConnection> = Readonly<{
	queue: FairQueue;
	pool: Pool<Connection>;
	/** Tells whether the target gets no new work. */
	isLeaving: () => boolean;
}>;

/** How waiting for a durable answer ended. */
export type DurabilityState = 'durable' | 'unproved';

/** An answer that waits for its release. */
export type PendingWrite = Readonly<{database: DatabaseId; target: TargetId; term: number; deadline: Deadline; signal: AbortSignal}>;

/** What a home decides with. */
export type OwnerContext<Connection extends CancelableConnection> = Readonly<{
	world: World;
	/** Gets a target of which this process is home. */
	getTarget: (target: TargetId) => OwnedTarget<Connection> | undefined;
	/** Sends a chunk to the target and passes its answer on. */
	runChunk: RunChunk<Connection>;
	/** Checks that a request may be sent to the target now; gives the term. */
	checkGrant: (header: RequestHeader) => Result<number, Refusal>;
	/** Waits until the answer of a write may be released. */
	waitUntilDurable: (answer: PendingWrite) => Promise<DurabilityState>;
	/** Waits until the target may no longer answer a request, or its deadline has passed; ends early when the signal aborts. */
	waitUntilUnanswerable: (header: RequestHeader, term: number, deadline: Deadline, signal: AbortSignal) => Promise<void>;
	/** Hears how long a request held its slot. */
	onServed: (customer: CustomerId, mode: RequestMode, usedMs: number) => void;
	/** Keeps the function that cancels a request while it runs; disposing forgets it. */
	registerCancel: (requestId: RequestId, cancel: () => void) => Disposable;
	/** Counts a request in until it is disposed, so that a leaving process can wait for it. */
	trackRequest: (header: RequestHeader) => Disposable;
	/** Tells whether the process takes no new requests. */
	isDraining: () => boolean;
}>;

/** The home's end of a request. */
export type OwnerStream = Stream<Reply, RequestChunk>;

type Served<Connection extends CancelableConnection> = Readonly<{context: OwnerContext<Connection>; header: RequestHeader; stream: OwnerStream; target: OwnedTarget<Connection>}>;

/** How a chunk ended. */
export type ChunkResult
	= | Readonly<{kind: 'ready'; status: TransactionStatus}>
		| Readonly<{kind: 'flushed'; skipping: boolean}>
		| Readonly<{kind: 'readOnly'}>
		| Readonly<{kind: 'lost'}>;

/** A chunk and where its answer goes. */
export type ChunkTask = Readonly<{
	chunk: RequestChunk;
	/** Whether the target ignores everything up to a Sync after an error. */
	skipping: boolean;
	/** Whether the request may write, so that a refusal to write is an answer like others. */
	isWrite: boolean;
	/** Hears that the answer has begun. */
	onResponseStarted: () => void;
	/** Passes messages of the answer on. */
	send: (bytes: Uint8Array) => Promise<void>;
	/** Tells whether the last completion may be given, now that the target is in a status. */
	mayRelease: (status: TransactionStatus) => Promise<boolean>;
}>;

/** Sends a chunk over a connection and passes the answer on, holding back its last completion until it may be given. */
export type RunChunk<Connection> = (connection: Connection, turn: ChunkTask) => Promise<ChunkResult>;

/** State in which a connection is given back. */
type LoanState = 'clean' | 'dirty' | 'broken';

/** What a transaction starts with. */
type FirstTurn = Readonly<{chunk: RequestChunk; permit: Permit; term: number}>;

const ANSWERED = 'the answer has come';
const UNPROVED_MESSAGE = 'The connection to the database was lost, or the primary was replaced, before the answer was proved durable';

const createRefusal = (code: Refusal['code'], message: string, retryAfterMs?: number): Refusal => ({code, message, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});

/** Waits for the next chunk of a transaction, at most until its idle deadline. */
const receiveNext = async <Connection extends CancelableConnection>(served: Served<Connection>): Promise<RequestChunk | 'idle' | undefined> => {
	const {context, stream, header} = served;
	const timer = new AbortController();
	const idle = context.world.sleep(header.idleTransactionMs, timer.signal).then(() => 'idle' as const, () => undefined);
	const next = await Promise.race([stream.receive(), idle]);
	timer.abort();
	return next;
};

/** An answer that is waited for. */
type AwaitedAnswer = Readonly<{term: number; hasBegun: () => boolean; answered: AbortSignal}>;

/** Ends a connection whose target will not answer in time, or whose answer could not be used; a read that is being answered goes on. */
const giveUpWhenHopeless = async <Connection extends CancelableConnection>(served: Served<Connection>, connection: Connection, {term, hasBegun, answered}: AwaitedAnswer): Promise<void> => {
	const {context, header} = served;
	const deadline = createDeadline(context.world.now(), header.remainingMs);
	await context.waitUntilUnanswerable(header, term, deadline, answered);
	const isOfUse = header.mode !== 'write' && hasBegun();
	if (!answered.aborted && !isOfUse) {
		connection.cancel();
		await connection[Symbol.asyncDispose]();
	}
};

const sendLoss = async <Connection extends CancelableConnection>(served: Served<Connection>, status: TransactionStatus, committed: boolean): Promise<void> => {
	const {stream} = served;
	const isUnknown = status === 'idle' || committed;
	await stream.send(isUnknown ? {kind: 'unknown', message: UNPROVED_MESSAGE} : {kind: 'rolledBack', message: 'The transaction was rolled back'});
};

/** Runs chunks on a connection until the transaction is over; tells in what state the connection is left. */
const runTransaction = async <Connection extends CancelableConnection>(served: Served<Connection>, loan: ConnectionHandle<Connection>, first: FirstTurn): Promise<LoanState> => {
	const {context, header, stream, target} = served;
	const {connection} = loan;
	const cancel = () => {
		connection.cancel();
	};

	using kept = context.registerCancel(header.requestId, cancel);
	let dirty = false;
	let chunk = first.chunk as RequestChunk | 'idle' | undefined;
	let permit = first.permit as Permit | undefined;
	let skipping = false;
	let status: TransactionStatus = 'idle';

	const send = async (bytes: Uint8Array) => {
		await stream.send({kind: 'messages', bytes});
	};

	const mayRelease = async (next: TransactionStatus): Promise<boolean> => {
		permit?.[Symbol.dispose]();
		if (next === 'idle' && header.mode === 'write') {
			const deadline = createDeadline(context.world.now(), header.remainingMs);
			const state = await context.waitUntilDurable({
				database: header.database, target: header.target, term: first.term, deadline, signal: stream.signal,
			});
			return state === 'durable';
		}

		return true;
	};

	while (chunk !== undefined && chunk !== 'idle') {
		if (!permit) {
			const entered = await target.queue.enter({
				customer: header.customer, weight: header.weight, deadline: createDeadline(context.world.now(), header.idleTransactionMs), pinned: true,
			}, stream.signal);
			if (entered.err) {
				return 'broken';
			}

			permit = entered.val;
		}

		dirty ||= chunk.leavesState;
		stream.signal.addEventListener('abort', cancel, {once: true});
		const answered = new AbortController();
		let begun = false;
		const onBegin = () => {
			begun = true;
		};

		void giveUpWhenHopeless(served, connection, {term: first.term, hasBegun: () => begun, answered: answered.signal});
		const end: ChunkResult = await context.runChunk(connection, {
			chunk, skipping, isWrite: header.mode === 'write', onResponseStarted: onBegin, send, mayRelease,
		});
		answered.abort(ANSWERED);
		stream.signal.removeEventListener('abort', cancel);
		context.onServed(header.customer, header.mode, context.world.now() - permit.startedAt);
		permit[Symbol.dispose]();
		permit = undefined;
		if (end.kind === 'readOnly') {
			await stream.send({kind: 'readOnly'});
			return 'broken';
		}

		if (end.kind === 'lost') {
			await sendLoss(served, status, chunk.mayCommit);
			return 'broken';
		}

		skipping = end.kind === 'flushed' && end.skipping;
		if (end.kind === 'ready') {
			status = end.status;
			await stream.send({kind: 'ready', status});
			if (status === 'idle') {
				return dirty ? 'dirty' : 'clean';
			}
		} else {
			status = status === 'idle' ? 'open' : status;
			await stream.send({kind: 'flushed'});
		}

		chunk = await receiveNext(served);
	}

	if (chunk === 'idle') {
		await stream.send({kind: 'rolledBack', message: 'The transaction was idle for too long and was rolled back'});
	}

	return 'dirty';
};

/** Serves one request; whatever is refused has not run. */
export const serveRequest = async <Connection extends CancelableConnection>(context: OwnerContext<Connection>, header: RequestHeader, stream: OwnerStream): Promise<void> => {
	const refuse = async (refusal: Refusal) => {
		await stream.send({kind: 'refused', refusal});
	};

	using tracked = context.trackRequest(header);
	const deadline = createDeadline(context.world.now(), header.remainingMs);
	const target = context.getTarget(header.target);
	if (!target || context.isDraining()) {
		await refuse(createRefusal('notHome', 'This vm is not a home of the target'));
		return;
	}

	if (target.isLeaving()) {
		await refuse(createRefusal('targetLeaving', 'The target is leaving'));
		return;
	}

	const before = context.checkGrant(header);
	if (before.err) {
		await refuse(before.val);
		return;
	}

	const entered = await target.queue.enter({
		customer: header.customer, weight: header.weight, deadline, pinned: false,
	}, stream.signal);
	if (entered.err) {
		const {code, message, retryAfterMs} = entered.val;
		await refuse(createRefusal(code === 'queueFull' ? 'queueFull' : 'deadlinePassed', message, retryAfterMs));
		return;
	}

	using permit = entered.val;
	const taken = await target.pool.acquire(deadline);
	if (taken.err) {
		await refuse(createRefusal(taken.val.code, taken.val.message));
		return;
	}

	const loan = taken.val;
	const first = await stream.receive();
	const after = context.checkGrant(header);
	if (after.err || first === undefined) {
		loan.release('clean');
		await refuse(after.err ? after.val : createRefusal('deadlinePassed', 'The caller has gone'));
		return;
	}

	let state: LoanState = 'broken';
	try {
		state = await runTransaction({
			context, header, stream, target,
		}, loan, {chunk: first, permit, term: after.val});
	} finally {
		loan.release(state);
	}
};
