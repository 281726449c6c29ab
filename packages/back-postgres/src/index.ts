export * from './connection.js';
export * from './exchange.js';
export * from './home.js';
export * from './commands.js';
