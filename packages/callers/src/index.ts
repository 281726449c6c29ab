export * from './byte-budget.js';
export * from './authorization.js';
export * from './session.js';
export * from './stop-plan.js';
