export * from './schemas.js';
export * from './errors.js';
export * from './parser.js';
export * from './difference.js';
export * from './document.js';
