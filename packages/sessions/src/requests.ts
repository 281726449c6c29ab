/** Requests and answers between an entry and a home, free of any message encoding of the inner protocol. */

import type {
	CustomerId, DatabaseId, Failure, TargetId, RequestId, ServiceId, TransactionStatus,
} from '@guavapitch/core';

/** Consistency that a request needs. */
export type RequestMode
	/** Runs on the primary; the answer waits until it is durable. */
	= | 'write'
	/** Runs on any target that holds every acknowledged write. */
		| 'read'
	/** Runs on any replica whose data are young enough. */
		| 'stale';

/** What an entry tells a home of a request before its messages. */
export type RequestHeader = Readonly<{
	requestId: RequestId;
	service: ServiceId;
	database: DatabaseId;
	target: TargetId;
	customer: CustomerId;
	weight: number;
	mode: RequestMode;
	/** Largest age of the data, in milliseconds, for `stale`. */
	maximumAgeMs: number;
	/** Time left for the answer when the header was sent; clocks are not shared, so no deadline can travel. */
	remainingMs: number;
	/** Time the transaction may stay idle, in milliseconds. */
	idleTransactionMs: number;
}>;

/** A prepared statement by the hash of its text and types. */
export type PreparedStatement = Readonly<{hash: string; text: string; types: Uint8Array}>;

/** One step of what a caller asked, in order. */
export type RequestPart
	/** Messages to pass on as they are. */
	= | Readonly<{kind: 'messages'; bytes: Uint8Array; replies: number}>
	/** Statement the caller prepares; it hears of the result. */
		| Readonly<{kind: 'prepare'; statement: PreparedStatement}>
	/** Statement the next messages refer to; the caller does not hear of it. */
		| Readonly<{kind: 'require'; statement: PreparedStatement}>;

/** What an entry sends a home: the parts up to a Sync, a Flush or the end of a simple query. */
export type RequestChunk = Readonly<{
	parts: readonly RequestPart[];
	/** Whether the database will answer `ReadyForQuery`. */
	ends: boolean;
	/** Whether the parts may commit a transaction. */
	mayCommit: boolean;
	/** Whether the parts may leave state on the connection. */
	leavesState: boolean;
}>;

/** Why a request was refused without having run. */
export type RefusalCode
	= | 'notHome' | 'noGrant' | 'notPrimary' | 'tooOld' | 'targetUnreachable' | 'connectionsExhausted' | 'queueFull'
		| 'deadlinePassed' | 'targetLeaving' | 'limitExceeded' | 'keyWithdrawn' | 'keyUnconfirmed' | 'peerUnreachable' | 'draining' | 'noRoute'
		| 'unsupported' | 'canceled';

/** Refusal of a request that has certainly not run. */
export type Refusal = Failure<RefusalCode> & Readonly<{
	/** Time after which to try again, in milliseconds. */
	retryAfterMs?: number;
}>;

/** What a home sends back. */
export type Reply
	/** Messages for the caller. */
	= | Readonly<{kind: 'messages'; bytes: Uint8Array}>
	/** The chunk is answered; unless `idle`, the connection waits for more of the transaction. */
		| Readonly<{kind: 'ready'; status: TransactionStatus}>
	/** The chunk ended with a Flush and is answered; the connection waits for more. */
		| Readonly<{kind: 'flushed'}>
	/** Not run. */
		| Readonly<{kind: 'refused'; refusal: Refusal}>
	/** A replica refused a write; not run. */
		| Readonly<{kind: 'readOnly'}>
	/** The transaction was rolled back, no commit was sent. */
		| Readonly<{kind: 'rolledBack'; message: string}>
	/** It may or may not have run. */
		| Readonly<{kind: 'unknown'; message: string}>;
