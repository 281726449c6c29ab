/** Results as values instead of exceptions. The only module that imports `ts-results`, which needs `tslib` without declaring it. */

import * as tsResults from 'ts-results';

/** Node provides the CommonJS build as the default export, a bundler the named exports of the ES build. */
const {default: commonJs} = tsResults as Readonly<{default?: unknown}>;
const library = (commonJs ?? tsResults) as typeof tsResults;

/** Wraps a success. */
export const {Ok} = library;

/** Wraps a failure. */
export const {Err} = library;

export type {Result} from 'ts-results';
