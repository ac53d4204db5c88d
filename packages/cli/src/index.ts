/** Public surface of @zincspan/cli: the client as functions, for tests and demonstrations. */
export * from './run.js';
export * from './exit-code.js';
export * from './output/output.js';
export * from './output/table.js';
export * from './client/entry-client.js';
export * from './client/unreachable-error.js';
export * from './config/client-config.js';
export * from './bundle/bundle-calls.js';
export * from './bundle/bundle-file.js';
export * from './bundle/format-diff.js';
export * from './keys/key-commands.js';
export * from './report/report-calls.js';
export * from './timeline/format-timeline.js';
export * from './timeline/timeline-html.js';
