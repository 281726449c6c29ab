export * from './proto.js';
export type * from './store.js';
export * from './etcd-store.js';
export * from './memory-store.js';
