export * from './settings.js';
export * from './process.js';
export type * from './explain.js';
