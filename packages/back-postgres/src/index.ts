export * from './connection.js';
export * from './exchange.js';
export * from './relay.js';
export * from './commands.js';
