export * from './store-cache.js';
export * from './relay.js';
export * from './active-configuration.js';
export * from './change.js';
