/** The operator's configurations: one queue of one service, and client accounts with their keys. */
import { SERVICE } from './fleet.mjs';

/** Where clients address the queue. */
export const HOST = 'render.example';
export const PREFIX = '/jobs/';

/** A configuration. `tenants`: rows of name and keys. */
export function configuration({ version, tenants, priority = 1, maxAttempts = 4 }) {
  return {
    version,
    routes: [
      {
        name: 'queue',
        host: HOST,
        path_prefix: PREFIX,
        service: SERVICE,
        priority,
        max_attempts: maxAttempts,
        stretch: 3,
        target_latency_ms: 1000,
      },
    ],
    services: [{ name: SERVICE, admission_check: true }],
    tenants: tenants.map(({ name, keys }) => ({ name, api_keys: keys })),
  };
}
