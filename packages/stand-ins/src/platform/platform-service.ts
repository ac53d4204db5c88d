/** The platform stand-in's routes over rows and objects in memory. */
import type { Lifecycle, ResponseToolkit, Server } from '@hapi/hapi';
import { transactionSchema } from '@zincspan/core';
import { MAX_SCAN_ROWS, RowStore, type WriteOutcome } from '@zincspan/platform';
import * as z from 'zod';
import { delay } from '../server/delay.js';
import { MAX_BODY_BYTES, pathParam, type Handler } from '../server/http-server.js';
import { cutConnection, neverAnswer } from '../server/raw-answer.js';
import { CallStats } from './call-stats.js';
import type { PlatformFaults } from './platform-faults.js';

const scanQuerySchema = z.object({
  prefix: z.string().default(''),
  after: z.optional(z.string()),
  limit: z.coerce.number().int().min(1).max(MAX_SCAN_ROWS).default(MAX_SCAN_ROWS),
});

/** Figures of the stand-in, as `GET /stats` answers them. */
export interface PlatformStats {
  rows: number;
  objects: number;
  reads: { total: number; perSecond: number };
  writes: { total: number; perSecond: number };
}

/** Serves rows and objects under the faults in force. */
export class PlatformService {
  readonly faults: PlatformFaults;

  readonly rows = new RowStore();

  readonly #objects = new Map<string, Buffer>();

  readonly #reads = new CallStats();

  readonly #writes = new CallStats();

  constructor(faults: PlatformFaults) {
    this.faults = faults;
  }

  stats(): PlatformStats {
    return {
      rows: this.rows.size,
      objects: this.#objects.size,
      reads: this.#reads.read(),
      writes: this.#writes.read(),
    };
  }

  register(server: Server): void {
    const rawBody = {
      payload: { parse: false, output: 'data' as const, maxBytes: MAX_BODY_BYTES },
    };
    server.route([
      { method: 'GET', path: '/stats', handler: () => this.stats() },
      { method: 'GET', path: '/v1/rows/{key}', handler: this.#read(this.#getRow) },
      { method: 'GET', path: '/v1/rows', handler: this.#read(this.#scanRows) },
      { method: 'POST', path: '/v1/transactions', handler: this.#write(this.#transact) },
      { method: 'GET', path: '/v1/transactions/{writeId}', handler: this.#read(this.#settle) },
      { method: 'GET', path: '/v1/objects/{key}', handler: this.#read(this.#getObject) },
      {
        method: 'PUT',
        path: '/v1/objects/{key}',
        options: rawBody,
        handler: this.#write(this.#putObject),
      },
    ]);
  }

  readonly #getRow: Handler = (req) => this.rows.get(pathParam(req, 'key'));

  readonly #scanRows: Handler = (req) => {
    const { prefix, after, limit } = scanQuerySchema.parse(req.query);
    return { rows: this.rows.scan(prefix, { limit, ...(after === undefined ? {} : { after }) }) };
  };

  readonly #transact: Handler = (req, h) => {
    const { writeId, writes } = transactionSchema.parse(req.payload);
    return answerWrite(h, this.rows.write(writeId, writes));
  };

  readonly #settle: Handler = (req, h) => {
    const settled = this.rows.resolveOutcome(pathParam(req, 'writeId'));
    if (settled.outcome === 'written') return { versions: settled.versions };
    return h.response({ error: 'It never will take effect.' }).code(404);
  };

  readonly #getObject: Handler = (req, h) => {
    const body = this.#objects.get(pathParam(req, 'key'));
    if (body === undefined) return h.response({ error: 'No such object.' }).code(404);
    return h.response(body).type('application/octet-stream');
  };

  readonly #putObject: Handler = (req, h) => {
    this.#objects.set(pathParam(req, 'key'), req.payload as Buffer);
    return h.response().code(204);
  };

  #read(handler: Handler): Handler {
    return async (req, h) => {
      const inSecond = this.#reads.count();
      const fault = await this.#outage(h, inSecond, this.faults.readsPerSecond);
      return fault ?? handler(req, h);
    };
  }

  #write(handler: Handler): Handler {
    return async (req, h) => {
      const inSecond = this.#writes.count();
      const fault = await this.#outage(h, inSecond, this.faults.writesPerSecond);
      if (fault !== undefined) return fault;
      if (this.faults.loseWrites > 0) {
        this.faults.loseWrites -= 1;
        return cutConnection(req, h);
      }
      const answer = handler(req, h);
      if (this.faults.loseAnswers === 0) return answer;
      this.faults.loseAnswers -= 1;
      return cutConnection(req, h);
    };
  }

  /** The answer of an outage, if there is one. */
  async #outage(
    h: ResponseToolkit,
    inSecond: number,
    limit: number,
  ): Promise<Lifecycle.ReturnValue | undefined> {
    await delay(this.faults.slowMs);
    if (this.faults.hang) return neverAnswer(h);
    if (this.faults.down) return h.response({ error: 'The platform is down.' }).code(503);
    if (limit > 0 && inSecond > limit) {
      return h.response({ error: `More than ${limit} such calls a second.` }).code(503);
    }
    return undefined;
  }
}

function answerWrite(h: ResponseToolkit, result: WriteOutcome): Lifecycle.ReturnValue {
  if (result.outcome === 'written') return { versions: result.versions };
  if (result.outcome === 'conflict') return h.response({ rows: result.rows }).code(409);
  return h.response({ error: 'This write id was asked about before it arrived.' }).code(410);
}
