/** The HTTP server beneath every stand-in: errors, faults, and closing without a grace period. */
import Hapi from '@hapi/hapi';
import { z, ZodError } from 'zod';

/** Longest body taken, in bytes. */
export const MAX_BODY_BYTES = 64 * 1_048_576;

/** Faults that a PUT replaces as a whole. */
export interface FaultControl<Faults extends object> {
  schema: z.ZodType<Faults>;
  faults: Faults;
}

/** Answers one route. */
export type Handler = (
  req: Hapi.Request,
  h: Hapi.ResponseToolkit,
) => Hapi.Lifecycle.ReturnValue | Promise<Hapi.Lifecycle.ReturnValue>;

/** Host and port of `IP:port`; port 0 takes any free one. */
export function parseListen(listen: string): { host: string; port: number } {
  const at = listen.lastIndexOf(':');
  const host = listen.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(listen.slice(at + 1)) };
}

/** A server that answers a body that fails its schema with 400, and serves `/faults`. */
export function createServer<Faults extends object>(
  listen: string,
  { schema, faults }: FaultControl<Faults>,
): Hapi.Server {
  const server = Hapi.server({
    ...parseListen(listen),
    routes: { payload: { maxBytes: MAX_BODY_BYTES, timeout: false } },
  });
  server.ext('onPreResponse', answerBadInput);
  server.route([
    { method: 'GET', path: '/faults', handler: () => faults },
    {
      method: 'PUT',
      path: '/faults',
      handler: (req) => Object.assign(faults, schema.parse(req.payload ?? {})),
    },
  ]);
  return server;
}

/** A parameter of the path, decoded. */
export function pathParam(req: Hapi.Request, name: string): string {
  const { params }: { params: Record<string, unknown> } = req;
  return String(params[name]);
}

/** `IP:port` that a started server listens on. */
export function serverAddress(server: Hapi.Server): string {
  const { address = '127.0.0.1', port } = server.info;
  return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Stops listening, waits up to `graceMs` for calls in progress, and cuts what is left. */
export async function closeServer(server: Hapi.Server, graceMs = 0): Promise<void> {
  const stopped = server.stop({ timeout: graceMs });
  if (graceMs === 0) server.listener.closeAllConnections();
  await stopped;
}

function answerBadInput(req: Hapi.Request, h: Hapi.ResponseToolkit): Hapi.Lifecycle.ReturnValue {
  const { response } = req;
  if (!(response instanceof ZodError)) return h.continue;
  return h.response({ error: z.prettifyError(response) }).code(400);
}
