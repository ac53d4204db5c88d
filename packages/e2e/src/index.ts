/** Deployments of separate processes on loopback, for scenarios, benches and the demo. */
export * from './deployment/deployment.js';
export * from './deployment/caller.js';
export * from './deployment/credentials.js';
export * from './deployment/loopback-vm.js';
export * from './deployment/machines.js';
export * from './deployment/rollout.js';
export * from './deployment/vm-process.js';
