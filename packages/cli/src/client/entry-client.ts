/** Calls the operators' API of the first entry that answers. */
import type { IncomingMessage } from 'node:http';
import Wreck from '@hapi/wreck';
import {
  ProblemError,
  problem,
  problemSchema,
  type OperatorKey,
  type Problem,
} from '@zincspan/core';
import { operatorToken } from './operator-token.js';
import { UnreachableError, type FailedEntry } from './unreachable-error.js';

/** What an EntryClient is made from. */
export interface EntryClientOptions {
  /** `IP:port` of the entries' HTTP listeners, in the order to try. */
  entries: readonly string[];
  key: OperatorKey;
  timeoutMs?: number;
}

/** Kinds of refusal after which another entry may do better. */
const TRY_NEXT: readonly Problem['kind'][] = ['draining', 'overloaded'];

const MAX_ANSWER_BYTES = 64 * 1_048_576;

type Outcome<T> = { answer: T } | { why: string; problem?: Problem };

/** Client of the entries. Every call is safe to repeat, so a silent entry is followed by the next. */
export class EntryClient {
  readonly #options: Required<EntryClientOptions>;

  constructor({ timeoutMs = 10_000, ...options }: EntryClientOptions) {
    this.#options = { timeoutMs, ...options };
  }

  get<T>(path: string, query: Record<string, string | number | undefined> = {}): Promise<T> {
    const given = Object.entries(query).flatMap(([name, value]): [string, string][] =>
      value === undefined ? [] : [[name, String(value)]],
    );
    const search = new URLSearchParams(given).toString();
    return this.#call('GET', search === '' ? path : `${path}?${search}`);
  }

  post<T>(path: string, payload: object): Promise<T> {
    return this.#call('POST', path, payload);
  }

  /** Throws ProblemError if an entry refused, UnreachableError if none answers. */
  async #call<T>(method: string, path: string, payload?: object): Promise<T> {
    const failed: FailedEntry[] = [];
    let refusal: Problem | undefined;
    for (const address of this.#options.entries) {
      const outcome = await this.#callEntry<T>(address, method, path, payload);
      if ('answer' in outcome) return outcome.answer;
      failed.push({ address, why: outcome.why });
      refusal = outcome.problem ?? refusal;
      if (outcome.problem && !TRY_NEXT.includes(outcome.problem.kind)) break;
    }
    if (refusal) throw new ProblemError(refusal);
    throw new UnreachableError(failed);
  }

  async #callEntry<T>(
    address: string,
    method: string,
    path: string,
    payload?: object,
  ): Promise<Outcome<T>> {
    const token = await operatorToken(this.#options.key, method, path);
    const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json' };
    const { timeoutMs: timeout } = this.#options;
    try {
      const res = await Wreck.request(method, `http://${address}${path}`, {
        headers,
        timeout,
        ...(payload === undefined ? {} : { payload: JSON.stringify(payload) }),
      });
      const body = await Wreck.read(res, { timeout, maxBytes: MAX_ANSWER_BYTES });
      return readAnswer<T>(res, body.toString());
    } catch (err) {
      return { why: (err as Error).message };
    }
  }
}

function readAnswer<T>({ statusCode = 0, headers }: IncomingMessage, text: string): Outcome<T> {
  const body: unknown = JSON.parse(text);
  if (statusCode >= 200 && statusCode < 300) return { answer: body as T };
  const parsed = problemSchema.strip().safeParse(body);
  if (!parsed.success) return notAnEntry(statusCode, text);
  const seconds = Number(headers['retry-after']);
  const retry = Number.isNaN(seconds) ? {} : { retryAfterMs: seconds * 1000 };
  return { why: parsed.data.detail, problem: { ...parsed.data, ...retry } };
}

function notAnEntry<T>(statusCode: number, text: string): Outcome<T> {
  const detail = `The entry answers ${statusCode}: ${text.slice(0, 200)}`;
  const remedy = 'Check that the address is that of an entry of the same version.';
  return { why: detail, problem: problem('internal', { detail, remedy, ran: 'unknown' }) };
}
