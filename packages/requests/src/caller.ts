/** One caller: the task that serves its requests, without an encoding. */

import {
	isAbort, type CustomerId, type Result, type ServiceId, type Stream, type TransactionStatus,
} from '@guavapitch/core';
import type {
	Refusal, Reply, RequestChunk, RequestMode, StatementClass,
} from '@guavapitch/sessions';

/** Who a caller proved to be. */
export type CallerIdentity = Readonly<{
	service: ServiceId;
	/** Customer whose key came with the connection; `undefined` on a service open to all. */
	customer: CustomerId | undefined;
	/** Identifier of the key, never the key. */
	keyId: string | undefined;
}>;

/** A request that a home has begun to answer. */
export type RunningRequest = AsyncDisposable & Readonly<{
	requestId: string;
	/** Mode in which the home serves it. */
	mode: RequestMode;
	/** The home's first reply. */
	firstReply: Reply;
	stream: Stream<RequestChunk, Reply>;
}>;

/** How a request could not be served. */
export type RequestFailure = Readonly<{requestId: string; failure: Refusal | Readonly<{code: 'outcomeUnknown'; message: string}>}>;

/** How a request ended for its caller. */
export type RequestOutcome
	= | Readonly<{kind: 'done'}>
		| Readonly<{kind: 'refused' | 'unknown'; code: RequestFailure['failure']['code'] | 'rolledBack'; message: string}>;

/** What the caller's task asks of the entry. */
export type CallerContext = Readonly<{
	/** Checks the key, spends the share and routes; retries whatever has certainly not run. */
	startRequest: (caller: CallerIdentity, chunk: RequestChunk, statement: StatementClass, signal: AbortSignal) => Promise<Result<RunningRequest, RequestFailure>>;
	/** Checks the key and spends the share for a further chunk of a transaction. */
	continueRequest: (caller: CallerIdentity, signal: AbortSignal) => Promise<Result<undefined, RequestFailure>>;
	/** Cancels the statement that a home runs. */
	cancelRequest: (requestId: string) => void;
	/** Tells whether the connection must end before another request. */
	getCloseReason: (caller: CallerIdentity) => Refusal | undefined;
	/** Hears of outcomes. */
	onOutcome: (caller: CallerIdentity, requestId: string, outcome: RequestOutcome) => void;
}>;

/** State of one caller that other tasks may act on. */
export type CallerControl = {
	/** Cancels the running request. */
	cancel: () => void;
	/** Whether nothing is under way, so that the connection may be closed. */
	idle: boolean;
};

/** A chunk as it came; an invalid one is rejected by the codec, which knows what was wrong. */
export type ReceivedChunk = Readonly<{
	/** Reads on to the end of the request that the chunk began; `false` if the caller left. */
	skipRest: () => Promise<boolean>;
}> & (
	| Readonly<{kind: 'chunk'; chunk: RequestChunk; statement: StatementClass}>
	| Readonly<{kind: 'invalid'; reject: () => Promise<void>}>
);

/** The caller's connection as its task sees it. */
export type CallerPort = Readonly<{
	/** Receives the next chunk; `undefined` when the caller has left. */
	receive: () => Promise<ReceivedChunk | undefined>;
	/** Tells whether part of a chunk has come. */
	hasPending: () => boolean;
	/** Sends messages of a target as they are. */
	sendMessages: (bytes: Uint8Array) => Promise<void>;
	/** Sends that the next request may come. */
	sendReady: (status: TransactionStatus) => Promise<void>;
	/** Sends how a request failed. */
	sendFailure: (failure: RequestFailure) => Promise<void>;
	/** Sends that nothing of a transaction was kept; the connection ends after it. */
	sendRolledBack: (message: string) => Promise<void>;
	/** Sends that a running request was lost. */
	sendLost: (requestId: string, message: string, endsConnection: boolean) => Promise<void>;
	/** Sends why the connection ends. */
	sendCloseReason: (refusal: Refusal) => Promise<void>;
	/** Calls a function if the connection closes before the result is disposed. */
	onClose: (leave: () => void) => Disposable;
}>;

/** How one chunk ended for the caller. */
type Answered = Readonly<{status: TransactionStatus; flushed: boolean; closing: boolean}>;

/** A running request, its next reply and the status before it. */
type ReplyTurn = Readonly<{request: RunningRequest; first: Reply | undefined; before: TransactionStatus}>;

/** A caller and what its task works with. */
type Attended = Readonly<{caller: CallerIdentity; port: CallerPort; context: CallerContext}>;

const LOST_MESSAGE = 'The vm that ran the request was lost';

/** Relays the replies of a home to the caller until the chunk is answered. */
const relayReplies = async ({caller, port, context}: Attended, {request, first, before}: ReplyTurn): Promise<Answered> => {
	let reply = first;
	while (true) {
		switch (reply?.kind) {
			case 'messages': {
				await port.sendMessages(reply.bytes);
				break;
			}

			case 'ready': {
				await port.sendReady(reply.status);
				context.onOutcome(caller, request.requestId, {kind: 'done'});
				return {status: reply.status, flushed: false, closing: false};
			}

			case 'flushed': {
				return {status: before, flushed: true, closing: false};
			}

			case 'rolledBack': {
				await port.sendRolledBack(reply.message);
				context.onOutcome(caller, request.requestId, {kind: 'refused', code: 'rolledBack', message: reply.message});
				return {status: 'idle', flushed: false, closing: true};
			}

			default: {
				const message = reply?.kind === 'unknown' ? reply.message : LOST_MESSAGE;
				const inTransaction = before !== 'idle';
				await port.sendLost(request.requestId, message, inTransaction);
				context.onOutcome(caller, request.requestId, {kind: 'unknown', code: 'outcomeUnknown', message});
				if (!inTransaction) {
					await port.sendReady('idle');
				}

				return {status: 'idle', flushed: false, closing: inTransaction};
			}
		}

		reply = await request.stream.receive();
	}
};

/** Serves a caller until it leaves, or until it must be closed between two requests. */
export const serveCaller = async (caller: CallerIdentity, port: CallerPort, context: CallerContext, control: CallerControl): Promise<void> => {
	const attended: Attended = {caller, port, context};
	let running: RunningRequest | undefined;
	let status: TransactionStatus = 'idle';

	const refuse = async (received: ReceivedChunk, {requestId, failure}: RequestFailure): Promise<boolean> => {
		const kind = failure.code === 'outcomeUnknown' ? 'unknown' : 'refused';
		context.onOutcome(caller, requestId, {kind, code: failure.code, message: failure.message});
		await port.sendFailure({requestId, failure});
		const goesOn = await received.skipRest();
		await port.sendReady(status);
		return goesOn;
	};

	/** Begins a request or sends the chunk to the one that runs; gives the first reply. */
	const pass = async (received: ReceivedChunk & Readonly<{kind: 'chunk'}>, signal: AbortSignal): Promise<Result<RunningRequest, RequestFailure> | ReplyTurn> => {
		if (!running) {
			return context.startRequest(caller, {...received.chunk, mayCommit: true}, received.statement, signal);
		}

		const allowed = await context.continueRequest(caller, signal);
		if (allowed.err) {
			return allowed;
		}

		await running.stream.send(received.chunk);
		return {request: running, first: await running.stream.receive(), before: status};
	};

	const serveChunk = async (received: ReceivedChunk, signal: AbortSignal): Promise<boolean> => {
		if (received.kind === 'invalid') {
			await received.reject();
			const goesOn = await received.skipRest();
			await port.sendReady(status);
			return goesOn;
		}

		const passed = await pass(received, signal);
		if ('err' in passed && passed.err) {
			return refuse(received, passed.val);
		}

		const turn = 'request' in passed ? passed : {request: passed.val, first: passed.val.firstReply, before: status};
		running = turn.request;
		const answered = await relayReplies(attended, turn);
		status = answered.status;
		if (status === 'idle' && !answered.flushed) {
			await running[Symbol.asyncDispose]();
			running = undefined;
		}

		return !answered.closing;
	};

	let gone = new AbortController();
	const leave = () => {
		gone.abort();
	};

	control.cancel = () => {
		if (running) {
			context.cancelRequest(running.requestId);
		} else {
			leave();
		}
	};

	try {
		while (true) {
			control.idle = running === undefined && !port.hasPending();
			const closing = control.idle ? context.getCloseReason(caller) : undefined;
			if (closing) {
				await port.sendCloseReason(closing);
				return;
			}

			const received = await port.receive();
			if (!received) {
				return;
			}

			control.idle = false;
			gone = new AbortController();
			using watched = port.onClose(leave);
			if (!await serveChunk(received, gone.signal)) {
				return;
			}
		}
	} catch (error) {
		if (!isAbort(error)) {
			throw error;
		}
	} finally {
		await running?.[Symbol.asyncDispose]();
	}
};
