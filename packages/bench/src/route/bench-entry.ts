/** An entry in virtual time: the real decisions on requests, with links made of delays. */
import {
  AccountLimiter,
  Ejector,
  HedgePolicy,
  LatencyTracker,
  RetryBudget,
  RunnerChooser,
  type Problem,
} from '@zincspan/core';
import { RequestRoute, type RouteDeps } from './request-route.js';
import type { FakeRunner } from './fake-runner.js';
import type { PolicyVersion } from './policy-version.js';
import type { RandomSource } from './random-source.js';
import type { VirtualTime } from './virtual-time.js';
import type { Deployment } from './deployment.js';

/** A caller's request. `done` is called once. */
export interface BenchRequest {
  id: string;
  account: string;
  kind: string;
  idempotent: boolean;
  urgent: boolean;
  serviceMs: number;
  deadlineAt: number;
  done(end: RequestEnding): void;
}

/** How a request ended for its caller. */
export type RequestEnding =
  { type: 'answered' } | { type: 'refused'; problem: Problem } | { type: 'deadline' };

const TICK_MS = 100;
const RETRY_SHARE = 0.1;

/** One entry. */
export class BenchEntry {
  readonly #deps: RouteDeps;

  readonly #limiter: AccountLimiter;

  readonly #ejector: Ejector;

  readonly #limits: boolean;

  readonly #routes = new Map<string, RequestRoute>();

  constructor({
    failureDomain,
    deployment,
    runners,
    version,
    time,
    random,
  }: {
    failureDomain: string;
    deployment: Deployment;
    runners: FakeRunner[];
    version: PolicyVersion;
    time: VirtualTime;
    random: RandomSource;
  }) {
    const entries = (): number => deployment.entries;
    const latency = new LatencyTracker();
    this.#ejector = new Ejector({
      latency,
      onEject: ({ runner, why }) => this.#resend(runner, why),
      ...version.ejector,
    });
    const chooser = new RunnerChooser({
      random: random.uniform,
      failureDomain,
      entries,
      latency,
      ejector: this.#ejector,
      domainCostMs: 2 * deployment.linkMs,
      ...version.chooser(),
    });
    runners.forEach(({ id, failureDomain: domain, slots }) =>
      chooser.announce({ id, failureDomain: domain, slots, kinds: [] }),
    );
    const budget = new RetryBudget({ share: () => RETRY_SHARE });
    const hedging = new HedgePolicy({ latency, budget, ...version.hedge });
    this.#limits = version.limiter !== undefined;
    this.#limiter = new AccountLimiter({ entries, ...version.limiter });
    this.#limiter.setAccounts(deployment.accounts);
    this.#deps = {
      time,
      chooser,
      latency,
      budget,
      hedging: version.hedge === undefined ? undefined : hedging,
      runners: new Map(runners.map((runner) => [runner.id, runner])),
      linkMs: (runner) => (runner.failureDomain === failureDomain ? 0.1 : deployment.linkMs),
    };
    this.#tick();
  }

  submit(req: BenchRequest): void {
    const { time } = this.#deps;
    if (this.#limits) {
      const admitted = this.#limiter.start(req.account, time.now);
      if (admitted.type === 'refused') {
        req.done(admitted);
        return;
      }
    }
    const startedAt = time.now;
    const route = new RequestRoute(this.#deps, req, (end) => {
      this.#routes.delete(req.id);
      if (this.#limits) this.#limiter.ended(req.account, time.now - startedAt);
      req.done(end);
    });
    this.#routes.set(req.id, route);
    route.start();
  }

  /** The caller is gone. */
  cancel(id: string): void {
    this.#routes.get(id)?.cancel();
  }

  /** What a silent runner holds goes elsewhere, if it may. */
  #resend(runner: string, why: string): void {
    if (why === 'silent') this.#routes.forEach((route) => route.runnerSilent(runner));
  }

  #tick(): void {
    const { time, chooser, latency } = this.#deps;
    this.#limiter.setCapacity(chooser.capacity('match', time.now));
    this.#ejector.checkSilence(time.now, latency.quantile('match', 0.99) ?? 1000);
    time.after(TICK_MS, () => this.#tick());
  }
}
