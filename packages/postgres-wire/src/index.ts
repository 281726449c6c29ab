export * from './messages.js';
export * from './error-response.js';
export * from './startup-packets.js';
export * from './scram.js';
export * from './wire-connection.js';
