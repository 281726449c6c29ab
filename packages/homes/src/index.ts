export type * from './targets.js';
export * from './floors.js';
export * from './connections.js';
export * from './placement.js';
export * from './choices.js';
export * from './leadership.js';
export * from './reach.js';
export * from './home.js';
export * from './steward.js';
