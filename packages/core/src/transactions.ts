/** State of a caller's transaction. */

/** Transaction status: none, in progress, or failed and waiting for its end. */
export type TransactionStatus = 'idle' | 'open' | 'failed';
