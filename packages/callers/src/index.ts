export * from './session.js';
export * from './stop-plan.js';
