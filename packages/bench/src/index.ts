export * from './stack.js';
export * from './examples.js';
