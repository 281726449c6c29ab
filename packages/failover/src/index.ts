export * from './record.js';
export * from './grants.js';
export * from './durability.js';
export * from './granter.js';
export * from './health.js';
export * from './steward.js';
export * from './synced-set.js';
