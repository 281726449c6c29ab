export * from './target.js';
export * from './database.js';
export * from './sql-parser.js';
export * from './platform.js';
export * from './platform-faults.js';
