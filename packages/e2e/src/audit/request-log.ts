/** Requests that callers sent, and what each was told. */
import { createHash } from 'node:crypto';
import type { Answer, Caller } from '../deployment/caller.js';

/** What to send. */
export interface RequestToSend {
  caller: Caller;
  /** Base URL of the entry. */
  url: string;
  kind: string;
  idempotent: boolean;
  /** Makes the body unlike any other's. */
  name: string;
  serviceMs?: number;
  /** Further text in the body. */
  padding?: string;
  /** Idempotency-Key. */
  key?: string;
  deadlineMs?: number;
}

/** One request that was sent. Neither `answer` nor `cut` while it is in progress. */
export interface SentRequest extends RequestToSend {
  body: unknown;
  /** SHA-256 of the body, as runners' ledgers keep it. */
  digest: string;
  /** Wall-clock ms. */
  sentAt: number;
  endedAt?: number;
  answer?: Answer;
  /** Why no whole answer came. */
  cut?: Error;
}

/** The fields of a problem that are held against the ledgers. */
export interface ToldProblem {
  kind: string;
  ran: 'not-run' | 'ran' | 'unknown';
  detail: string;
  remedy: string;
}

/** Sends requests and keeps all of them. */
export class RequestLog {
  readonly sent: SentRequest[] = [];

  readonly #open = new Set<Promise<unknown>>();

  /** Sends one; resolves, never rejects, once it was answered or cut. */
  send(options: RequestToSend): Promise<SentRequest> {
    const { name, serviceMs, padding } = options;
    const body = { name, serviceMs, padding };
    const digest = createHash('sha256').update(JSON.stringify(body)).digest('hex');
    const request: SentRequest = { ...options, body, digest, sentAt: Date.now() };
    this.sent.push(request);
    const ended = complete(request).finally(() => this.#open.delete(ended));
    this.#open.add(ended);
    return ended;
  }

  /** Resolves once those in progress now have ended. */
  async whenPresentEnded(): Promise<void> {
    await Promise.all(this.#open);
  }

  /** Resolves once nothing is in progress. */
  async whenEnded(): Promise<void> {
    while (this.#open.size > 0) await Promise.all(this.#open);
  }
}

async function complete(request: SentRequest): Promise<SentRequest> {
  const { caller, url, kind, key, deadlineMs, body } = request;
  const headers = {
    ...(key === undefined ? {} : { 'idempotency-key': key }),
    ...(deadlineMs === undefined ? {} : { 'zincspan-deadline-ms': String(deadlineMs) }),
  };
  try {
    request.answer = await caller.call('POST', `${url}/v1/requests/${kind}`, { body, headers });
  } catch (err) {
    request.cut = err as Error;
  }
  request.endedAt = Date.now();
  return request;
}

/** The problem that a request was answered, if it was. */
export function problemOf({ answer }: SentRequest): ToldProblem | undefined {
  if (answer === undefined || answer.status < 400) return undefined;
  return answer.body as ToldProblem;
}
