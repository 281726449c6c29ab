export * from './records.js';
export * from './promises.js';
export * from './lease.js';
export * from './slots.js';
export * from './presence.js';
export * from './stewardship.js';
