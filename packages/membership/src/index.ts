export * from './members.js';
export * from './pinger.js';
