/** Public surface of @zincspan/spec. */
export * from './check.js';
