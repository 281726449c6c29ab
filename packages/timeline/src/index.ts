export * from './merge.js';
export * from './picture.js';
