export * from './merge.js';
export * from './svg.js';
