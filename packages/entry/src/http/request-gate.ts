/** Counts HTTP requests in progress, and refuses new work once the entry drains. */
import type { Lifecycle, Request, Server } from '@hapi/hapi';
import { ProblemError, problem, type ProcessContext } from '@zincspan/core';

const RETRY_AFTER_MS = 1000;

/** Work starts with these methods; others read or cancel and go on during a drain. */
const WORK_METHODS = new Set(['post', 'put', 'patch']);

/** Stands before all routes of a server. */
export class RequestGate {
  readonly #ctx: ProcessContext;

  readonly #inProgress = new Set<Request>();

  #idle: (() => void)[] = [];

  #draining = false;

  constructor({ ctx }: { ctx: ProcessContext }) {
    this.#ctx = ctx;
  }

  /** True from the moment `drain` is called. */
  get isDraining(): boolean {
    return this.#draining;
  }

  /** Requests in progress now. */
  get inProgress(): number {
    return this.#inProgress.size;
  }

  /** Puts the gate before the routes of a server. */
  register(server: Server): void {
    server.ext('onRequest', this.#enter);
    server.ext('onPreResponse', this.#closeConnection);
    server.events.on('response', (req) => this.#leave(req));
  }

  /** Refuses new work from now on. */
  drain(): void {
    this.#draining = true;
  }

  /** Resolves once nothing is in progress, or after `limitMs`. */
  whenIdle(limitMs: number): Promise<void> {
    if (this.#inProgress.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.#idle.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  readonly #enter: Lifecycle.Method = (req, h) => {
    this.#inProgress.add(req);
    if (!this.#draining || !WORK_METHODS.has(req.method)) return h.continue;
    this.#ctx.metrics.count('http.refused-draining');
    throw draining();
  };

  /** Callers with open connections move to another entry with their next request. */
  readonly #closeConnection: Lifecycle.Method = (req, h) => {
    const { response } = req;
    if (this.#draining && !(response instanceof Error)) response.header('connection', 'close');
    return h.continue;
  };

  #leave(req: Request): void {
    this.#inProgress.delete(req);
    if (this.#inProgress.size > 0) return;
    const idle = this.#idle;
    this.#idle = [];
    idle.forEach((fn) => fn());
  }
}

function draining(): ProblemError {
  return new ProblemError(
    problem('draining', {
      detail: 'This entry is draining and takes no new work.',
      remedy: 'Send it again; the balancer will choose another entry.',
      retryAfterMs: RETRY_AFTER_MS,
    }),
  );
}
