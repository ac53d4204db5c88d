/**
 * Calls of the upstream beside the guard: whole answers only, and an honest word on what a failure means.
 *
 * Wreck over an agent of its own, which bounds the sockets; beside plain node:http it cost no measurable memory.
 */
import { Agent, type IncomingMessage } from 'node:http';
import Wreck from '@hapi/wreck';

/**
 * How a call failed. `not-connected`: the upstream surely never got it. `silent`: no whole answer in time.
 * `cut`: the answer wasn't whole. `too-long`: the answer exceeds the bound. `lost`: the connection broke.
 */
export type HttpFailure = 'not-connected' | 'silent' | 'cut' | 'too-long' | 'lost';

/** Thrown by `HttpCaller.call`. */
export class HttpError extends Error {
  readonly failure: HttpFailure;

  constructor(failure: HttpFailure, detail: string) {
    super(detail);
    this.name = 'HttpError';
    this.failure = failure;
  }
}

/** One call. Times in ms. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array;
  timeoutMs: number;
  maxBytes: number;
  signal?: AbortSignal;
}

/** A whole answer. */
export interface HttpAnswer {
  status: number;
  contentType: string;
  body: Buffer<ArrayBuffer>;
}

const CONNECT_MS = 1000;

/** Idle connections are closed after this long: sooner than servers close them, after 5 s by Node's default. */
const IDLE_MS = 2000;

/** What a broken connection means at each stage of a call. */
const FAILURE_AT = { waiting: 'not-connected', sent: 'lost', answering: 'cut' } as const;

/** Calls one address over at most `sockets` connections, which are kept alive. */
export class HttpCaller {
  readonly address: string;

  readonly #agent: Agent;

  constructor({ address, sockets }: { address: string; sockets: number }) {
    this.address = address;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: sockets,
      maxFreeSockets: sockets,
      // Of connections in use it only emits an event, which nobody listens to.
      timeout: IDLE_MS,
    });
  }

  /** Answers the whole answer. Throws HttpError. */
  async call(options: HttpCall): Promise<HttpAnswer> {
    const { method, path, headers = {}, body, timeoutMs, maxBytes, signal } = options;
    const url = `http://${this.address}${path}`;
    const calling = Wreck.request(method, url, {
      agent: this.#agent,
      headers,
      ...(body ? { payload: Buffer.from(body.buffer, body.byteOffset, body.byteLength) } : {}),
    });
    const { req } = calling;
    let stage: 'waiting' | 'sent' | 'answering' = 'waiting';
    let failure: HttpFailure | undefined;
    const giveUp = (why: HttpFailure): void => {
      failure ??= why;
      req.destroy(new Error(why));
    };
    const connectTimer = setTimeout(() => giveUp('not-connected'), CONNECT_MS);
    const timer = setTimeout(
      () => giveUp(stage === 'waiting' ? 'not-connected' : 'silent'),
      timeoutMs,
    );
    const onAbort = (): void => giveUp(stage === 'waiting' ? 'not-connected' : 'lost');
    signal?.addEventListener('abort', onAbort, { once: true });
    const onConnected = (): void => {
      stage = 'sent';
      clearTimeout(connectTimer);
    };
    req.once('socket', (socket) => {
      if (socket.connecting) socket.once('connect', onConnected);
      else onConnected();
    });
    try {
      const res = await calling;
      stage = 'answering';
      return await readWhole(res, maxBytes);
    } catch (err) {
      if (err instanceof HttpError) throw err;
      throw new HttpError(failure ?? FAILURE_AT[stage], (err as Error).message);
    } finally {
      clearTimeout(timer);
      clearTimeout(connectTimer);
      signal?.removeEventListener('abort', onAbort);
    }
  }

  /** Ends idle and busy connections. */
  close(): void {
    this.#agent.destroy();
  }
}

async function readWhole(res: IncomingMessage, maxBytes: number): Promise<HttpAnswer> {
  const promised = res.headers['content-length'];
  const status = res.statusCode ?? 0;
  if (promised !== undefined && Number(promised) > maxBytes) {
    res.destroy();
    throw new HttpError('too-long', `The answer has ${promised} bytes, more than ${maxBytes}.`);
  }
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of res as AsyncIterable<Buffer>) {
    length += chunk.byteLength;
    if (length > maxBytes) throw new HttpError('too-long', `The answer exceeds ${maxBytes} bytes.`);
    chunks.push(chunk);
  }
  const needsLength = status !== 204;
  if (
    !res.complete ||
    (needsLength && promised === undefined) ||
    (promised !== undefined && Number(promised) !== length)
  ) {
    throw new HttpError('cut', `The answer has ${length} of ${promised ?? 'unknown'} bytes.`);
  }
  return {
    status,
    contentType: res.headers['content-type'] ?? '',
    body: joinChunks(chunks, length),
  };
}

/** One buffer of its own: small pooled buffers would keep far larger slabs alive for as long as they are kept. */
function joinChunks(chunks: Buffer[], length: number): Buffer<ArrayBuffer> {
  const joined = Buffer.from(new ArrayBuffer(length));
  let at = 0;
  chunks.forEach((chunk) => {
    at += chunk.copy(joined, at);
  });
  return joined;
}
