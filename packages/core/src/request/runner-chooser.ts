/**
 * Chooses the runner for a request: among those announced for its kind, by expected time to the answer from
 * load and observed latency. When none has room the request is refused at once with when to come back.
 */
import type { Problem } from '../error/problem.js';
import type { RunnerLoad } from '../message/message.js';
import { SampledChoice, type Candidate, type ChoicePolicy, type Random } from './choice-policy.js';
import type { Ejector } from './ejector.js';
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
import { RunnerOccupancy, type LoadContext } from './runner-load.js';

/** Share of the service time that a fully used runner counts dearer, before anyone waits. */
const LOAD_COST = 0.2;
/** Weight of one report in the usual load of other entries. */
const USUAL_WEIGHT = 0.02;

interface Known {
  runner: ChoosableRunner;
  draining: boolean;
  /** Number of the choice that it was last picked by. */
  turn: number;
  occupancy: RunnerOccupancy;
}

/** Runners as one entry sees them. Times in ms. */
export class RunnerChooser {
  readonly #random: Random;

  readonly #failureDomain: string;

  readonly #entries: () => number;

  readonly #latency: LatencyTracker;

  readonly #ejector: Ejector;

  readonly #policy: ChoicePolicy;

  readonly #queuePerSlot: number;

  readonly #evenQueuePerSlot: number;

  readonly #domainCostMs: number;

  readonly #known = new Map<string, Known>();

  readonly #reportLifeMs: number;

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
    this.#failureDomain = failureDomain;
    this.#entries = entries;
    this.#latency = latency;
    this.#ejector = ejector;
    this.#policy = policy;
    this.#queuePerSlot = queuePerSlot;
    this.#evenQueuePerSlot = evenQueuePerSlot;
    this.#domainCostMs = domainCostMs;
    this.#reportLifeMs = reportLifeMs;
  }

  /** A runner is there, or has changed. Draining ones get nothing new. */
  announce(runner: ChoosableRunner, { draining = false } = {}): void {
    const turn = this.#known.get(runner.id)?.turn ?? 0;
    const occupancy =
      this.#known.get(runner.id)?.occupancy ?? new RunnerOccupancy({ lifeMs: this.#reportLifeMs });
    this.#known.set(runner.id, { runner, draining, turn, occupancy });
    this.#ejector.add(runner.id);
  }

  /** A runner is gone. */
  withdraw(id: string): void {
    this.#known.delete(id);
    this.#ejector.remove(id);
  }

  /** Picks a runner, or refuses at once. Follow a choice with `started`. */
  choose(query: ChoiceQuery, now: number): Choice {
    const serving = this.#serving(query);
    if (serving.length === 0) return { type: 'refused', problem: noRunner(query) };
    const usable = serving.filter((known) => this.#ejector.mayUse(known.runner.id, now));
    const context = this.#context(now);
    const open = this.#open(usable, context).filter(
      (known) => this.#waitMs(known, query.kind, context) < (query.timeLeftMs ?? Infinity),
    );
    if (open.length === 0) return { type: 'refused', problem: this.#full(query, serving, now) };
    const probe = this.#probe(open, query, now);
    if (probe) return { type: 'chosen', runner: probe.runner.id };
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
  ended(id: string, { kind, how, ms, load }: RequestEnd, now: number): void {
    const known = this.#known.get(id);
    if (known === undefined) return;
    known.occupancy.ended();
    if (load) this.#report(known, load, now);
    if (ms !== undefined && how !== 'failed') {
      this.#latency.observe({ runner: id, kind, ms, atLeast: how === 'abandoned' });
    }
    this.#ejector.ended(id, how, now);
  }

  /** Requests that may be in flight from this entry over all usable runners of a kind, or of any. */
  capacity(kind: string | undefined, now: number): number {
    const context = this.#context(now);
    return this.#serving(kind === undefined ? {} : { kind })
      .filter(({ runner }) => this.#ejector.health(runner.id, now) === 'closed')
      .reduce(
        (total, { runner, occupancy }) =>
          total + occupancy.bound(runner.slots, this.#queuePerSlot, context),
        0,
      );
  }

  /** Share of the slots for a kind in use, as far as known; may exceed 1. */
  utilisation(kind: string, now: number): number {
    const serving = this.#serving({ kind });
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

  #serving({ kind, exclude }: { kind?: string; exclude?: ReadonlySet<string> }): Known[] {
    return [...this.#known.values()].filter(
      ({ runner, draining }) =>
        !draining &&
        !exclude?.has(runner.id) &&
        (kind === undefined || runner.kinds.length === 0 || runner.kinds.includes(kind)),
    );
  }

  #report({ runner, occupancy }: Known, load: RunnerLoad, now: number): void {
    const perSlot = occupancy.report(load, now) / runner.slots;
    this.#othersPerSlot += USUAL_WEIGHT * (perSlot - this.#othersPerSlot);
  }

  #context(now: number): LoadContext {
    return { now, entries: this.#entries(), usualPerSlot: this.#othersPerSlot };
  }

  /** Those with room; as long as there are any, those with room for little more than their slots. */
  #open(usable: Known[], context: LoadContext): Known[] {
    const within = (queuePerSlot: number): Known[] =>
      usable.filter(
        ({ runner, occupancy }) =>
          occupancy.inFlight < occupancy.bound(runner.slots, queuePerSlot, context),
      );
    const even = within(Math.min(this.#evenQueuePerSlot, this.#queuePerSlot));
    return even.length > 0 ? even : within(this.#queuePerSlot);
  }

  /** Half-open runners get a request that may be repeated elsewhere, if it should be slow or lost. */
  #probe(open: Known[], { idempotent }: ChoiceQuery, now: number): Known | undefined {
    if (!idempotent) return undefined;
    return open.find(({ runner }) => this.#ejector.health(runner.id, now) === 'half-open');
  }

  #candidate(known: Known, kind: string, context: LoadContext): Candidate {
    const { runner, turn } = known;
    return { id: runner.id, turn, cost: () => this.#cost(known, kind, context) };
  }

  /** Expected ms to the answer: service, waiting for a slot, and the way there. */
  #cost(known: Known, kind: string, context: LoadContext): number {
    const { runner, occupancy } = known;
    const load = occupancy.total(runner.slots, context) / runner.slots;
    const farMs = runner.failureDomain === this.#failureDomain ? 0 : this.#domainCostMs;
    const serviceMs = this.#serviceMs(known, kind);
    return serviceMs * (1 + LOAD_COST * load) + this.#waitMs(known, kind, context) + farMs;
  }

  #serviceMs({ runner }: Known, kind: string): number {
    return this.#latency.typicalMs(kind) * this.#latency.slowness(runner.id);
  }

  /** Expected ms until a slot is free. */
  #waitMs(known: Known, kind: string, context: LoadContext): number {
    const { slots } = known.runner;
    const excess = Math.max(0, known.occupancy.total(slots, context) + 1 - slots);
    return (this.#serviceMs(known, kind) * excess) / slots;
  }

  #full({ kind }: ChoiceQuery, serving: Known[], now: number): Problem {
    const slots = serving.reduce((total, { runner }) => total + runner.slots, 0);
    const perMs = slots / Math.max(1, this.#entries()) / this.#latency.typicalMs(kind);
    const retryAfterMs = this.#pacer.next(now, perMs);
    return runnersFull({ kind, runners: serving.length, slots, retryAfterMs });
  }
}
