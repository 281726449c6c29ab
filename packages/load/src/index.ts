export * from './history.js';
export * from './checker.js';
export * from './random.js';
