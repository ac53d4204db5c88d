/** A client: hands jobs in, asks for their states, and tries again as the protocol says. */
import { request } from 'node:http';
import { HOST, wait } from './cell.mjs';

/** How long the client waits for an answer, in ms. */
const DEADLINE_MS = 3000;

const ATTEMPTS = 5;

/** Before another attempt without advice from the server, in ms. */
const RETRY_MS = 300;

/** Calls the entries of a cell in turn. */
export class Client {
  #entries;

  #record;

  #key;

  #next = 0;

  constructor({ entries, record, account }) {
    this.#entries = entries;
    this.#record = record;
    this.#key = `key-${account}`;
  }

  /** True once the job is accepted; false if the last attempt was refused or unanswered. */
  async submit(prefix, id, job) {
    for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
      const { status, retryAfterMs } = await this.call('POST', `${prefix}${id}`, job);
      if (status >= 200 && status < 300) return true;
      await wait(retryAfterMs ?? RETRY_MS);
    }
    return false;
  }

  /** The job's state; the status of the answer if it isn't 200, 0 without an answer. */
  async state(prefix, id) {
    const { status, body } = await this.call('GET', `${prefix}${id}`);
    return status === 200 ? body.state : status;
  }

  /** One call of the next entry. */
  async call(method, path, body) {
    const entry = this.#entries[this.#next % this.#entries.length];
    this.#next += 1;
    this.#record.note('sent', { to: entry.program.name, method, path, ...describe(body) });
    const answer = await exchange(entry.front, { method, path, body, key: this.#key });
    const { status, body: told } = answer;
    this.#record.note('answered', { by: entry.program.name, method, path, status, body: told });
    return answer;
  }
}

function describe(job) {
  if (job === undefined) return {};
  const { spec, ...rest } = job;
  return { specBytes: spec.length, ...rest };
}

async function exchange(address, { method, path, body, key }) {
  const [host, port] = address.split(':');
  const headers = {
    host: HOST,
    authorization: `Token ${key}`,
    'x-deadline-ms': `${DEADLINE_MS}`,
    ...(body === undefined ? {} : { 'content-type': 'application/json' }),
  };
  return new Promise((resolve) => {
    const req = request({ host, port, method, path, headers, timeout: DEADLINE_MS }, (res) => {
      const parts = [];
      res.on('data', (part) => parts.push(part));
      res.on('end', () => resolve(toAnswer(res, Buffer.concat(parts).toString('utf8'))));
      res.on('error', () => resolve({ status: 0 }));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve({ status: 0 }));
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

function toAnswer({ statusCode: status, headers }, text) {
  const retryAfterS = headers['retry-after'];
  const retryAfterMs = retryAfterS === undefined ? undefined : Number(retryAfterS) * 1000;
  try {
    return { status, retryAfterMs, body: JSON.parse(text) };
  } catch {
    return { status, retryAfterMs, body: {} };
  }
}
