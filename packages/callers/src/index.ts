export * from './session.js';
