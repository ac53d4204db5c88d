/** One attempt at an HTTP call: what came back, or whether the service may have acted on it. */
import { Agent } from 'node:http';
import type { IncomingMessage } from 'node:http';
import Wreck from '@hapi/wreck';
import { trackConnection } from './connection-tracker.js';

/** Largest answer read, in bytes. */
const MAX_RESPONSE_BYTES = 64 * 1_048_576;

/** A call to make. `timeoutMs` bounds the whole attempt. */
export interface HttpRequest {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  payload?: object | Buffer;
}

/**
 * How an attempt ended. `refused`: the service surely didn't act on it (no connection was made, or it answered
 * 503). `lost`: it may have; so too after any other server error.
 */
export type AttemptResult =
  | { outcome: 'answered'; status: number; body: Buffer }
  | { outcome: 'refused'; detail: string }
  | { outcome: 'lost'; detail: string };

/** Kept connections are closed after this long without use, in ms: what idles is what goes silent. */
const IDLE_TIMEOUT_MS = 10_000;

const SERVER_ERROR = 500;
const SERVICE_UNAVAILABLE = 503;

/** Makes attempts over a bounded pool of kept-alive connections to one address. */
export class HttpConnectionPool {
  readonly #baseUrl: string;

  readonly #agent: Agent;

  constructor({ address, maxSockets }: { address: string; maxSockets: number }) {
    this.#baseUrl = `http://${address}`;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets,
      scheduling: 'lifo',
      timeout: IDLE_TIMEOUT_MS,
    });
  }

  /** Never rejects. `fresh` dials a new connection, for when a kept one may have gone silent. */
  async attempt(
    { method, path, payload }: HttpRequest,
    { timeoutMs, fresh }: { timeoutMs: number; fresh: boolean },
  ): Promise<AttemptResult> {
    const pending = Wreck.request(method, `${this.#baseUrl}${path}`, {
      agent: fresh ? false : this.#agent,
      timeout: timeoutMs,
      ...(payload === undefined ? {} : { payload }),
    });
    const connection = trackConnection(pending.req);
    const startedAt = performance.now();
    try {
      const res = await pending;
      const leftMs = Math.max(1, timeoutMs - (performance.now() - startedAt));
      return await readResponse(res, leftMs);
    } catch (err) {
      const detail = err instanceof Error ? err.message : String(err);
      return { outcome: connection.connected ? 'lost' : 'refused', detail };
    }
  }

  /** Closes idle connections: after a timeout they may all have gone silent. */
  closeIdle(): void {
    const idle = Object.values(this.#agent.freeSockets).flatMap((sockets) => sockets ?? []);
    idle.forEach((socket) => socket.destroy());
  }

  close(): void {
    this.#agent.destroy();
  }
}

async function readResponse(res: IncomingMessage, timeoutMs: number): Promise<AttemptResult> {
  try {
    const body = await Wreck.read(res, { timeout: timeoutMs, maxBytes: MAX_RESPONSE_BYTES });
    const status = res.statusCode ?? 0;
    if (status < SERVER_ERROR) return { outcome: 'answered', status, body };
    const outcome = status === SERVICE_UNAVAILABLE ? 'refused' : 'lost';
    return { outcome, detail: `The service answered ${status}.` };
  } catch (err) {
    res.destroy();
    throw err;
  }
}
