/** Public surface of @zincspan/cell: jobs as graphs of steps, the owner of a cell, guards and entries of it. */
export * from './clock/pause.js';
export * from './config/cell-config.js';
export * from './config/config-watch.js';
export * from './entry/call-result.js';
export * from './entry/caller-gate.js';
export * from './entry/entry-app.js';
export * from './entry/job-calls.js';
export * from './guard/guard-app.js';
export * from './guard/runner-port.js';
export * from './job/job-rows.js';
export * from './job/job-view.js';
export * from './job/progress.js';
export * from './job/submission.js';
export * from './job/task-name.js';
export * from './owner/link-key.js';
export * from './owner/owner-row.js';
export * from './store/row-store.js';
