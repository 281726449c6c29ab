export * from './instance.js';
export * from './database.js';
export * from './sql-parser.js';
export * from './platform.js';
