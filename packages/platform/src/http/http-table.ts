/** HTTP client of the platform's table service. */
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
import { validateWrites } from '../table/validate-writes.js';
import { parseResponse, unexpectedResponse } from './response-parsing.js';
import type { HttpRequest } from './http-connection-pool.js';
import { StoreHttpClient, type StoreResponse, type TimeBudget } from './store-http-client.js';
import { withDefaults, type StoreOptions } from './store-options.js';
import { storeUnavailable } from './store-unavailable.js';

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;

/** Reads and writes have separate limits and queues, so that neither starves the other. */
export class HttpTable implements Table {
  readonly #readClient: StoreHttpClient;

  readonly #writeClient: StoreHttpClient;

  readonly #resolveReserveMs: number;

  constructor(options: StoreOptions) {
    const { timeoutMs, totalMs } = withDefaults(options);
    this.#readClient = new StoreHttpClient(options);
    this.#writeClient = new StoreHttpClient(options);
    this.#resolveReserveMs = Math.min(timeoutMs, totalMs / 3);
  }

  async get(key: string): Promise<Row> {
    const response = await this.#read(`/v1/rows/${encodeURIComponent(key)}`);
    return parseResponse(rowSchema, response, 'not-run');
  }

  async scan(
    prefix: string,
    { after, limit }: { after?: string; limit?: number } = {},
  ): Promise<Row[]> {
    const query = new URLSearchParams({ prefix });
    if (after !== undefined) query.set('after', after);
    if (limit !== undefined) query.set('limit', String(Math.min(limit, MAX_SCAN_ROWS)));
    const response = await this.#read(`/v1/rows?${query.toString()}`);
    return parseResponse(rowListSchema, response, 'not-run').rows;
  }

  async write(writes: RowWrite[]): Promise<WriteResult> {
    validateWrites(writes);
    const writeId = randomUUID();
    const request: HttpRequest = {
      method: 'POST',
      path: '/v1/transactions',
      payload: { writeId, writes },
    };
    return this.#writeClient.withSlot(this.#resolveReserveMs, async (budget) => {
      const result = await this.#writeClient.sendWithRetries(request, budget);
      if (result.outcome === 'answered') return parseWriteResult(result);
      if (result.mayHaveTakenEffect) return this.#resolveOutcome(writeId, budget, result.detail);
      throw this.#unavailable(this.#writeClient, result.detail, 'not-run');
    });
  }

  /** Closes all pooled connections. */
  close(): void {
    this.#readClient.close();
    this.#writeClient.close();
  }

  async #read(path: string): Promise<StoreResponse> {
    return this.#readClient.withSlot(0, async (budget) => {
      const result = await this.#readClient.sendWithRetries({ method: 'GET', path }, budget);
      if (result.outcome === 'unanswered') {
        throw this.#unavailable(this.#readClient, result.detail, 'not-run');
      }
      if (result.status === OK) return result;
      throw unexpectedResponse(result.status, 'not-run');
    });
  }

  /**
   * Asks the service for the outcome of a write whose response was lost. A write that hasn't arrived by then is
   * cancelled: it has no effect if it arrives later.
   */
  async #resolveOutcome(
    writeId: string,
    { deadline }: TimeBudget,
    detail: string,
  ): Promise<WriteResult> {
    const path = `/v1/transactions/${encodeURIComponent(writeId)}`;
    const response = await this.#writeClient.sendUntilDeadline({ method: 'GET', path }, deadline);
    if (response?.status === OK) return parseWriteResult(response);
    const cancelled = response?.status === NOT_FOUND;
    throw this.#unavailable(this.#writeClient, detail, cancelled ? 'not-run' : 'unknown');
  }

  #unavailable(client: StoreHttpClient, detail: string, ran: 'not-run' | 'unknown'): ProblemError {
    return new ProblemError(
      storeUnavailable({
        detail: `The table service did not answer in time: ${detail}`,
        ran,
        retryAfterMs: client.retryAfterMs,
      }),
    );
  }
}

/** Parses the response to a write. With any status but the two that the API defines, the write was not made. */
function parseWriteResult(response: StoreResponse): WriteResult {
  if (response.status === OK) {
    const { versions } = parseResponse(versionListSchema, response, 'unknown');
    return { outcome: 'written', versions };
  }
  if (response.status === CONFLICT) {
    const { rows } = parseResponse(rowListSchema, response, 'not-run');
    return { outcome: 'conflict', rows };
  }
  throw unexpectedResponse(response.status, 'not-run');
}
