/** The lossy proxy with an HTTP address for its faults. */
import { closeServer, createServer, serverAddress } from '../server/http-server.js';
import type { StandIn } from '../server/stand-in.js';
import { LossyProxy } from './lossy-proxy.js';
import { proxyOrderSchema, type ProxyFaults } from './proxy-faults.js';

/** A proxy whose faults are set over HTTP at `admin`. */
export interface ProxyStandIn extends StandIn<ProxyFaults> {
  readonly admin: string;
  readonly proxy: LossyProxy;
}

/** Starts a proxy and its admin server in this process. */
export async function startProxy({
  listen = '127.0.0.1:0',
  to,
  admin = '127.0.0.1:0',
}: {
  listen?: string;
  to: string;
  admin?: string;
}): Promise<ProxyStandIn> {
  const proxy = new LossyProxy({ listen, to });
  const schema = proxyOrderSchema.transform(({ silenceOpen, cutOpen, ...faults }) => {
    proxy.silenceOpen(silenceOpen);
    if (cutOpen) proxy.cutOpen();
    return faults;
  });
  const server = createServer(admin, { schema, faults: proxy.faults });
  server.route({
    method: 'GET',
    path: '/stats',
    handler: () => ({ open: proxy.open, accepted: proxy.accepted }),
  });
  await proxy.start();
  await server.start();
  const close = async () => {
    await proxy.close();
    await closeServer(server);
  };
  return {
    address: proxy.address,
    admin: serverAddress(server),
    proxy,
    faults: proxy.faults,
    close,
    kill: close,
  };
}
