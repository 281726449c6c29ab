/** State of a caller's transaction. */

/** Transaction status: none (`idle`), in progress (`open`), or failed and waiting for its end (`failed`). */
export type TransactionStatus = 'idle' | 'open' | 'failed';
