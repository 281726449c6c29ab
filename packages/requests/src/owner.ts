/** Serves requests at the owner of a target: one task for each request, from its header to the end of its transaction. Independent of the wire encoding. */

import {
	createDeadline, type CustomerId, type DatabaseId, type Deadline, type TargetId, type RequestId, type Result, type Stream, type Runtime, type TransactionStatus,
} from '@guavapitch/core';
import type {
	FairQueue, ConnectionHandle, Permit, Pool,
} from '@guavapitch/pool';
import type {
	Refusal, Reply, RequestChunk, RequestHeader, RequestMode,
} from '@guavapitch/sessions';

/** Connection to a target, as far as serving a request needs it. */
export type CancelableConnection = AsyncDisposable & Readonly<{
	/** Asks the target to cancel the statement that runs on the connection. */
	cancel: () => void;
}>;

/** Queue and connections of a target at its owner. */
export type OwnedTarget<Connection extends CancelableConnection> = Readonly<{
	queue: FairQueue;
	pool: Pool<Connection>;
	/** Tells whether the target is being removed and gets no new requests. */
	isLeaving: () => boolean;
}>;

/** Whether a write was confirmed durable before waiting for it ended. */
export type DurabilityState = 'durable' | 'unproved';

/** A write whose response is withheld until the write is durable; `term` is the term in which it ran. */
export type PendingWrite = Readonly<{database: DatabaseId; target: TargetId; term: number; deadline: Deadline; signal: AbortSignal}>;

/** Dependencies of serving requests at an owner. */
export type OwnerContext<Connection extends CancelableConnection> = Readonly<{
	runtime: Runtime;
	/** Returns a target that this process owns; `undefined` if it does not own it. */
	getTarget: (target: TargetId) => OwnedTarget<Connection> | undefined;
	/** Sends a chunk to the target and forwards the response. */
	runChunk: RunChunk<Connection>;
	/** Checks that the owner's grant allows sending a request to the target now; returns the term of the grant. */
	checkGrant: (header: RequestHeader) => Result<number, Refusal>;
	/** Waits until a write is durable, so that its response may be sent. */
	waitUntilDurable: (write: PendingWrite) => Promise<DurabilityState>;
	/** Waits until the owner's grant no longer allows the target to answer a request, or until the deadline; returns early when the signal aborts. */
	waitUntilUnanswerable: (header: RequestHeader, term: number, deadline: Deadline, signal: AbortSignal) => Promise<void>;
	/** Called with the time for which a request occupied its slot, in milliseconds. */
	onServed: (customer: CustomerId, mode: RequestMode, usedMs: number) => void;
	/** Registers the function that cancels a running request, until the result is disposed. */
	registerCancel: (requestId: RequestId, cancel: () => void) => Disposable;
	/** Counts a request as running until the result is disposed, so that a process that shuts down can wait for it. */
	trackRequest: (header: RequestHeader) => Disposable;
	/** Tells whether the process is shutting down and accepts no new requests. */
	isDraining: () => boolean;
}>;

/** The owner's end of the stream of a request. */
export type OwnerStream = Stream<Reply, RequestChunk>;

/** A request that is being served, and its target. */
type ActiveRequest<Connection extends CancelableConnection> = Readonly<{context: OwnerContext<Connection>; header: RequestHeader; stream: OwnerStream; target: OwnedTarget<Connection>}>;

/** Result of running a chunk. */
export type ChunkResult
	/** The response is complete, and the target is ready for the next chunk. */
	= | Readonly<{kind: 'ready'; status: TransactionStatus}>
	/** The response to a chunk that ended with a Flush is complete; `isSkipping` as for `ChunkTask`. */
		| Readonly<{kind: 'flushed'; isSkipping: boolean}>
	/** The target refused the chunk because it writes; nothing was forwarded. */
		| Readonly<{kind: 'readOnly'}>
	/** The connection was lost, or the final completion message may not be forwarded. */
		| Readonly<{kind: 'lost'}>;

/** A chunk to run and the callbacks for its response. */
export type ChunkTask = Readonly<{
	chunk: RequestChunk;
	/** Whether the target ignores all messages up to the next Sync because of an error. */
	isSkipping: boolean;
	/** Whether the request may write; an error that refuses a write is then forwarded like any other response. */
	isWrite: boolean;
	/** Called when the response starts. */
	onResponseStarted: () => void;
	/** Forwards messages of the response. */
	send: (bytes: Uint8Array) => Promise<void>;
	/** Tells whether the final completion message may be forwarded, given the transaction status at the target; waits for durability if necessary. */
	mayForwardCompletion: (status: TransactionStatus) => Promise<boolean>;
}>;

/** Sends a chunk over a connection and forwards the response, withholding its final completion message until `mayForwardCompletion` allows it. */
export type RunChunk<Connection> = (connection: Connection, task: ChunkTask) => Promise<ChunkResult>;

/** State in which a connection is released to the pool. */
type ConnectionState = 'clean' | 'dirty' | 'broken';

/** First chunk of a transaction, the permit for its slot and the term in which it runs. */
type TransactionStart = Readonly<{chunk: RequestChunk; permit: Permit; term: number}>;

const RESPONSE_COMPLETE = 'the response is complete';
const OUTCOME_UNKNOWN_MESSAGE = 'The connection to the database was lost, or the primary was replaced, before the request was confirmed complete and durable';

const createRefusal = (code: Refusal['code'], message: string, retryAfterMs?: number): Refusal => ({code, message, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});

/** Receives the next chunk of a transaction; `idle` if none arrives within the idle timeout, `undefined` if the stream has ended. */
const receiveNextChunk = async <Connection extends CancelableConnection>(request: ActiveRequest<Connection>): Promise<RequestChunk | 'idle' | undefined> => {
	const {context, stream, header} = request;
	const idleTimer = new AbortController();
	const idleTimeout = context.runtime.sleep(header.idleTransactionMs, idleTimer.signal).then(() => 'idle' as const, () => undefined);
	const nextChunk = await Promise.race([stream.receive(), idleTimeout]);
	idleTimer.abort();
	return nextChunk;
};

/** A response that is being waited for. */
type PendingResponse = Readonly<{term: number; hasStarted: () => boolean; doneSignal: AbortSignal}>;

/** Cancels and closes a connection when its target cannot answer in time or its response may no longer be used; a read whose response has started continues. */
const cancelIfUnanswerable = async <Connection extends CancelableConnection>(request: ActiveRequest<Connection>, connection: Connection, {
	term, hasStarted, doneSignal,
}: PendingResponse): Promise<void> => {
	const {context, header} = request;
	const deadline = createDeadline(context.runtime.now(), header.remainingMs);
	await context.waitUntilUnanswerable(header, term, deadline, doneSignal);
	const isReadUnderWay = header.mode !== 'write' && hasStarted();
	if (!doneSignal.aborted && !isReadUnderWay) {
		connection.cancel();
		await connection[Symbol.asyncDispose]();
	}
};

/** Reports a lost connection: the outcome is unknown if a commit may have been sent, otherwise the transaction was rolled back. */
const sendLostOutcome = async <Connection extends CancelableConnection>(request: ActiveRequest<Connection>, status: TransactionStatus, mayCommit: boolean): Promise<void> => {
	const {stream} = request;
	const isOutcomeUnknown = status === 'idle' || mayCommit;
	await stream.send(isOutcomeUnknown
		? {kind: 'unknown', message: OUTCOME_UNKNOWN_MESSAGE}
		: {kind: 'rolledBack', message: 'The connection to the database was lost, or the primary was replaced; the transaction was rolled back'});
};

/** Runs chunks on a connection until the transaction has ended; returns the state of the connection. */
const runTransaction = async <Connection extends CancelableConnection>(request: ActiveRequest<Connection>, handle: ConnectionHandle<Connection>, start: TransactionStart): Promise<ConnectionState> => {
	const {context, header, stream, target} = request;
	const {connection} = handle;
	const cancel = () => {
		connection.cancel();
	};

	using registration = context.registerCancel(header.requestId, cancel);
	let isDirty = false;
	let chunk = start.chunk as RequestChunk | 'idle' | undefined;
	let permit = start.permit as Permit | undefined;
	let isSkipping = false;
	let status: TransactionStatus = 'idle';

	const send = async (bytes: Uint8Array) => {
		await stream.send({kind: 'messages', bytes});
	};

	const mayForwardCompletion = async (statusAtTarget: TransactionStatus): Promise<boolean> => {
		permit?.[Symbol.dispose]();
		if (statusAtTarget === 'idle' && header.mode === 'write') {
			const deadline = createDeadline(context.runtime.now(), header.remainingMs);
			const state = await context.waitUntilDurable({
				database: header.database, target: header.target, term: start.term, deadline, signal: stream.signal,
			});
			return state === 'durable';
		}

		return true;
	};

	while (chunk !== undefined && chunk !== 'idle') {
		if (!permit) {
			const entered = await target.queue.enter({
				customer: header.customer, weight: header.weight, deadline: createDeadline(context.runtime.now(), header.idleTransactionMs), isPinned: true,
			}, stream.signal);
			if (entered.err) {
				return 'broken';
			}

			permit = entered.val;
		}

		isDirty ||= chunk.leavesState;
		stream.signal.addEventListener('abort', cancel, {once: true});
		const responseDone = new AbortController();
		let hasStarted = false;
		const onResponseStarted = () => {
			hasStarted = true;
		};

		void cancelIfUnanswerable(request, connection, {term: start.term, hasStarted: () => hasStarted, doneSignal: responseDone.signal});
		const result: ChunkResult = await context.runChunk(connection, {
			chunk, isSkipping, isWrite: header.mode === 'write', onResponseStarted, send, mayForwardCompletion,
		});
		responseDone.abort(RESPONSE_COMPLETE);
		stream.signal.removeEventListener('abort', cancel);
		context.onServed(header.customer, header.mode, context.runtime.now() - permit.startedAt);
		permit[Symbol.dispose]();
		permit = undefined;
		if (result.kind === 'readOnly') {
			await stream.send({kind: 'readOnly'});
			return 'broken';
		}

		if (result.kind === 'lost') {
			await sendLostOutcome(request, status, chunk.mayCommit);
			return 'broken';
		}

		isSkipping = result.kind === 'flushed' && result.isSkipping;
		if (result.kind === 'ready') {
			status = result.status;
			await stream.send({kind: 'ready', status});
			if (status === 'idle') {
				return isDirty ? 'dirty' : 'clean';
			}
		} else {
			status = status === 'idle' ? 'open' : status;
			await stream.send({kind: 'flushed'});
		}

		chunk = await receiveNextChunk(request);
	}

	if (chunk === 'idle') {
		await stream.send({kind: 'rolledBack', message: 'The transaction was rolled back because it exceeded its idle timeout'});
	}

	return 'dirty';
};

/** Serves one request; a refused request has not run. */
export const serveRequest = async <Connection extends CancelableConnection>(context: OwnerContext<Connection>, header: RequestHeader, stream: OwnerStream): Promise<void> => {
	const refuse = async (refusal: Refusal) => {
		await stream.send({kind: 'refused', refusal});
	};

	using tracked = context.trackRequest(header);
	const deadline = createDeadline(context.runtime.now(), header.remainingMs);
	const target = context.getTarget(header.target);
	if (!target || context.isDraining()) {
		await refuse(createRefusal('notHome', 'This vm does not own the target, or is shutting down'));
		return;
	}

	if (target.isLeaving()) {
		await refuse(createRefusal('targetLeaving', 'The target is being removed and accepts no new requests'));
		return;
	}

	const initialGrant = context.checkGrant(header);
	if (initialGrant.err) {
		await refuse(initialGrant.val);
		return;
	}

	const entered = await target.queue.enter({
		customer: header.customer, weight: header.weight, deadline, isPinned: false,
	}, stream.signal);
	if (entered.err) {
		const {code, message, retryAfterMs} = entered.val;
		await refuse(createRefusal(code === 'queueFull' ? 'queueFull' : 'deadlinePassed', message, retryAfterMs));
		return;
	}

	using permit = entered.val;
	const acquired = await target.pool.acquire(deadline);
	if (acquired.err) {
		await refuse(createRefusal(acquired.val.code, acquired.val.message));
		return;
	}

	const handle = acquired.val;
	const firstChunk = await stream.receive();
	const grant = context.checkGrant(header);
	if (grant.err || firstChunk === undefined) {
		handle.release('clean');
		await refuse(grant.err ? grant.val : createRefusal('deadlinePassed', 'The caller has disconnected'));
		return;
	}

	let state: ConnectionState = 'broken';
	try {
		state = await runTransaction({
			context, header, stream, target,
		}, handle, {chunk: firstChunk, permit, term: grant.val});
	} finally {
		handle.release(state);
	}
};
