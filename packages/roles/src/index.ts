export * from './records.js';
export * from './takeover-promises.js';
export * from './lease.js';
export * from './slots.js';
export * from './vm-registration.js';
export * from './role-claims.js';
