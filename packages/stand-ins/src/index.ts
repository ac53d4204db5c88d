/** Stand-ins for the platform and the upstreams, for tests and benches; nothing here is deployed. */
export * from './server/stand-in.js';
export * from './platform/platform.js';
export * from './platform/platform-faults.js';
export type { PlatformStats } from './platform/platform-service.js';
export * from './runner/runner.js';
export * from './runner/runner-faults.js';
export * from './runner/run-ledger.js';
export * from './worker/worker.js';
export * from './worker/worker-faults.js';
export * from './worker/task-ledger.js';
export * from './worker/task-params.js';
export * from './proxy/lossy-proxy.js';
export * from './proxy/proxy-faults.js';
export * from './proxy/proxy-server.js';
export * from './fleet/advisor-model.js';
export * from './fleet/gang-board.js';
export * from './fleet/row-tables.js';
export * from './fleet/runner-model.js';
