/** Results instead of exceptions; the only place that touches the CommonJS default export of `ts-results` (which needs `tslib` without saying so). */

import tsResults from 'ts-results';

/** Wraps a success. */
export const {Ok} = tsResults;

/** Wraps a failure. */
export const {Err} = tsResults;

export type {Result} from 'ts-results';
