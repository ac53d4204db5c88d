/**
 * Where the upstream announces itself, and health for the platform.
 *
 * Plain node:http, since hapi's 7 MB more (80 against 73 resident) don't fit a guard's 64 MB. Four fixed routes
 * with bounded bodies need no more.
 *
 *   POST   /v1/upstream   an Upstream -> 204
 *   DELETE /v1/upstream   -> 204
 *   GET    /health        200 while the process lives
 *   GET    /ready         200 while the upstream is offered, else 503
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  ProblemError,
  PROBLEM_MEDIA_TYPE,
  PROBLEM_STATUS,
  problem,
  problemBody,
  toProblem,
  upstreamSchema,
  type Metrics,
  type Upstream,
} from '@zincspan/core';
import { BoundedServer, listenOn, type HttpLimits } from '@zincspan/link';

const MAX_ANNOUNCEMENT_BYTES = 16_384;
const LIMITS: HttpLimits = { maxConnections: 32, maxMemoryBytes: 4 * 1_048_576 };
const REQUEST_MS = 5000;

/** What the listener serves. */
export interface UpstreamListenerOptions {
  listen: string;
  metrics: Metrics;
  onAnnounced: (upstream: Upstream) => void;
  onWithdrawn: () => void;
  isReady: () => boolean;
}

/** The guard's HTTP listener. */
export class UpstreamListener {
  readonly #options: UpstreamListenerOptions;

  readonly #server: Server;

  constructor(options: UpstreamListenerOptions) {
    this.#options = options;
    const { metrics } = options;
    this.#server = new BoundedServer(
      { limits: LIMITS, metrics, http: { requestTimeout: REQUEST_MS, headersTimeout: REQUEST_MS } },
      (req, res) => {
        void this.#serve(req, res);
      },
    );
  }

  /** Starts to listen; answers the address. */
  start(): Promise<string> {
    return listenOn(this.#server, this.#options.listen);
  }

  async stop(): Promise<void> {
    await new Promise((resolve) => {
      this.#server.close(resolve);
      this.#server.closeAllConnections();
    });
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const status = await this.#route(req);
      res.writeHead(status).end();
    } catch (err) {
      const cause = toProblem(err);
      const status = PROBLEM_STATUS[cause.kind];
      res.writeHead(status, { 'content-type': PROBLEM_MEDIA_TYPE });
      res.end(JSON.stringify(problemBody(cause)));
    }
  }

  async #route(req: IncomingMessage): Promise<number> {
    switch (`${req.method} ${req.url}`) {
      case 'POST /v1/upstream':
        this.#options.onAnnounced(await readUpstream(req));
        return 204;
      case 'DELETE /v1/upstream':
        this.#options.onWithdrawn();
        return 204;
      case 'GET /health':
        return 200;
      case 'GET /ready':
        return this.#options.isReady() ? 200 : 503;
      default:
        throw new ProblemError(
          problem('not-found', {
            detail: `There is no ${req.method} ${req.url} here.`,
            remedy: 'Announce with POST /v1/upstream, withdraw with DELETE /v1/upstream.',
          }),
        );
    }
  }
}

async function readUpstream(req: IncomingMessage): Promise<Upstream> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    length += chunk.byteLength;
    if (length > MAX_ANNOUNCEMENT_BYTES) throw tooLong();
    chunks.push(chunk);
  }
  const parsed = upstreamSchema.safeParse(parseJson(Buffer.concat(chunks).toString('utf8')));
  if (parsed.success) return parsed.data;
  throw new ProblemError(
    problem('bad-input', {
      detail: `The announcement isn't an upstream: ${parsed.error.message}`,
      remedy: 'Send a runner or worker as the upstream interface describes.',
    }),
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function tooLong(): ProblemError {
  return new ProblemError(
    problem('too-large', {
      detail: `An announcement has at most ${MAX_ANNOUNCEMENT_BYTES} bytes.`,
      remedy: 'Send only the fields of an upstream.',
      facts: { bound: MAX_ANNOUNCEMENT_BYTES },
    }),
  );
}
