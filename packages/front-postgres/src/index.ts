export * from './startup.js';
export * from './chunks.js';
export * from './caller-port.js';
