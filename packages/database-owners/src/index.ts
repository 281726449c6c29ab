export type * from './targets.js';
export * from './position-history.js';
export * from './connections.js';
export * from './slot-scheduler.js';
export * from './read-targets.js';
export * from './leader-tracker.js';
export * from './health-tracker.js';
export * from './database-owner.js';
export * from './failover-coordinator.js';
