export * from './entries.js';
export * from './feed.js';
