export * from './stack.js';
export * from './examples.js';
export * from './proof.js';
export * from './faults.js';
export * from './workload.js';
