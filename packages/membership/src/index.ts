export * from './members.js';
export * from './failure-detector.js';
