/** A caller of zincspan: one client account's HTTP client. */
import Wreck from '@hapi/wreck';
import type { AccountToken } from './credentials.js';

/** A whole answer. */
export interface Answer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  /** Parsed, where it is JSON. */
  body: unknown;
}

/** What to send. */
export interface CallOptions {
  body?: unknown;
  headers?: Record<string, string>;
  /** Longest wait, in ms. */
  timeoutMs?: number;
}

/** Calls the entries as one client account; a call names the entry, as a balancer would choose it. */
export class Caller {
  readonly #token: string;

  constructor({ token }: Pick<AccountToken, 'token'>) {
    this.#token = token;
  }

  /** One call to one entry. Rejects only if no whole answer came. */
  async call(method: string, url: string, options: CallOptions = {}): Promise<Answer> {
    const { body, headers = {}, timeoutMs = 30_000 } = options;
    const res = await Wreck.request(method, url, {
      headers: {
        authorization: `Bearer ${this.#token}`,
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        ...headers,
      },
      ...(body === undefined ? {} : { payload: JSON.stringify(body) }),
      timeout: timeoutMs,
    });
    const text = (await Wreck.read(res, {})).toString();
    return { status: res.statusCode ?? 0, headers: res.headers, body: parse(text) };
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
