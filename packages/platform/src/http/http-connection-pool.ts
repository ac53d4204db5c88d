/** A pool of HTTP connections to one service. A failed attempt tells whether the service may have acted on it. */
import { Agent } from 'node:http';
import type { IncomingMessage } from 'node:http';
import Wreck from '@hapi/wreck';
import { messageOf } from '@zincspan/core';
import { trackConnection } from './connection-tracker.js';

/** Largest response body accepted. */
const MAX_RESPONSE_BYTES = 64 * 1_048_576;

/** A request to send. */
export interface HttpRequest {
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  payload?: object | Buffer;
}

/**
 * How an attempt ended. `refused`: the service did not act on the request, as no connection was made or it
 * answered 503. `lost`: it may have acted on it; any other server error counts as this too.
 */
export type AttemptResult =
  | { outcome: 'answered'; status: number; body: Buffer }
  | { outcome: 'refused'; detail: string }
  | { outcome: 'lost'; detail: string };

/** Pooled connections idle for longer are closed, as idle connections may be dropped without notice. */
const IDLE_TIMEOUT_MS = 10_000;

const SERVER_ERROR = 500;
const SERVICE_UNAVAILABLE = 503;

/** Sends requests to one address over a bounded pool of keep-alive connections. */
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

  /**
   * Makes one attempt, bounded as a whole by `timeoutMs`. Never rejects. `newConnection` bypasses the pool, for
   * when a pooled connection may be dead.
   */
  async attempt(
    { method, path, payload }: HttpRequest,
    { timeoutMs, newConnection }: { timeoutMs: number; newConnection: boolean },
  ): Promise<AttemptResult> {
    const pending = Wreck.request(method, `${this.#baseUrl}${path}`, {
      agent: newConnection ? false : this.#agent,
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
      const detail = messageOf(err);
      return { outcome: connection.connected ? 'lost' : 'refused', detail };
    }
  }

  /** Closes idle connections, as after a timeout all of them may be dead. */
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
    return { outcome, detail: `The service answered with status ${status}.` };
  } catch (err) {
    res.destroy();
    throw err;
  }
}
