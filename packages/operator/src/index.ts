export * from './keys.js';
export * from './fleet.js';
