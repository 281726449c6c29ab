export * from './caller.js';
export * from './owner.js';
