export * from './history.js';
