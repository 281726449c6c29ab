export * from './frames.js';
export * from './connection.js';
export * from './listener.js';
export * from './peers.js';
export * from './tls.js';
