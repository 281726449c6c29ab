/** Serves the requests of one caller at the entry: one task for each caller. Independent of the wire encoding. */

import {
	isAbortError, type CustomerId, type Result, type ServiceId, type Stream, type TransactionStatus,
} from '@guavapitch/core';
import type {
	Refusal, Reply, RequestChunk, RequestMode, StatementClass,
} from '@guavapitch/sessions';

/** Authenticated identity of a caller. */
export type CallerIdentity = Readonly<{
	service: ServiceId;
	/** Customer to whom the key of the connection was issued; `undefined` on a service that needs no key. */
	customer: CustomerId | undefined;
	/** Identifier of the key, never the key itself. */
	keyId: string | undefined;
}>;

/** A request to which an owner has sent its first reply. */
export type RunningRequest = AsyncDisposable & Readonly<{
	requestId: string;
	/** Mode in which the owner serves the request. */
	mode: RequestMode;
	/** First reply of the owner. */
	firstReply: Reply;
	stream: Stream<RequestChunk, Reply>;
}>;

/** Why a request could not be served. */
export type RequestFailure = Readonly<{requestId: string; failure: Refusal | Readonly<{code: 'outcomeUnknown'; message: string}>}>;

/** Outcome of a request, as reported to its caller. */
export type RequestOutcome
	= | Readonly<{kind: 'done'}>
		| Readonly<{kind: 'refused' | 'unknown'; code: RequestFailure['failure']['code'] | 'rolledBack'; message: string}>;

/** Operations of the entry that serving a caller needs. */
export type CallerContext = Readonly<{
	/** Checks the key, acquires a token of the quota and routes the request; retries it only when it is certain that it has not run. */
	startRequest: (caller: CallerIdentity, chunk: RequestChunk, statementClass: StatementClass, signal: AbortSignal) => Promise<Result<RunningRequest, RequestFailure>>;
	/** Checks the key and acquires a token of the quota for a further chunk of a transaction. */
	continueRequest: (caller: CallerIdentity, signal: AbortSignal) => Promise<Result<undefined, RequestFailure>>;
	/** Cancels a request that an owner is running. */
	cancelRequest: (requestId: string) => void;
	/** Returns why the connection must be closed before the next request; `undefined` if it may stay open. */
	getCloseReason: (caller: CallerIdentity) => Refusal | undefined;
	/** Called with the outcome of each request. */
	onOutcome: (caller: CallerIdentity, requestId: string, outcome: RequestOutcome) => void;
}>;

/** State of one caller that other tasks may read or act on. */
export type CallerControl = {
	/** Cancels the running request, or aborts the one that is being started. */
	cancel: () => void;
	/** Whether no request is running or being received, so that the connection may be closed. */
	isIdle: boolean;
};

/** A received chunk; the codec rejects an invalid one itself, since it knows the error. */
export type ReceivedChunk = Readonly<{
	/** Discards the rest of the request that the chunk started; `false` if the caller has disconnected. */
	skipRestOfRequest: () => Promise<boolean>;
}> & (
	| Readonly<{kind: 'chunk'; chunk: RequestChunk; statementClass: StatementClass}>
	| Readonly<{kind: 'invalid'; reject: () => Promise<void>}>
);

/** Connection to a caller, independent of its wire encoding. */
export type CallerPort = Readonly<{
	/** Receives the next chunk; `undefined` when the caller has disconnected. */
	receive: () => Promise<ReceivedChunk | undefined>;
	/** Tells whether part of a chunk has been received. */
	hasPartialChunk: () => boolean;
	/** Sends messages of a target unchanged. */
	sendMessages: (bytes: Uint8Array) => Promise<void>;
	/** Reports that the next request may be sent. */
	sendReady: (status: TransactionStatus) => Promise<void>;
	/** Reports why a request failed. */
	sendFailure: (failure: RequestFailure) => Promise<void>;
	/** Reports that a transaction was rolled back; the connection closes after that. */
	sendRolledBack: (message: string) => Promise<void>;
	/** Reports that the outcome of a running request is unknown; `endsConnection` tells whether the connection closes after that. */
	sendUnknownOutcome: (requestId: string, message: string, endsConnection: boolean) => Promise<void>;
	/** Reports why the connection closes. */
	sendCloseReason: (refusal: Refusal) => Promise<void>;
	/** Calls a listener if the connection closes before the result is disposed. */
	onClose: (listener: () => void) => Disposable;
}>;

/** State of the caller after one chunk; `isFlushed` tells that the chunk ended with a Flush, so that its request continues. */
type ChunkOutcome = Readonly<{status: TransactionStatus; isFlushed: boolean; isClosing: boolean}>;

/** A running request, its next reply, and the transaction status before the reply. */
type PendingReply = Readonly<{request: RunningRequest; nextReply: Reply | undefined; statusBefore: TransactionStatus}>;

/** A caller with its connection and the operations of the entry. */
type ServedCaller = Readonly<{caller: CallerIdentity; port: CallerPort; context: CallerContext}>;

const LOST_MESSAGE = 'The connection to the vm that ran the request was lost';

/** Forwards the owner's replies to the caller, up to the one that completes the chunk. */
const relayReplies = async ({caller, port, context}: ServedCaller, {request, nextReply, statusBefore}: PendingReply): Promise<ChunkOutcome> => {
	let reply = nextReply;
	while (true) {
		switch (reply?.kind) {
			case 'messages': {
				await port.sendMessages(reply.bytes);
				break;
			}

			case 'ready': {
				await port.sendReady(reply.status);
				context.onOutcome(caller, request.requestId, {kind: 'done'});
				return {status: reply.status, isFlushed: false, isClosing: false};
			}

			case 'flushed': {
				return {status: statusBefore, isFlushed: true, isClosing: false};
			}

			case 'rolledBack': {
				await port.sendRolledBack(reply.message);
				context.onOutcome(caller, request.requestId, {kind: 'refused', code: 'rolledBack', message: reply.message});
				return {status: 'idle', isFlushed: false, isClosing: true};
			}

			default: {
				const message = reply?.kind === 'unknown' ? reply.message : LOST_MESSAGE;
				const isInTransaction = statusBefore !== 'idle';
				await port.sendUnknownOutcome(request.requestId, message, isInTransaction);
				context.onOutcome(caller, request.requestId, {kind: 'unknown', code: 'outcomeUnknown', message});
				if (!isInTransaction) {
					await port.sendReady('idle');
				}

				return {status: 'idle', isFlushed: false, isClosing: isInTransaction};
			}
		}

		reply = await request.stream.receive();
	}
};

/** Serves a caller until it disconnects, or until its connection must be closed between two requests. */
export const serveCaller = async (caller: CallerIdentity, port: CallerPort, context: CallerContext, control: CallerControl): Promise<void> => {
	const servedCaller: ServedCaller = {caller, port, context};
	let runningRequest: RunningRequest | undefined;
	let status: TransactionStatus = 'idle';

	const refuse = async (received: ReceivedChunk, {requestId, failure}: RequestFailure): Promise<boolean> => {
		const kind = failure.code === 'outcomeUnknown' ? 'unknown' : 'refused';
		context.onOutcome(caller, requestId, {kind, code: failure.code, message: failure.message});
		await port.sendFailure({requestId, failure});
		const isConnected = await received.skipRestOfRequest();
		await port.sendReady(status);
		return isConnected;
	};

	/** Starts a request, or sends the chunk to the running one; returns the first reply. */
	const sendChunk = async (received: ReceivedChunk & Readonly<{kind: 'chunk'}>, signal: AbortSignal): Promise<Result<RunningRequest, RequestFailure> | PendingReply> => {
		if (!runningRequest) {
			return context.startRequest(caller, {...received.chunk, mayCommit: true}, received.statementClass, signal);
		}

		const allowed = await context.continueRequest(caller, signal);
		if (allowed.err) {
			return allowed;
		}

		await runningRequest.stream.send(received.chunk);
		return {request: runningRequest, nextReply: await runningRequest.stream.receive(), statusBefore: status};
	};

	const serveChunk = async (received: ReceivedChunk, signal: AbortSignal): Promise<boolean> => {
		if (received.kind === 'invalid') {
			await received.reject();
			const isConnected = await received.skipRestOfRequest();
			await port.sendReady(status);
			return isConnected;
		}

		const sent = await sendChunk(received, signal);
		if ('err' in sent && sent.err) {
			return refuse(received, sent.val);
		}

		const pendingReply = 'request' in sent ? sent : {request: sent.val, nextReply: sent.val.firstReply, statusBefore: status};
		runningRequest = pendingReply.request;
		const outcome = await relayReplies(servedCaller, pendingReply);
		status = outcome.status;
		if (status === 'idle' && !outcome.isFlushed) {
			await runningRequest[Symbol.asyncDispose]();
			runningRequest = undefined;
		}

		return !outcome.isClosing;
	};

	let disconnection = new AbortController();
	const disconnect = () => {
		disconnection.abort();
	};

	control.cancel = () => {
		if (runningRequest) {
			context.cancelRequest(runningRequest.requestId);
		} else {
			disconnect();
		}
	};

	try {
		while (true) {
			control.isIdle = runningRequest === undefined && !port.hasPartialChunk();
			const closeReason = control.isIdle ? context.getCloseReason(caller) : undefined;
			if (closeReason) {
				await port.sendCloseReason(closeReason);
				return;
			}

			const received = await port.receive();
			if (!received) {
				return;
			}

			control.isIdle = false;
			disconnection = new AbortController();
			using closeListener = port.onClose(disconnect);
			if (!await serveChunk(received, disconnection.signal)) {
				return;
			}
		}
	} catch (error) {
		if (!isAbortError(error)) {
			throw error;
		}
	} finally {
		await runningRequest?.[Symbol.asyncDispose]();
	}
};
