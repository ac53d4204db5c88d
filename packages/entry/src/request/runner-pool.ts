/** The runners as the request path sees them: kept in step with membership, chosen by load, latency and health. */
import {
  Ejector,
  HedgePolicy,
  LatencyTracker,
  RetryBudget,
  RunnerChooser,
  type Ejection,
  type Kind,
  type Peer,
  type Problem,
  type ProcessContext,
  type RequestEnd,
} from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import { isRunner, type UpstreamDirectory } from '../membership/upstream-directory.js';
import type { MembershipChange, UpstreamMember } from '../membership/upstream-member.js';

/** A runner that a request may go to now. */
export interface ChosenRunner {
  id: string;
  peer: Peer;
}

/** The answer to a choice. */
export type RunnerChoice =
  { type: 'chosen'; runner: ChosenRunner } | { type: 'refused'; problem: Problem };

/** What the pool works with. `entries`: entries that share the runners, this one included. */
export interface RunnerPoolOptions {
  ctx: ProcessContext;
  bundles: BundleSource;
  upstreams: UpstreamDirectory;
  entries: () => number;
  random?: () => number;
}

const TAIL = 0.99;

/** Chooses runners and learns from how attempts went. */
export class RunnerPool {
  readonly #ctx: ProcessContext;

  readonly #bundles: BundleSource;

  readonly #upstreams: UpstreamDirectory;

  readonly #latency = new LatencyTracker();

  readonly #ejector: Ejector;

  readonly #chooser: RunnerChooser;

  readonly #budget: RetryBudget;

  readonly #hedges: HedgePolicy;

  readonly #silenceListeners = new Set<(runner: string) => void>();

  /** Linked runners' guards by runner id. */
  readonly #guards = new Map<string, string>();

  constructor({ ctx, bundles, upstreams, entries, random = Math.random }: RunnerPoolOptions) {
    this.#ctx = ctx;
    this.#bundles = bundles;
    this.#upstreams = upstreams;
    const share = (): number => bundles.current?.bundle.policy.retryBudget ?? 0;
    this.#budget = new RetryBudget({ share });
    this.#hedges = new HedgePolicy({ latency: this.#latency, budget: this.#budget });
    this.#ejector = new Ejector({
      latency: this.#latency,
      onEject: (ejection) => this.#noteEjection(ejection),
    });
    this.#chooser = new RunnerChooser({
      random,
      failureDomain: ctx.self.failureDomain,
      entries,
      latency: this.#latency,
      ejector: this.#ejector,
    });
    upstreams.all().forEach((member) => this.#announce(member));
    upstreams.onChange((change) => this.#follow(change));
    bundles.subscribe(() => upstreams.all().forEach((member) => this.#announce(member)));
  }

  /** Picks a runner whose guard is linked, beyond those tried, or says why there is none. */
  choose(kind: Kind, timeLeftMs: number, tried: ReadonlySet<string>): RunnerChoice {
    const query = {
      kind: kind.name,
      idempotent: kind.idempotent,
      timeLeftMs,
      exclude: tried,
      reachable: this.#isLinked,
    };
    const choice = this.#chooser.choose(query, this.#ctx.clock.now());
    if (choice.type === 'refused') return choice;
    const peer = this.#peer(choice.runner);
    if (peer === undefined) throw new Error(`Runner ${choice.runner} was chosen without a link.`);
    return { type: 'chosen', runner: { id: choice.runner, peer } };
  }

  /** An attempt starts at a runner. */
  started(runner: string): void {
    this.#chooser.started(runner, this.#ctx.clock.now());
  }

  /** That attempt has ended. */
  ended(runner: string, end: RequestEnd): void {
    this.#chooser.ended(runner, end, this.#ctx.clock.now());
  }

  /** Notes the first attempt of a request, which earns its account a share of a retry. */
  firstAttempt(account: string): void {
    this.#budget.firstAttempt(account);
  }

  /** Takes one retry from the account's budget, if it has one left. */
  mayRetry(account: string): boolean {
    const may = this.#budget.take(account);
    this.#ctx.metrics.count(may ? 'request.retried' : 'request.retry-refused');
    return may;
  }

  /** How long to wait before a second copy of a request is sent, if one should be. */
  hedgeDelayMs(kind: Kind, timeLeftMs: number): number | undefined {
    return this.#hedges.delayMs({ kind: kind.name, idempotent: kind.idempotent, timeLeftMs });
  }

  /** Send the second copy now? Takes from the account's budget. */
  mayHedge(account: string, kind: Kind): boolean {
    const utilisation = this.#chooser.utilisation(kind.name, this.#ctx.clock.now());
    return this.#hedges.mayHedge({ account, kind: kind.name, utilisation });
  }

  /** A request of which two copies were under way was answered: by a later copy, or by the first. */
  copyEnded(kind: Kind, { won }: { won: boolean }): void {
    this.#hedges.copyEnded(kind.name, { won });
  }

  /** Calls `fn` when a runner is taken out because it doesn't answer any more. */
  onSilence(fn: (runner: string) => void): void {
    this.#silenceListeners.add(fn);
  }

  /** Requests that this entry may have in flight over all runners. */
  capacity(): number {
    return this.#chooser.capacity(undefined, this.#ctx.clock.now());
  }

  /** Takes silent runners out of choice; call it every 100 ms or so. */
  checkSilence(): void {
    const tails = this.#kinds().map(({ name }) => this.#latency.quantile(name, TAIL) ?? 0);
    this.#ejector.checkSilence(this.#ctx.clock.now(), Math.max(0, ...tails));
  }

  /** Runners out of choice now. */
  ejected(): string[] {
    return this.#ejector.ejected(this.#ctx.clock.now());
  }

  #kinds(): Kind[] {
    const kinds = this.#bundles.current?.bundle.kinds ?? [];
    return kinds.filter(({ path }) => path === 'request');
  }

  #noteEjection({ runner, why, until }: Ejection): void {
    const { clock, metrics, timeline } = this.#ctx;
    metrics.count('runner.ejected');
    timeline.record('runner.ejected', runner, { why, forMs: Math.round(until - clock.now()) });
    if (why === 'silent') this.#silenceListeners.forEach((fn) => fn(runner));
  }

  #peer(runner: string): Peer | undefined {
    const guard = this.#guards.get(runner);
    return guard === undefined ? undefined : this.#upstreams.guardPeer(guard);
  }

  readonly #isLinked = (runner: string): boolean => this.#peer(runner) !== undefined;

  #follow(change: MembershipChange): void {
    if (change.type === 'linked') return;
    if (change.type !== 'left') {
      this.#announce(change.member);
      return;
    }
    this.#guards.delete(change.member.upstream.id);
    this.#chooser.withdraw(change.member.upstream.id);
  }

  #announce(member: UpstreamMember): void {
    if (!isRunner(member)) return;
    const { id, slots, kinds } = member.upstream;
    const drained = this.#bundles.current?.bundle.drained.includes(id) ?? false;
    this.#guards.set(id, member.guard);
    this.#chooser.announce(
      { id, slots, kinds, failureDomain: member.failureDomain },
      { draining: drained || member.state === 'draining' },
    );
  }
}
