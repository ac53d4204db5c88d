/** HTTP client of the platform's object store. */
import { ProblemError, type ObjectStore } from '@zincspan/core';
import { unexpectedResponse } from './response-parsing.js';
import type { HttpRequest } from './http-connection-pool.js';
import { StoreHttpClient, type StoreResponse } from './store-http-client.js';
import type { StoreOptions } from './store-options.js';
import { storeUnavailable } from './store-unavailable.js';

const OK = 200;
const NO_CONTENT = 204;
const NOT_FOUND = 404;

/** Objects are immutable, so a put whose response was lost is simply retried. */
export class HttpObjectStore implements ObjectStore {
  readonly #client: StoreHttpClient;

  constructor(options: StoreOptions) {
    this.#client = new StoreHttpClient(options);
  }

  async get(key: string): Promise<Uint8Array | undefined> {
    const response = await this.#send({ method: 'GET', path: objectPath(key) });
    if (response.status === NOT_FOUND) return undefined;
    if (response.status !== OK) throw unexpectedResponse(response.status, 'not-run');
    return response.body;
  }

  async put(key: string, body: Uint8Array): Promise<void> {
    const payload = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
    const response = await this.#send({ method: 'PUT', path: objectPath(key), payload });
    if (response.status !== NO_CONTENT) throw unexpectedResponse(response.status, 'unknown');
  }

  /** Closes all pooled connections. */
  close(): void {
    this.#client.close();
  }

  async #send(request: HttpRequest): Promise<StoreResponse> {
    return this.#client.withSlot(0, async (budget) => {
      const result = await this.#client.sendWithRetries(request, budget);
      if (result.outcome === 'answered') return result;
      const mayHaveTakenEffect = result.mayHaveTakenEffect && request.method === 'PUT';
      throw new ProblemError(
        storeUnavailable({
          detail: `The object store did not answer in time: ${result.detail}`,
          ran: mayHaveTakenEffect ? 'unknown' : 'not-run',
          retryAfterMs: this.#client.retryAfterMs,
        }),
      );
    });
  }
}

function objectPath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
