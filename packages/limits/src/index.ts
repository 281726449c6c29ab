export * from './bucket.js';
export * from './quota-allocator.js';
export * from './quota-client.js';
export * from './refusal-cache.js';
