export * from './clock.js';
export * from './catalogue.js';
export * from './events.js';
export * from './metrics.js';
export * from './ring.js';
export * from './text.js';
export * from './exposition.js';
