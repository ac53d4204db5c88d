/** Clients of the platform's table service and object store, and in-memory implementations for tests. */
export * from './table/row-store.js';
export * from './memory/memory-faults.js';
export * from './memory/memory-table.js';
export * from './memory/memory-object-store.js';
export * from './http/store-options.js';
export * from './http/http-table.js';
export * from './http/http-object-store.js';
export * from './http/connection-tracker.js';
