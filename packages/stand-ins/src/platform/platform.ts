/** Stand-in for the platform: the table service and the object store, in memory. */
import type { RowStore } from '@zincspan/platform';
import { closeServer, createServer, serverAddress } from '../server/http-server.js';
import type { StandIn } from '../server/stand-in.js';
import { platformFaultsSchema, type PlatformFaults } from './platform-faults.js';
import { PlatformService, type PlatformStats } from './platform-service.js';

/** Stand-in of the platform. */
export interface PlatformStandIn extends StandIn<PlatformFaults> {
  readonly rows: RowStore;
  stats(): PlatformStats;
}

/** Starts a table service and object store in this process. */
export async function startPlatform({
  listen = '127.0.0.1:0',
  faults = {},
}: {
  listen?: string;
  faults?: Partial<PlatformFaults>;
} = {}): Promise<PlatformStandIn> {
  const service = new PlatformService(platformFaultsSchema.parse(faults));
  const server = createServer(listen, { schema: platformFaultsSchema, faults: service.faults });
  service.register(server);
  await server.start();
  return {
    address: serverAddress(server),
    faults: service.faults,
    rows: service.rows,
    stats: () => service.stats(),
    close: () => closeServer(server),
    kill: () => closeServer(server),
  };
}
