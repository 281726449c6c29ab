export * from './hybrid-logical-clock.js';
export * from './catalogue.js';
export * from './events.js';
export * from './metrics.js';
export * from './event-ring-buffer.js';
export * from './event-text.js';
export * from './exposition.js';
