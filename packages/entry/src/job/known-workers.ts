/** Workers that are there, and those seen lately: one that is away for a moment doesn't make a shape "never" fit. */
import { canEverFit, type Clock, type FitAnswer, type Shape, type Worker } from '@zincspan/core';
import type { MembershipChange, UpstreamMember } from '../membership/upstream-member.js';

/** A worker is counted for this long after it was announced last, in ms. */
const REMEMBER_MS = 3_600_000;

/** Until an entry has heard every guard it can't say "never", in ms. */
const SETTLE_MS = 15_000;

/** What is needed of the directory of upstreams. */
export interface WorkerDirectory {
  workers(failureDomain: string): UpstreamMember<Worker>[];
  /** The live link to a guard. */
  guardPeer(guard: string): unknown;
  onChange(fn: (change: MembershipChange) => void): () => void;
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

  /** Workers that have left, by failure domain and id. */
  readonly #left = new Map<string, Map<string, { worker: Worker; at: number }>>();

  constructor({ rememberMs = REMEMBER_MS, settleMs = SETTLE_MS, ...options }: KnownWorkersOptions) {
    this.#options = { rememberMs, settleMs, ...options };
    this.#startedAt = options.clock.now();
    options.directory.onChange((change) => this.#changed(change));
  }

  /** Workers that could take work now: ready, and with a link to their guard. */
  live(failureDomain: string): Worker[] {
    const { directory } = this.#options;
    return directory
      .workers(failureDomain)
      .filter(({ state, guard }) => state === 'ready' && directory.guardPeer(guard) !== undefined)
      .map(({ upstream }) => upstream);
  }

  /** Workers of a failure domain that are there or were lately. */
  workers(failureDomain: string): Worker[] {
    const { directory } = this.#options;
    this.#forget();
    const there = directory.workers(failureDomain).map(({ upstream }) => upstream);
    const ids = new Set(there.map(({ id }) => id));
    const away = [...(this.#left.get(failureDomain) ?? [])].filter(([id]) => !ids.has(id));
    return [...there, ...away.map(([, { worker }]) => worker)];
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

  #changed(change: MembershipChange): void {
    if (change.type !== 'left') return;
    const { upstream, failureDomain } = change.member;
    if (upstream.type !== 'worker') return;
    this.#forget();
    const left = this.#left.get(failureDomain) ?? new Map<string, { worker: Worker; at: number }>();
    this.#left.set(failureDomain, left);
    left.set(upstream.id, { worker: upstream, at: this.#options.clock.now() });
  }

  #forget(): void {
    const { clock, rememberMs } = this.#options;
    const now = clock.now();
    this.#left.forEach((left) => {
      left.forEach(({ at }, id) => {
        if (now - at > rememberMs) left.delete(id);
      });
    });
  }
}
