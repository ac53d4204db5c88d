/**
 * Chooses the runner for a request: among those announced for its kind, by expected time to the answer from
 * load and observed latency. When none has room the request is refused at once with when to come back.
 */
import { problem, type Problem } from '../error/problem.js';
import type { RunnerLoad } from '../message/message.js';
import { SampledChoice, type Candidate, type ChoicePolicy, type Random } from './choice-policy.js';
import type { Ejector } from './ejector.js';
import type { LatencyTracker } from './latency-tracker.js';
import { RetryPacer } from './retry-pacer.js';
import { RunnerOccupancy } from './runner-load.js';

/** A runner that can be chosen. `kinds` empty means every request kind. */
export interface ChoosableRunner {
  id: string;
  failureDomain: string;
  slots: number;
  kinds: string[];
}

/** What is asked. `exclude`: runners that were tried already. */
export interface ChoiceQuery {
  kind: string;
  idempotent: boolean;
  timeLeftMs?: number;
  exclude?: ReadonlySet<string>;
}

export type Choice = { type: 'chosen'; runner: string } | { type: 'refused'; problem: Problem };

/** How a request ended. `ms` is service time where told, else the whole time; absent if unknown. */
export interface RequestEnd {
  kind: string;
  how: 'answered' | 'failed' | 'abandoned';
  ms?: number | undefined;
  load?: RunnerLoad | undefined;
}

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
    if (serving.length === 0) return { type: 'refused', problem: noRunner(query.kind) };
    const usable = serving.filter((known) => this.#ejector.mayUse(known.runner.id, now));
    const open = this.#open(usable, now);
    if (open.length === 0) return { type: 'refused', problem: this.#full(query, serving, now) };
    const probe = this.#probe(open, query, now);
    if (probe) return { type: 'chosen', runner: probe.runner.id };
    const candidates = open.map((known) => this.#candidate(known, query.kind, now));
    return { type: 'chosen', runner: this.#policy.pick(candidates, this.#random).id };
  }

  /** A request goes to a runner. */
  started(id: string, now: number): void {
    const known = this.#known.get(id);
    if (known) {
      this.#turn += 1;
      Object.assign(known, { turn: this.#turn });
      known.occupancy.inFlight += 1;
      known.occupancy.sentSince += 1;
    }
    this.#ejector.started(id, now);
  }

  /** That request has ended. */
  ended(id: string, { kind, how, ms, load }: RequestEnd, now: number): void {
    const known = this.#known.get(id);
    if (known === undefined) return;
    known.occupancy.inFlight = Math.max(0, known.occupancy.inFlight - 1);
    if (load) this.#report(known, load, now);
    if (how === 'answered' && ms !== undefined) this.#latency.observe({ runner: id, kind, ms });
    this.#ejector.ended(id, how, now);
  }

  /** Requests that may be in flight from this entry over all usable runners of a kind. */
  capacity(kind: string, now: number): number {
    return this.#serving({ kind })
      .filter(({ runner }) => this.#ejector.health(runner.id, now) === 'closed')
      .reduce((total, known) => total + this.#bound(known, now), 0);
  }

  /** Share of the slots for a kind in use, as far as known; may exceed 1. */
  utilisation(kind: string, now: number): number {
    const serving = this.#serving({ kind });
    const slots = serving.reduce((total, { runner }) => total + runner.slots, 0);
    const used = serving.reduce((total, known) => total + this.#total(known, now), 0);
    return slots === 0 ? 1 : used / slots;
  }

  inFlight(id: string): number {
    return this.#known.get(id)?.occupancy.inFlight ?? 0;
  }

  #serving({ kind, exclude }: { kind: string; exclude?: ReadonlySet<string> }): Known[] {
    return [...this.#known.values()].filter(
      ({ runner, draining }) =>
        !draining &&
        !exclude?.has(runner.id) &&
        (runner.kinds.length === 0 || runner.kinds.includes(kind)),
    );
  }

  #report({ runner, occupancy }: Known, load: RunnerLoad, now: number): void {
    const perSlot = occupancy.report(load, now) / runner.slots;
    this.#othersPerSlot += USUAL_WEIGHT * (perSlot - this.#othersPerSlot);
  }

  #others({ runner, occupancy }: Known, now: number): number {
    return occupancy.others(now, this.#othersPerSlot * runner.slots);
  }

  #total(known: Known, now: number): number {
    const { inFlight, sentSince } = known.occupancy;
    // Entries see the same reports: what this one has sent since, the others have likely sent as well.
    const likely = sentSince * Math.max(0, this.#entries() - 1);
    return inFlight + this.#others(known, now) + likely;
  }

  /** This entry's part of the slots, or what the others leave, and its part of the queue. */
  #bound(known: Known, now: number, queuePerSlot = this.#queuePerSlot): number {
    const { runner } = known;
    const entries = Math.max(1, this.#entries());
    const part = Math.ceil(runner.slots / entries);
    const left = Math.floor(runner.slots - this.#others(known, now));
    const queue = Math.ceil((runner.slots * queuePerSlot) / entries);
    return Math.max(part, left) + queue;
  }

  /** Those with room; as long as there are any, those with room for little more than their slots. */
  #open(usable: Known[], now: number): Known[] {
    const within = (queuePerSlot: number): Known[] =>
      usable.filter((known) => known.occupancy.inFlight < this.#bound(known, now, queuePerSlot));
    const even = within(Math.min(this.#evenQueuePerSlot, this.#queuePerSlot));
    return even.length > 0 ? even : within(this.#queuePerSlot);
  }

  /** Half-open runners get a request that may be repeated elsewhere, if it should be slow or lost. */
  #probe(open: Known[], { idempotent }: ChoiceQuery, now: number): Known | undefined {
    if (!idempotent) return undefined;
    return open.find(({ runner }) => this.#ejector.health(runner.id, now) === 'half-open');
  }

  #candidate(known: Known, kind: string, now: number): Candidate {
    return { id: known.runner.id, turn: known.turn, cost: () => this.#cost(known, kind, now) };
  }

  /** Expected ms to the answer: service, waiting for a slot, and the way there. */
  #cost(known: Known, kind: string, now: number): number {
    const { runner } = known;
    const serviceMs = this.#latency.typicalMs(kind) * this.#latency.slowness(runner.id);
    const load = this.#total(known, now) / runner.slots;
    const excess = Math.max(0, load + 1 / runner.slots - 1);
    const farMs = runner.failureDomain === this.#failureDomain ? 0 : this.#domainCostMs;
    return serviceMs * (1 + excess + 0.2 * load) + farMs;
  }

  #full({ kind }: ChoiceQuery, serving: Known[], now: number): Problem {
    const slots = serving.reduce((total, { runner }) => total + runner.slots, 0);
    const perMs = slots / Math.max(1, this.#entries()) / this.#latency.typicalMs(kind);
    return problem('overloaded', {
      detail: `All ${serving.length} runners for ${kind} are full.`,
      remedy: 'Send the request again after retryAfterMs.',
      retryAfterMs: this.#pacer.next(now, perMs),
      facts: { runners: serving.length, slots },
    });
  }
}

function noRunner(kind: string): Problem {
  return problem('no-upstream', {
    detail: `No runner for ${kind} has announced itself.`,
    remedy:
      'Send the request again after retryAfterMs; operators: check the guards of these runners.',
    retryAfterMs: 1000,
    facts: { kind },
  });
}
