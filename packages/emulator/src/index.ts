export * from './loads.js';
export * from './targets.js';
export * from './callers.js';
export * from './replay.js';
export * from './table.js';
export * from './plot.js';
