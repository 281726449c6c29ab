export * from './fair-queue.js';
export * from './connections.js';
