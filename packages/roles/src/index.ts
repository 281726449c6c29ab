export * from './records.js';
export * from './promises.js';
export * from './lease.js';
export * from './slots.js';
