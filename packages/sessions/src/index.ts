export * from './classification.js';
export type * from './requests.js';
export * from './prepared-statements.js';
export * from './statements.js';
