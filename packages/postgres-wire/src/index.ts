export * from './messages.js';
export * from './notices.js';
export * from './startup.js';
export * from './scram.js';
export * from './reader.js';
