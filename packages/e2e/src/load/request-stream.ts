/** An open-loop stream of requests at a steady rate, each on its own schedule whatever the answers do. */
import { setTimeout as sleep } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import type { Caller } from '../deployment/caller.js';
import type { Balancer } from './balancer.js';

/** What to send, and how often. */
export interface RequestStreamOptions {
  caller: Caller;
  balancer: Balancer;
  kind: string;
  body: unknown;
  /** Requests per second. */
  rate: number;
  /** Tries of one request after a cut connection; only idempotent kinds may have more than one. */
  tries?: number;
}

/** What became of the requests. */
export interface StreamFigures {
  sent: number;
  answered: number;
  /** Answered only at a further try, after a cut connection. */
  retried: number;
  /** Problems by kind. */
  refused: Record<string, number>;
  /** No whole answer at all. */
  cut: number;
  p50Ms: number;
  p99Ms: number;
}

/** Sends until stopped. */
export class RequestStream {
  readonly #options: Required<RequestStreamOptions>;

  readonly #latencies: Histogram = build({ numberOfSignificantValueDigits: 3 });

  readonly #refused: Record<string, number> = {};

  #sent = 0;

  #answered = 0;

  #retried = 0;

  #cut = 0;

  #running = false;

  #open = new Set<Promise<void>>();

  constructor(options: RequestStreamOptions) {
    this.#options = { tries: 1, ...options };
  }

  start(): void {
    this.#running = true;
    void this.#run();
  }

  /** Stops sending and waits for the answers that are still out. */
  async stop(): Promise<StreamFigures> {
    this.#running = false;
    await Promise.all(this.#open);
    return this.figures();
  }

  figures(): StreamFigures {
    return {
      sent: this.#sent,
      answered: this.#answered,
      retried: this.#retried,
      refused: this.#refused,
      cut: this.#cut,
      p50Ms: this.#latencies.getValueAtPercentile(50) / 1000,
      p99Ms: this.#latencies.getValueAtPercentile(99) / 1000,
    };
  }

  async #run(): Promise<void> {
    const gapMs = 1000 / this.#options.rate;
    for (let due = performance.now(); this.#running; due += gapMs) {
      await sleep(Math.max(0, due - performance.now()));
      if (!this.#running) return;
      const call = this.#send(due).finally(() => this.#open.delete(call));
      this.#open.add(call);
    }
  }

  async #send(due: number): Promise<void> {
    this.#sent += 1;
    for (let tries = 1; tries <= this.#options.tries; tries += 1) {
      if (await this.#try(due)) {
        if (tries > 1) this.#retried += 1;
        return;
      }
    }
    this.#cut += 1;
  }

  /** One try; false if the connection was cut before a whole answer. */
  async #try(due: number): Promise<boolean> {
    const { caller, balancer, kind, body } = this.#options;
    const url = balancer.pick();
    try {
      const res = await caller.call('POST', `${url}/v1/requests/${kind}`, { body });
      this.#note(res.status, res.body, due);
      return true;
    } catch {
      balancer.exclude(url);
      return false;
    }
  }

  #note(status: number, body: unknown, due: number): void {
    if (status === 200) {
      this.#answered += 1;
      this.#latencies.recordValue(Math.max(1, Math.round((performance.now() - due) * 1000)));
      return;
    }
    const { kind = `status-${status}` } = body as { kind?: string };
    this.#refused[kind] = (this.#refused[kind] ?? 0) + 1;
  }
}
