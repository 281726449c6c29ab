export type * from './rules.js';
export * from './members.js';
export type * from './context.js';
export * from './view.js';
export * from './peers.js';
export * from './routing.js';
export * from './shares.js';
export * from './databases.js';
export * from './process.js';
