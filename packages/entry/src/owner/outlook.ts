/** All failure domains as one entry sees them: its own owners, what other owners told, and the live workers. */
import { canEverFit, type Clock, type JobRow, type Shape } from '@zincspan/core';
import type { KnownWorkers } from '../job/known-workers.js';
import { compareByRank, rankOf, type PlacementView } from '../job/placement-choice.js';
import type { DomainOwner } from './domain-owner.js';
import { OwnerSummaries } from './owner-summaries.js';

/** A job to find a failure domain for. */
export interface Asking {
  account: string;
  kind: string;
  shape: Shape;
}

/** What an outlook is made from. */
export interface OutlookOptions {
  clock: Clock;
  failureDomains: string[];
  knownWorkers: KnownWorkers;
  local: (failureDomain: string) => DomainOwner | undefined;
}

/** Compares failure domains for a job. */
export class Outlook {
  readonly summaries: OwnerSummaries;

  readonly #options: OutlookOptions;

  constructor(options: OutlookOptions) {
    this.#options = options;
    this.summaries = new OwnerSummaries({ clock: options.clock });
  }

  /** The view for a choice among all failure domains. */
  view(asking: Asking): PlacementView {
    const { failureDomains, knownWorkers } = this.#options;
    return {
      failureDomains,
      knownWorkers,
      expectedWaitMs: (each) => this.waitMs(each, asking),
      free: (each) => this.summaries.free(each),
    };
  }

  /** Expected wait in ms; undefined if nobody who owns the failure domain was heard of late. */
  waitMs(failureDomain: string, { account, kind, shape }: Asking): number | undefined {
    const here = this.#options.local(failureDomain)?.expectedWaitMs(account, kind, shape);
    return here ?? this.summaries.waitMs(failureDomain, acceleratorsOf(shape));
  }

  /** A job was given to a failure domain. */
  sent(failureDomain: string, shape: Shape): void {
    this.summaries.sent(failureDomain, acceleratorsOf(shape));
  }

  /** Whether a shape fits the live workers of a failure domain; undefined while too little is known. */
  isHosted(failureDomain: string, shape: Shape): boolean | undefined {
    const { knownWorkers } = this.#options;
    if (!knownWorkers.isSettled()) return undefined;
    return canEverFit(shape, knownWorkers.live(failureDomain)).fits;
  }

  /** The best other failure domain for a queued job, with the wait expected there. */
  best(row: JobRow): { failureDomain: string; waitMs: number } | undefined {
    const asking = { account: row.account, kind: row.spec.kind, shape: row.spec.shape };
    const view = this.view(asking);
    const ranked = view.failureDomains
      .filter((each) => each !== row.failureDomain && this.isHosted(each, asking.shape) === true)
      .map((each) => ({ failureDomain: each, rank: rankOf(each, row.id, view) }))
      .sort((a, b) => compareByRank(a.rank, b.rank));
    return ranked
      .map(({ failureDomain }) => ({ failureDomain, waitMs: this.waitMs(failureDomain, asking) }))
      .find((each): each is { failureDomain: string; waitMs: number } => each.waitMs !== undefined);
  }
}

function acceleratorsOf({ tasks, acceleratorsPerTask }: Shape): number {
  return tasks * acceleratorsPerTask;
}
