export * from './bucket.js';
export * from './keeper.js';
export * from './allowance.js';
export * from './holds.js';
