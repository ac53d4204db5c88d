/** A client: hands in jobs and asks for their state, and tries another entry after no answer. */
import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST } from './deployment.mjs';

/** How long a client waits for an answer, in ms. */
const DEADLINE_MS = 3000;

/** Pause before a call is repeated, in ms, where the answer names none. */
const RETRY_PAUSE_MS = 300;

const OK = 200;

/** Calls the entries of a deployment in turn. `record` takes one line for each call. */
export class Caller {
  #agent = new Agent({ keepAlive: true });

  #next = 0;

  constructor({ entries, record }) {
    this.entries = entries;
    this.record = record;
  }

  /** Hands a job in until an answer accepts it, for so long, in ms. False if none did. */
  async submit({ prefix, id, key, body, forMs }) {
    const endsAt = performance.now() + forMs;
    while (performance.now() < endsAt) {
      const answer = await this.call('POST', `${prefix}${id}`, { key, body });
      if (answer.status === OK) return true;
      await sleep(answer.retryAfterMs || RETRY_PAUSE_MS);
    }
    return false;
  }

  /** One call to the next entry. `status` is 0 without a whole answer. */
  async call(method, path, { key, body }) {
    const entry = this.entries[this.#next % this.entries.length];
    this.#next += 1;
    const answer = await this.#send(entry.front, { method, path, key, body });
    const word = answer.status === 0 ? 'no answer' : `${answer.status} ${answer.text}`;
    this.record(`${method} ${path} to ${entry.program.name}: ${word}`);
    return answer;
  }

  close() {
    this.#agent.destroy();
  }

  #send(front, { method, path, key, body }) {
    const [host, port] = front.split(':');
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const headers = {
      host: HOST,
      authorization: `Token ${key}`,
      'x-deadline-ms': `${DEADLINE_MS}`,
      ...(payload === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(payload) }),
    };
    return new Promise((resolve) => {
      const none = () => resolve({ status: 0, text: '', body: undefined, retryAfterMs: 0 });
      const options = { host, port, method, path, headers, agent: this.#agent };
      const req = request(options, (res) => {
        readAnswer(res).then(resolve, none);
      });
      req.setTimeout(DEADLINE_MS, () => req.destroy());
      req.on('error', none);
      req.end(payload);
    });
  }
}

async function readAnswer(res) {
  const parts = [];
  for await (const part of res) parts.push(part);
  const text = Buffer.concat(parts).toString();
  const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * 1000;
  return { status: res.statusCode, text, body: parse(text), retryAfterMs };
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
