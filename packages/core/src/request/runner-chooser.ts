/**
 * Chooses the runner for a request: among those announced for its kind, by expected time to the answer from
 * load and observed latency. When none has room the request is refused at once with when to come back.
 */
import type { Problem } from '../error/problem.js';
import type { RunnerLoad } from '../message/message.js';
import { SampledChoice, type Candidate, type ChoicePolicy, type Random } from './choice-policy.js';
import type { Ejector } from './ejector.js';
import { KnownRunners, hasRoom, isEligible, type KnownRunner } from './known-runners.js';
import type { LatencyTracker } from './latency-tracker.js';
import { RetryPacer } from './retry-pacer.js';
import {
  noRunner,
  runnersFull,
  type ChoosableRunner,
  type Choice,
  type ChoiceQuery,
  type RequestEnd,
} from './runner-choice.js';
import { RunnerCosts } from './runner-costs.js';
import type { LoadContext } from './runner-load.js';

/** Weight of one report in the usual load of other entries. */
const USUAL_WEIGHT = 0.02;

/** What was drawn for a choice: how many runners and slots, and of the open ones those with an even queue. */
interface Drawn {
  runners: number;
  slots: number;
  even: KnownRunner[];
  others: KnownRunner[];
}

/** Runners as one entry sees them. Times in ms. */
export class RunnerChooser {
  readonly #random: Random;

  readonly #entries: () => number;

  readonly #latency: LatencyTracker;

  readonly #ejector: Ejector;

  readonly #policy: ChoicePolicy;

  readonly #queuePerSlot: number;

  readonly #evenQueuePerSlot: number;

  readonly #costs: RunnerCosts;

  readonly #known: KnownRunners;

  /** Other entries' requests per slot, over all runners of late. */
  #othersPerSlot = 0;

  #turn = 0;

  readonly #pacer = new RetryPacer();

  constructor({
    random,
    failureDomain,
    entries,
    latency,
    ejector,
    policy = new SampledChoice(),
    queuePerSlot = 2,
    evenQueuePerSlot = 0.5,
    domainCostMs = 2,
    reportLifeMs = 2000,
  }: {
    random: Random;
    /** Where this entry is. */
    failureDomain: string;
    /** Entries that share the runners, this one included. */
    entries: () => number;
    latency: LatencyTracker;
    ejector: Ejector;
    policy?: ChoicePolicy;
    /** Requests that may wait at a runner, as a share of its slots, over all entries. */
    queuePerSlot?: number;
    /** No runner's queue grows beyond this share of its slots while another's is shorter. */
    evenQueuePerSlot?: number;
    /** Round trip to another failure domain. */
    domainCostMs?: number;
    /** How fast a runner's report of its load loses its worth. */
    reportLifeMs?: number;
  }) {
    this.#random = random;
    this.#entries = entries;
    this.#latency = latency;
    this.#ejector = ejector;
    this.#policy = policy;
    this.#queuePerSlot = queuePerSlot;
    this.#evenQueuePerSlot = evenQueuePerSlot;
    this.#costs = new RunnerCosts({ latency, failureDomain, domainCostMs });
    this.#known = new KnownRunners({ reportLifeMs });
  }

  /** A runner is there, or has changed. Draining ones get nothing new. */
  announce(runner: ChoosableRunner, { draining = false } = {}): void {
    this.#known.put(runner, draining);
    this.#ejector.add(runner.id);
  }

  /** A runner is gone. */
  withdraw(id: string): void {
    this.#known.delete(id);
    this.#ejector.remove(id);
  }

  /** Picks a runner, or refuses at once. Follow a choice with `started`. */
  choose(query: ChoiceQuery, now: number): Choice {
    const context = this.#context(now);
    const probe = this.#probe(query, context);
    if (probe) return { type: 'chosen', runner: probe.runner.id };
    const drawn = this.#draw(query, context);
    if (drawn.runners === 0) return { type: 'refused', problem: noRunner(query) };
    const open = this.#open(drawn, query, context);
    if (open.length === 0) return { type: 'refused', problem: this.#full(query, drawn, now) };
    const candidates = open.map((known) => this.#candidate(known, query.kind, context));
    return { type: 'chosen', runner: this.#policy.pick(candidates, this.#random).id };
  }

  /** A request goes to a runner. */
  started(id: string, now: number): void {
    const known = this.#known.get(id);
    this.#turn += 1;
    if (known) Object.assign(known, { turn: this.#turn });
    known?.occupancy.started();
    this.#ejector.started(id, now);
  }

  /** That request has ended. */
  ended(id: string, end: RequestEnd, now: number): void {
    const known = this.#known.get(id);
    if (known === undefined) return;
    known.occupancy.ended();
    if (end.load) this.#report(known, end.load, now);
    this.#latency.ended(id, end);
    this.#ejector.ended(id, end.how, now);
  }

  /** Requests that may be in flight from this entry over all usable runners of a kind, or of any. */
  capacity(kind: string | undefined, now: number): number {
    const context = this.#context(now);
    const serving = this.#known.serving(kind);
    const closed = serving.filter(
      ({ runner }) => this.#ejector.health(runner.id, now) === 'closed',
    );
    return (closed.length > 0 ? closed : serving).reduce(
      (total, { runner, occupancy }) =>
        total + occupancy.bound(runner.slots, this.#queuePerSlot, context),
      0,
    );
  }

  /** Share of the slots for a kind in use, as far as known; may exceed 1. */
  utilisation(kind: string, now: number): number {
    const serving = this.#known.serving(kind);
    const slots = serving.reduce((total, { runner }) => total + runner.slots, 0);
    const context = this.#context(now);
    const used = serving.reduce(
      (total, { runner, occupancy }) => total + occupancy.total(runner.slots, context),
      0,
    );
    return slots === 0 ? 1 : used / slots;
  }

  inFlight(id: string): number {
    return this.#known.get(id)?.occupancy.inFlight ?? 0;
  }

  #report({ runner, occupancy }: KnownRunner, load: RunnerLoad, now: number): void {
    const perSlot = occupancy.report(load, now) / runner.slots;
    this.#othersPerSlot += USUAL_WEIGHT * (perSlot - this.#othersPerSlot);
  }

  #context(now: number): LoadContext {
    return { now, entries: this.#entries(), usualPerSlot: this.#othersPerSlot };
  }

  /** Draws at random, until the policy has as many as it weighs or no runner is left. */
  #draw(query: ChoiceQuery, context: LoadContext): Drawn {
    const most = this.#policy.sample;
    const order =
      most === Infinity
        ? this.#known.serving(query.kind)
        : this.#known.inRandomOrder(query.kind, this.#random);
    const drawn: Drawn = { runners: 0, slots: 0, even: [], others: [] };
    for (const known of order) {
      if (isEligible(known, query)) {
        drawn.runners += 1;
        drawn.slots += known.runner.slots;
        this.#sort(known, drawn, query, context);
      }
      if (drawn.even.length >= most) break;
    }
    return drawn;
  }

  #sort(known: KnownRunner, drawn: Drawn, query: ChoiceQuery, context: LoadContext): void {
    if (!hasRoom(known, this.#queuePerSlot, context)) return;
    if (!this.#ejector.mayUse(known.runner.id, context.now)) return;
    if (!this.#answersInTime(known, query, context)) return;
    const evenQueue = Math.min(this.#evenQueuePerSlot, this.#queuePerSlot);
    if (hasRoom(known, evenQueue, context)) drawn.even.push(known);
    else if (drawn.others.length < this.#policy.sample) drawn.others.push(known);
  }

  #open({ even, others }: Drawn, query: ChoiceQuery, context: LoadContext): KnownRunner[] {
    if (even.length > 0) return even;
    return others.length > 0 ? others : this.#allOut(query, context);
  }

  /** Runners with room that are all out of choice: with no other left, none of them can be told from a sound one. */
  #allOut(query: ChoiceQuery, context: LoadContext): KnownRunner[] {
    const { reachable } = query;
    const linked = this.#known
      .serving(query.kind)
      .filter(({ runner }) => reachable?.(runner.id) !== false);
    if (linked.some(({ runner }) => this.#ejector.health(runner.id, context.now) === 'closed')) {
      return [];
    }
    return linked.filter((known) => this.#canTake(known, query, context));
  }

  /** Whether the runner could take the request, in choice or not. */
  #canTake(known: KnownRunner, query: ChoiceQuery, context: LoadContext): boolean {
    return (
      isEligible(known, query) &&
      hasRoom(known, this.#queuePerSlot, context) &&
      this.#answersInTime(known, query, context)
    );
  }

  #answersInTime(
    known: KnownRunner,
    { kind, timeLeftMs = Infinity }: ChoiceQuery,
    context: LoadContext,
  ): boolean {
    return this.#costs.waitMs(known, kind, context) < timeLeftMs;
  }

  /** Half-open runners get a request that may be repeated elsewhere, if it should be slow or lost. */
  #probe(query: ChoiceQuery, context: LoadContext): KnownRunner | undefined {
    if (!query.idempotent) return undefined;
    const halfOpen = this.#ejector.halfOpen(context.now);
    if (halfOpen.length === 0) return undefined;
    return this.#known
      .serving(query.kind)
      .filter(({ runner }) => halfOpen.includes(runner.id))
      .find(
        (known) =>
          this.#ejector.mayUse(known.runner.id, context.now) &&
          this.#canTake(known, query, context),
      );
  }

  #candidate(known: KnownRunner, kind: string, context: LoadContext): Candidate {
    const { runner, turn } = known;
    return { id: runner.id, turn, cost: () => this.#costs.answerMs(known, kind, context) };
  }

  #full({ kind }: ChoiceQuery, { runners, slots }: Drawn, now: number): Problem {
    const perMs = slots / Math.max(1, this.#entries()) / this.#latency.typicalMs(kind);
    const retryAfterMs = this.#pacer.next(now, perMs);
    return runnersFull({ kind, runners, slots, retryAfterMs });
  }
}
