export * from './group-record.js';
export * from './grant-registry.js';
export * from './durability.js';
export * from './grant-issuer.js';
export * from './health-monitor.js';
export * from './coordinator.js';
export * from './synced-set.js';
