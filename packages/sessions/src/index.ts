export * from './classes.js';
export type * from './requests.js';
export * from './prepared.js';
export * from './statements.js';
