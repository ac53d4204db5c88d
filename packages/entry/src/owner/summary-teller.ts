/** Tells the other entries how this entry's failure domains stand, when that changes and every few seconds. */
import { isDeepStrictEqual } from 'node:util';
import { WAIT_SIZES, type Clock, type OwnerSummary, type Peer, type Shape } from '@zincspan/core';
import type { DomainOwner } from './domain-owner.js';
import type { Timers } from './timers.js';

/** Time between two looks, in ms. */
const LOOK_MS = 1000;

/** A summary that stays the same is told again after this long, in ms. */
const REPEAT_MS = 5000;

const CALL_MS = 2000;

/** Shape of the probes: one worker has at most this many accelerators for a task. */
const PER_TASK = 8;

/** What a summary teller is made from. */
export interface SummaryTellerOptions {
  clock: Clock;
  timers: Timers;
  peers: () => Peer[];
  owners: () => DomainOwner[];
  /** Told with each look, also if other entries aren't. */
  onLook: (summary: OwnerSummary) => void;
  onMissed: () => void;
}

/** Looks after the summaries of all failure domains that this entry owns. */
export class SummaryTeller {
  readonly #options: SummaryTellerOptions;

  readonly #told = new Map<string, { summary: OwnerSummary; at: number }>();

  #cancelTimer: (() => void) | undefined;

  constructor(options: SummaryTellerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#cancelTimer = this.#options.timers.after(LOOK_MS, () => {
      this.#options.owners().forEach((owner) => this.#look(owner));
      this.start();
    });
  }

  stop(): void {
    this.#cancelTimer?.();
  }

  #look(owner: DomainOwner): void {
    const { clock, peers, onLook, onMissed } = this.#options;
    const summary = summaryOf(owner);
    if (summary === undefined) return;
    onLook(summary);
    const told = this.#told.get(owner.failureDomain);
    const isNews = !isDeepStrictEqual(summary, told?.summary);
    if (!isNews && clock.now() - (told?.at ?? 0) < REPEAT_MS) return;
    this.#told.set(owner.failureDomain, { summary, at: clock.now() });
    peers().forEach((peer) => {
      peer.call('owner.summary', summary, { timeoutMs: CALL_MS }).catch(onMissed);
    });
  }
}

/** How an owner's failure domain stands; undefined until it decides. */
function summaryOf(owner: DomainOwner): OwnerSummary | undefined {
  const { failureDomain, term } = owner;
  const summary = owner.summary();
  if (summary === undefined) return undefined;
  const { workers, free, queued } = summary;
  const waitsMs = WAIT_SIZES.map((size) => rounded(owner.expectedWaitMs('', '', probe(size)) ?? 0));
  return { failureDomain, term, workers, free, queued, waitsMs };
}

/** A job of this size that needs its accelerators anywhere in the failure domain. */
function probe(size: number): Shape {
  const acceleratorsPerTask = Math.min(size, PER_TASK);
  return {
    tasks: size / acceleratorsPerTask,
    acceleratorsPerTask,
    coresPerTask: 0,
    memoryMbPerTask: 0,
    adjacency: 'failure-domain',
  };
}

/** Up to the next power of two in seconds: a wait that merely shrinks with time isn't news. */
function rounded(waitMs: number): number {
  return waitMs <= 0 ? 0 : 1000 * 2 ** Math.max(0, Math.ceil(Math.log2(waitMs / 1000)));
}
