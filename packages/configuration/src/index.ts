export * from './facts.js';
export * from './relay.js';
export * from './in-force.js';
export * from './change.js';
