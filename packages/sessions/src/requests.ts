/** Requests and replies between an entry and the owner of a target, independent of the encoding between vms. */

import type {
	CustomerId, DatabaseId, Failure, TargetId, RequestId, ServiceId, TransactionStatus,
} from '@guavapitch/core';

/** Consistency required by a request. */
export type RequestMode
	/** Runs on the primary; the response is withheld until the write is durable. */
	= | 'write'
	/** Runs on any target that has every acknowledged write. */
		| 'read'
	/** Runs on any replica whose data are recent enough. */
		| 'stale';

/** Header of a request, sent by the entry to the owner before any chunk. */
export type RequestHeader = Readonly<{
	requestId: RequestId;
	service: ServiceId;
	database: DatabaseId;
	target: TargetId;
	customer: CustomerId;
	/** Weight of the customer in the fair queue of the target. */
	weight: number;
	mode: RequestMode;
	/** Maximum age of the data for mode `stale`, in milliseconds. */
	maximumAgeMs: number;
	/** Time left for the response when the header was sent, in milliseconds; a duration, because the clocks of vms are not synchronized. */
	remainingMs: number;
	/** Time for which the transaction may be idle before it is rolled back, in milliseconds. */
	idleTransactionMs: number;
}>;

/** A prepared statement, identified by the hash of its text and its encoded parameter types. */
export type PreparedStatement = Readonly<{hash: string; text: string; types: Uint8Array}>;

/** One part of a chunk; the parts are run in order. */
export type RequestPart
	/** Messages to forward unchanged; `replies` counts the replies of the target to match with them, 0 for a simple query. */
	= | Readonly<{kind: 'messages'; bytes: Uint8Array; replies: number}>
	/** Statement that the caller prepares; the result is sent to the caller. */
		| Readonly<{kind: 'prepare'; statement: PreparedStatement}>
	/** Statement that the following messages refer to; it is prepared if necessary, and the result is not sent to the caller. */
		| Readonly<{kind: 'require'; statement: PreparedStatement}>;

/** A chunk of a request: all parts up to a Sync, a Flush or the end of a simple query. */
export type RequestChunk = Readonly<{
	parts: readonly RequestPart[];
	/** Whether the target ends its reply to the chunk with `ReadyForQuery`. */
	ends: boolean;
	/** Whether the chunk may commit a transaction. */
	mayCommit: boolean;
	/** Whether the chunk may leave state on the connection. */
	leavesState: boolean;
}>;

/**
 * Reason for refusing a request that has not run. `notHome`: the vm does not own the target, or is shutting down; `draining`: the entry is shutting down;
 * `tooOld`: the target may lack writes that the read must include.
 */
export type RefusalCode
	= | 'notHome' | 'noGrant' | 'notPrimary' | 'tooOld' | 'targetUnreachable' | 'connectionsExhausted' | 'queueFull'
		| 'deadlinePassed' | 'targetLeaving' | 'limitExceeded' | 'keyWithdrawn' | 'keyUnconfirmed' | 'peerUnreachable' | 'draining' | 'noRoute'
		| 'unsupported' | 'canceled';

/** Refusal of a request; it is certain that the request has not run. */
export type Refusal = Failure<RefusalCode> & Readonly<{
	/** Time after which the caller may try again, in milliseconds. */
	retryAfterMs?: number;
}>;

/** Reply of an owner to a chunk. */
export type Reply
	/** Messages for the caller. */
	= | Readonly<{kind: 'messages'; bytes: Uint8Array}>
	/** The chunk is complete; unless the status is `idle`, the connection is kept for the next chunk of the transaction. */
		| Readonly<{kind: 'ready'; status: TransactionStatus}>
	/** The chunk ended with a Flush and is complete; the connection is kept for the next chunk. */
		| Readonly<{kind: 'flushed'}>
	/** The request was refused and has not run. */
		| Readonly<{kind: 'refused'; refusal: Refusal}>
	/** A replica refused the request because it writes; it has not run. */
		| Readonly<{kind: 'readOnly'}>
	/** The transaction was rolled back; no commit was sent. */
		| Readonly<{kind: 'rolledBack'; message: string}>
	/** The outcome is unknown: the request may have run. */
		| Readonly<{kind: 'unknown'; message: string}>;
