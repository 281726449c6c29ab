export * from './merge.js';
export * from './text.js';
export * from './picture.js';
