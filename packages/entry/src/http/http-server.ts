/** The HTTP server of an entry: bounds, problem answers and authentication, before any route is added. */
import { Server } from '@hapi/hapi';
import type { EntrySettings, ProcessContext } from '@zincspan/core';
import { BoundedServer, parseAddress } from '@zincspan/link';
import type { AccountDirectory } from './account-directory.js';
import { registerAuth } from './auth.js';
import { answerProblems } from './problem-response.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const BODY_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_MS = 65_000;

/** What an HTTP server of an entry is made from. */
export interface HttpServerOptions {
  ctx: ProcessContext;
  settings: Pick<EntrySettings, 'listenHttp' | 'limits' | 'linkKeys'>;
  accounts: AccountDirectory;
}

/** Makes the server. It listens once `server.start()` is called. */
export function createHttpServer({ ctx, settings, accounts }: HttpServerOptions): Server {
  const { host, port } = parseAddress(settings.listenHttp);
  const listener = new BoundedServer({
    limits: {
      maxConnections: settings.limits.connections,
      maxMemoryBytes: settings.limits.requestMemoryBytes,
    },
    metrics: ctx.metrics,
    http: {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: BODY_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    },
  });
  const server = new Server({
    host,
    port,
    listener,
    debug: false,
    routes: { payload: { maxBytes: settings.limits.bodyBytes, timeout: BODY_TIMEOUT_MS } },
  });
  registerAuth(server, { accounts, linkKeys: settings.linkKeys });
  server.ext('onPreResponse', answerProblems);
  server.events.on({ name: 'request', channels: 'error' }, (req, { error }) => {
    ctx.metrics.count('http.internal-error');
    ctx.log.error({ path: req.path, err: error }, 'request handler failed');
  });
  return server;
}
