/** Client of the platform's object store. */
import { ProblemError, type ObjectStore } from '@zincspan/core';
import { unexpectedAnswer } from './answers.js';
import type { HttpCall } from './http-attempt.js';
import { StoreCaller, type Answer } from './store-caller.js';
import type { StoreOptions } from './store-options.js';
import { storeUnavailable } from './store-problem.js';

const OK = 200;
const NO_CONTENT = 204;
const NOT_FOUND = 404;

/** Objects over HTTP. Objects are immutable, so a put whose answer was lost is simply repeated. */
export class HttpObjectStore implements ObjectStore {
  readonly #caller: StoreCaller;

  constructor(options: StoreOptions) {
    this.#caller = new StoreCaller(options);
  }

  async get(key: string): Promise<Uint8Array | undefined> {
    const answer = await this.#call({ method: 'GET', path: objectPath(key) });
    if (answer.status === NOT_FOUND) return undefined;
    if (answer.status !== OK) throw unexpectedAnswer(answer.status, 'not-run');
    return answer.body;
  }

  async put(key: string, body: Uint8Array): Promise<void> {
    const payload = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
    const answer = await this.#call({ method: 'PUT', path: objectPath(key), payload });
    if (answer.status !== NO_CONTENT) throw unexpectedAnswer(answer.status, 'unknown');
  }

  /** Closes idle connections. */
  close(): void {
    this.#caller.close();
  }

  async #call(call: HttpCall): Promise<Answer> {
    return this.#caller.inTurn(0, async (time) => {
      const answer = await this.#caller.repeat(call, time);
      if (answer.outcome === 'answered') return answer;
      const maybeActed = answer.maybeActed && call.method === 'PUT';
      throw new ProblemError(
        storeUnavailable({
          detail: `The object store didn't answer in time: ${answer.detail}`,
          ran: maybeActed ? 'unknown' : 'not-run',
          retryAfterMs: this.#caller.retryAfterMs,
        }),
      );
    });
  }
}

function objectPath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
