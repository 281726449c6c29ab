export * from './allocator-contact.js';
export * from './bucket.js';
export * from './quota-allocator.js';
export * from './quota-client.js';
export * from './quota-shares.js';
export * from './refusal-cache.js';
