/** HTTP load on kept-alive connections, open loop (a rate) or closed loop (so many at once). */
import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';

/** Where to send, and what. */
export interface Target {
  /** Chosen anew for each request. */
  url: () => string;
  headers: Record<string, string>;
  body: string;
}

/** What came back. Latencies in µs. */
export interface LoadFigures {
  answered: number;
  failed: number;
  perSecond: number;
  latencies: Histogram;
}

const MAX_SOCKETS = 64;

/** Sends requests to one kind of target. */
export class HttpLoad {
  readonly #target: Target;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });

  #latencies: Histogram = build({ numberOfSignificantValueDigits: 3 });

  #answered = 0;

  #failed = 0;

  constructor(target: Target) {
    this.#target = target;
  }

  /** Sends at a steady rate for so long; latency counts from when each request was due. */
  async atRate(perSecond: number, forMs: number): Promise<LoadFigures> {
    const start = performance.now();
    const open: Promise<void>[] = [];
    const gapMs = 1000 / perSecond;
    for (let due = start; due < start + forMs; due += gapMs) {
      const wait = due - performance.now();
      if (wait > 0) await sleep(wait);
      open.push(this.#send(performance.now()));
    }
    await Promise.all(open);
    return this.#take(performance.now() - start);
  }

  /** Keeps so many requests in progress for so long. */
  async atOnce(count: number, forMs: number): Promise<LoadFigures> {
    const start = performance.now();
    const loop = async (): Promise<void> => {
      while (performance.now() < start + forMs) await this.#send(performance.now());
    };
    await Promise.all(Array.from({ length: count }, loop));
    return this.#take(performance.now() - start);
  }

  close(): void {
    this.#agent.destroy();
  }

  #take(ms: number): LoadFigures {
    const figures = {
      answered: this.#answered,
      failed: this.#failed,
      perSecond: (this.#answered / ms) * 1000,
      latencies: this.#latencies,
    };
    this.#latencies = build({ numberOfSignificantValueDigits: 3 });
    this.#answered = 0;
    this.#failed = 0;
    return figures;
  }

  async #send(startedAt: number): Promise<void> {
    const status = await this.#exchange().catch(() => 0);
    if (status !== 200) {
      this.#failed += 1;
      return;
    }
    this.#answered += 1;
    this.#latencies.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * 1000)));
  }

  #exchange(): Promise<number> {
    const { url, headers, body } = this.#target;
    const length = String(Buffer.byteLength(body));
    return new Promise((resolve, reject) => {
      const req = request(
        url(),
        { method: 'POST', agent: this.#agent, headers: { ...headers, 'content-length': length } },
        (res) => {
          res.resume();
          res.on('end', () => resolve(res.statusCode ?? 0));
          res.on('error', reject);
        },
      );
      req.on('error', reject);
      req.end(body);
    });
  }
}
