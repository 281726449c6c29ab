/** Results instead of exceptions; the only place that imports `ts-results` (which needs `tslib` without saying so). */

import * as tsResults from 'ts-results';

/** Node gives the CommonJS build as a default export, a bundler the names of the ES build. */
const {default: commonJs} = tsResults as Readonly<{default?: unknown}>;
const library = (commonJs ?? tsResults) as typeof tsResults;

/** Wraps a success. */
export const {Ok} = library;

/** Wraps a failure. */
export const {Err} = library;

export type {Result} from 'ts-results';
