export * from './history.js';
export * from './checker.js';
export * from './random.js';
export * from './entries.js';
export * from './traffic.js';
export * from './quota-check.js';
