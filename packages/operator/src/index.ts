export * from './keys.js';
export * from './fleet.js';
export * from './events.js';
