/** Workers seen lately, so that one that is away for a moment doesn't make a shape "never" fit. */
import { canEverFit, type Clock, type FitAnswer, type Shape, type Worker } from '@zincspan/core';
import type { UpstreamMember } from '../membership/upstream-member.js';

/** A worker is counted for this long after it was announced last, in ms. */
const REMEMBER_MS = 3_600_000;

/** Until an entry has heard every guard it can't say "never", in ms. */
const SETTLE_MS = 15_000;

/** What is needed of the directory of upstreams. */
export interface WorkerDirectory {
  workers(failureDomain: string): UpstreamMember<Worker>[];
}

/** Options of `KnownWorkers`. Times in ms. */
export interface KnownWorkersOptions {
  directory: WorkerDirectory;
  clock: Clock;
  rememberMs?: number;
  settleMs?: number;
}

/** Remembers the workers of each failure domain. */
export class KnownWorkers {
  readonly #options: Required<KnownWorkersOptions>;

  readonly #startedAt: number;

  readonly #seen = new Map<string, Map<string, { worker: Worker; at: number }>>();

  constructor({ rememberMs = REMEMBER_MS, settleMs = SETTLE_MS, ...options }: KnownWorkersOptions) {
    this.#options = { rememberMs, settleMs, ...options };
    this.#startedAt = options.clock.now();
  }

  /** Workers of a failure domain that are there or were lately. */
  workers(failureDomain: string): Worker[] {
    const { directory, clock, rememberMs } = this.#options;
    const now = clock.now();
    const seen = this.#seen.get(failureDomain) ?? new Map<string, { worker: Worker; at: number }>();
    this.#seen.set(failureDomain, seen);
    directory
      .workers(failureDomain)
      .forEach(({ upstream }) => seen.set(upstream.id, { worker: upstream, at: now }));
    seen.forEach(({ at }, id) => {
      if (now - at > rememberMs) seen.delete(id);
    });
    return [...seen.values()].map(({ worker }) => worker);
  }

  /** Whether a shape fits the empty failure domain. */
  fit(failureDomain: string, shape: Shape): FitAnswer {
    return canEverFit(shape, this.workers(failureDomain));
  }

  /** Whether a shape may yet fit: it does, or too little is known to say "never". */
  mayFit(failureDomain: string, shape: Shape): boolean {
    return !this.isSettled() || this.fit(failureDomain, shape).fits;
  }

  /** Whether this entry has been up for long enough to have heard every guard. */
  isSettled(): boolean {
    const { clock, settleMs } = this.#options;
    return clock.now() - this.#startedAt >= settleMs;
  }
}
