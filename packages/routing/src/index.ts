export * from './view.js';
export * from './routes.js';
export * from './retries.js';
