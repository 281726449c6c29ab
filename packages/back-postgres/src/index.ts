export * from './connection.js';
export * from './chunk-response.js';
export * from './run-chunk.js';
export * from './control-connection.js';
