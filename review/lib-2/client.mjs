/** A client: hands jobs in, asks for their state, cancels them. */
import { callJson } from './json-http.mjs';
import { sleep } from './fleet.mjs';

/** How long a client waits for an answer, in ms. */
const DEADLINE_MS = 3000;

/** Attempts of one submission in all. */
const MAX_ATTEMPTS = 5;

/** Before another attempt where the answer doesn't say when, in ms. */
const RETRY_MS = 300;

/** Answers after which the same job is sent again; 0: none. */
const RETRIED = [0, 429, 502, 503, 504];

/** One client of one tenant. */
export class Client {
  #host;

  #prefix;

  #key;

  #record;

  #name;

  #agent;

  /** `agent`: keeps connections open; without one each call has a connection of its own. */
  constructor({ name, host, prefix, key, record, agent }) {
    this.#name = name;
    this.#agent = agent;
    this.#host = host;
    this.#prefix = prefix;
    this.#key = key;
    this.#record = record;
  }

  /** Hands a job in, with retries at the entries in turn. Returns the status of each attempt. */
  async submit(entries, { id, body }) {
    const statuses = [];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const entry = entries[attempt % entries.length];
      const { status, headers } = await this.#call(entry, 'POST', id, body);
      statuses.push(status);
      if (!RETRIED.includes(status)) break;
      const retryAfterMs = 1000 * Number(headers['retry-after'] ?? 0);
      await sleep(Math.max(RETRY_MS, retryAfterMs));
    }
    return statuses;
  }

  /** State of a job: `{ status, state }`. */
  async state(entry, id) {
    const { status, body } = await this.#call(entry, 'GET', id);
    return { status, state: body?.state };
  }

  async cancel(entry, id) {
    const { status } = await this.#call(entry, 'DELETE', id);
    return status;
  }

  async #call(entry, method, id, body) {
    const headers = {
      host: this.#host,
      authorization: `Token ${this.#key}`,
      'x-deadline-ms': `${DEADLINE_MS}`,
    };
    const path = `${this.#prefix}${id}`;
    this.#record.add(this.#name, `sends ${method}`, { id, to: entry.name });
    const sentAt = performance.now();
    const answer = await callJson(entry.front, {
      method,
      path,
      headers,
      body,
      timeoutMs: DEADLINE_MS,
      agent: this.#agent,
    });
    this.#record.add(this.#name, `gets ${answer.status}`, {
      id,
      to: method,
      body: answer.body,
      fault: answer.fault,
      tookMs: Math.round(performance.now() - sentAt),
    });
    return answer;
  }
}
