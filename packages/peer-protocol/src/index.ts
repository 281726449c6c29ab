export * from './frames.js';
export * from './frame-reader.js';
export * from './connection.js';
export * from './listener.js';
export * from './peer-connections.js';
export * from './tls.js';
