/** Public surface of @zincspan/entry. */
export * from './app.js';
export * from './bundle-source.js';
export * from './http/account-directory.js';
export * from './http/auth.js';
export * from './http/http-server.js';
export * from './http/problem-response.js';
export * from './membership/upstream-directory.js';
export * from './membership/upstream-member.js';
export * from './mesh/entry-mesh.js';
export * from './entry.js';
export * from './mesh/entry-links.js';
export * from './bundle/app.js';
export * from './bundle/head-watch.js';
export * from './operator/app.js';
export * from './operator/operator-auth.js';
export * from './operator/rollout.js';
export * from './operator/proposals.js';
