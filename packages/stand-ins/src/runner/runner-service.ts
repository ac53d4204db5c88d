/** The runner stand-in's routes: slots, service time, faults. */
import type { Socket } from 'node:net';
import type { Lifecycle, Request, ResponseToolkit, Server } from '@hapi/hapi';
import * as z from 'zod';
import { delay } from '../server/delay.js';
import { MAX_BODY_BYTES, pathParam } from '../server/http-server.js';
import { cutAnswer, neverAnswer } from '../server/raw-answer.js';
import { RunLedger } from './run-ledger.js';
import type { RunnerFaults } from './runner-faults.js';

const bodySchema = z.object({ serviceMs: z.number().min(0) });

/** Runs requests on its slots under the faults in force. */
export class RunnerService {
  readonly faults: RunnerFaults;

  readonly ledger = new RunLedger();

  readonly #slots: number;

  readonly #serviceMs: number;

  #inUse = 0;

  readonly #counted = new Set<Socket>();

  constructor(options: { slots: number; serviceMs: number; faults: RunnerFaults }) {
    this.faults = options.faults;
    this.#slots = options.slots;
    this.#serviceMs = options.serviceMs;
  }

  register(server: Server): void {
    server.ext('onRequest', (req, h) => {
      if (req.path.startsWith('/v1/')) this.#countConnection(req.raw.req.socket);
      return h.continue;
    });
    server.route([
      { method: 'GET', path: '/ledger', handler: () => this.ledger.read() },
      { method: 'GET', path: '/in-use', handler: () => ({ inUse: this.#inUse }) },
      { method: 'GET', path: '/v1/health', handler: (req, h) => this.#health(h) },
      {
        method: 'POST',
        path: '/v1/run/{kind}',
        options: { payload: { parse: false, output: 'data', maxBytes: MAX_BODY_BYTES } },
        handler: (req, h) => this.#take(req, h),
      },
    ]);
  }

  /** Counts connections that carry calls of a guard; those that only read the ledger aren't its doing. */
  #countConnection(socket: Socket): void {
    if (this.#counted.has(socket)) return;
    this.#counted.add(socket);
    this.ledger.maxConnections = Math.max(this.ledger.maxConnections, this.#counted.size);
    socket.once('close', () => this.#counted.delete(socket));
  }

  #health(h: ResponseToolkit): Lifecycle.ReturnValue {
    if (this.faults.freeze) return neverAnswer(h);
    return { slots: this.#slots, inUse: this.#inUse };
  }

  async #take(req: Request, h: ResponseToolkit): Promise<Lifecycle.ReturnValue> {
    if (this.#inUse >= this.#slots) {
      this.ledger.violations += 1;
      return h.response({ error: 'Every slot is taken.' }).code(503);
    }
    this.#inUse += 1;
    this.ledger.maxInUse = Math.max(this.ledger.maxInUse, this.#inUse);
    try {
      return await this.#run(req, h);
    } finally {
      this.#inUse -= 1;
    }
  }

  async #run(req: Request, h: ResponseToolkit): Promise<Lifecycle.ReturnValue> {
    const requestId = String(req.headers['x-request-id'] ?? '');
    const kind = pathParam(req, 'kind');
    const body = (req.payload ?? Buffer.alloc(0)) as Buffer;
    const hungUp = watchHangUp(req);
    await delay(this.faults.delayBeforeRunMs);
    this.ledger.ran(requestId, kind, body);
    const echo = parseBody(body);
    await delay(this.#serviceTime(echo) + this.faults.slowMs);
    if (this.faults.freeze) {
      await hungUp;
      return neverAnswer(h);
    }
    if (this.faults.failAll) return h.response({ requestId, error: 'It failed.' }).code(500);
    const answer = { requestId, kind, echo };
    if (this.faults.cutAnswer) return cutAnswer(req, h, JSON.stringify(answer));
    return answer;
  }

  #serviceTime(body: unknown): number {
    const parsed = bodySchema.safeParse(body);
    return parsed.success ? parsed.data.serviceMs : this.#serviceMs;
  }
}

async function watchHangUp(req: Request): Promise<void> {
  return new Promise((resolve) => {
    req.raw.res.once('close', resolve);
  });
}

/** JSON as a value, anything else as text. */
function parseBody(body: Buffer): unknown {
  const text = body.toString('utf8');
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
