export * from './caller.js';
export * from './home.js';
