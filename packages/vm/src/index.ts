export type * from './configuration.js';
export * from './members.js';
export type * from './context.js';
export * from './cluster-view.js';
export * from './peer-client.js';
export * from './statement-router.js';
export * from './quotas.js';
export * from './database-owners.js';
export * from './process.js';
