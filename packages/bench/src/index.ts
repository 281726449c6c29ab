export * from './stack.js';
export * from './examples.js';
export * from './consistency-check.js';
export * from './faults.js';
export * from './workload.js';
