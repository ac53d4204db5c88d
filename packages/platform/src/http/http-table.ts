/** Client of the platform's table service. */
import { randomUUID } from 'node:crypto';
import {
  ProblemError,
  rowListSchema,
  rowSchema,
  versionListSchema,
  type Row,
  type RowWrite,
  type Table,
  type WriteResult,
} from '@zincspan/core';
import { MAX_SCAN_ROWS } from '../table/row-store.js';
import { checkWrites } from '../table/check-writes.js';
import { parseAnswer, unexpectedAnswer } from './answers.js';
import type { HttpCall } from './http-attempt.js';
import { StoreCaller, type Answer, type CallTime } from './store-caller.js';
import { withDefaults, type StoreOptions } from './store-options.js';
import { storeUnavailable } from './store-problem.js';

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;

/** Table over HTTP. Reads and writes wait for their turns apart, so that neither starves the other. */
export class HttpTable implements Table {
  readonly #reads: StoreCaller;

  readonly #writes: StoreCaller;

  readonly #settleMs: number;

  constructor(options: StoreOptions) {
    const { timeoutMs, totalMs } = withDefaults(options);
    this.#reads = new StoreCaller(options);
    this.#writes = new StoreCaller(options);
    this.#settleMs = Math.min(timeoutMs, totalMs / 3);
  }

  async get(key: string): Promise<Row> {
    const answer = await this.#read(`/v1/rows/${encodeURIComponent(key)}`);
    return parseAnswer(rowSchema, answer, 'not-run');
  }

  async scan(
    prefix: string,
    { after, limit }: { after?: string; limit?: number } = {},
  ): Promise<Row[]> {
    const query = new URLSearchParams({ prefix });
    if (after !== undefined) query.set('after', after);
    if (limit !== undefined) query.set('limit', String(Math.min(limit, MAX_SCAN_ROWS)));
    const answer = await this.#read(`/v1/rows?${query.toString()}`);
    return parseAnswer(rowListSchema, answer, 'not-run').rows;
  }

  async write(writes: RowWrite[]): Promise<WriteResult> {
    checkWrites(writes);
    const writeId = randomUUID();
    const call: HttpCall = {
      method: 'POST',
      path: '/v1/transactions',
      payload: { writeId, writes },
    };
    return this.#writes.inTurn(this.#settleMs, async (time) => {
      const answer = await this.#writes.repeat(call, time);
      if (answer.outcome === 'answered') return readWritten(answer);
      if (answer.maybeActed) return this.#settle(writeId, time, answer.detail);
      throw this.#unavailable(this.#writes, answer.detail, 'not-run');
    });
  }

  /** Closes idle connections. */
  close(): void {
    this.#reads.close();
    this.#writes.close();
  }

  async #read(path: string): Promise<Answer> {
    return this.#reads.inTurn(0, async (time) => {
      const answer = await this.#reads.repeat({ method: 'GET', path }, time);
      if (answer.outcome === 'unanswered') {
        throw this.#unavailable(this.#reads, answer.detail, 'not-run');
      }
      if (answer.status === OK) return answer;
      throw unexpectedAnswer(answer.status, 'not-run');
    });
  }

  /** Learns what became of a write whose answer was lost; if it hasn't arrived, it never will. */
  async #settle(writeId: string, { deadline }: CallTime, detail: string): Promise<WriteResult> {
    const path = `/v1/transactions/${encodeURIComponent(writeId)}`;
    const answer = await this.#writes.insist({ method: 'GET', path }, deadline);
    if (answer?.status === OK) return readWritten(answer);
    const barred = answer?.status === NOT_FOUND;
    throw this.#unavailable(this.#writes, detail, barred ? 'not-run' : 'unknown');
  }

  #unavailable(caller: StoreCaller, detail: string, ran: 'not-run' | 'unknown'): ProblemError {
    return new ProblemError(
      storeUnavailable({
        detail: `The table didn't answer in time: ${detail}`,
        ran,
        retryAfterMs: caller.retryAfterMs,
      }),
    );
  }
}

/** Reads the answer to a write; any but the two that the interface allows is a refusal. */
function readWritten(answer: Answer): WriteResult {
  if (answer.status === OK) {
    const { versions } = parseAnswer(versionListSchema, answer, 'unknown');
    return { outcome: 'written', versions };
  }
  if (answer.status === CONFLICT) {
    const { rows } = parseAnswer(rowListSchema, answer, 'not-run');
    return { outcome: 'conflict', rows };
  }
  throw unexpectedAnswer(answer.status, 'not-run');
}
