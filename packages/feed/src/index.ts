export type * from './context.js';
export * from './entries.js';
export * from './feed.js';
export * from './freshness.js';
export * from './relay-messages.js';
