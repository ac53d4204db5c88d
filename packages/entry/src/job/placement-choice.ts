/** Which failure domain a new job goes to, and whether any could ever take it. */
import { canEverFit, ProblemError, problem, type FitAnswer, type Shape } from '@zincspan/core';
import { weight } from '../owner/preference.js';
import type { KnownWorkers } from './known-workers.js';

/** Wait taken for a failure domain whose owner wasn't heard of late, in ms: about that of a takeover. */
const UNKNOWN_WAIT_MS = 5000;

/** What is known of the failure domains. */
export interface PlacementView {
  failureDomains: string[];
  knownWorkers: KnownWorkers;
  /** Expected wait in ms as the owner has it; undefined where that isn't known. */
  expectedWaitMs: (failureDomain: string) => number | undefined;
  /** Accelerators free as the owner has it; undefined where that isn't known. */
  free?: (failureDomain: string) => number | undefined;
}

/** How good a failure domain is for a job; the lowest comes first. */
export interface Rank {
  waitMs: number;
  free: number;
  /** The hash spreads jobs among failure domains that are alike. */
  weight: string;
}

/** The failure domain for a job; throws ProblemError `never-fits` with the numbers if there is none. */
export function chooseFailureDomain(id: string, shape: Shape, view: PlacementView): string {
  const { failureDomains, knownWorkers } = view;
  const live = failureDomains.filter((each) => canEverFit(shape, knownWorkers.live(each)).fits);
  // Without any that is alive it waits where it has fitted of late.
  const fits =
    live.length > 0 ? live : failureDomains.filter((each) => knownWorkers.fit(each, shape).fits);
  const ranks = fits.map((each) => ({ each, rank: rankOf(each, id, view) }));
  const [first] = ranks.sort((a, b) => compareByRank(a.rank, b.rank));
  return first?.each ?? undecided(id, shape, view);
}

/** Ranks a failure domain for the job with this id. */
export function rankOf(failureDomain: string, id: string, view: PlacementView): Rank {
  const there = (): number =>
    view.knownWorkers.live(failureDomain).reduce((sum, { accelerators }) => sum + accelerators, 0);
  return {
    waitMs: view.expectedWaitMs(failureDomain) ?? UNKNOWN_WAIT_MS,
    free: view.free?.(failureDomain) ?? there(),
    weight: weight(failureDomain, id),
  };
}

/** Orders by the shorter wait, then by what is free, then by the hash. */
export function compareByRank(a: Rank, b: Rank): number {
  return a.waitMs - b.waitMs || b.free - a.free || (a.weight < b.weight ? -1 : 1);
}

/** Too early to say "never": the owner will decide once it has heard its guards. */
function undecided(id: string, shape: Shape, view: PlacementView): string {
  const { failureDomains, knownWorkers } = view;
  const anyKnown = failureDomains.some((each) => knownWorkers.workers(each).length > 0);
  if (knownWorkers.isSettled() && anyKnown) throw neverFits(shape, view);
  const [first] = [...failureDomains].sort((a, b) => (weight(a, id) < weight(b, id) ? 1 : -1));
  if (first === undefined) throw neverFits(shape, view);
  return first;
}

function neverFits(shape: Shape, { failureDomains, knownWorkers }: PlacementView): ProblemError {
  const reasons = failureDomains.map((each) => {
    const fit: FitAnswer = knownWorkers.fit(each, shape);
    return fit.fits ? '' : `${each}: ${fit.reason}`;
  });
  return new ProblemError(
    problem('never-fits', {
      detail: `The job fits nowhere, even with every worker empty. ${reasons.join(' ')}`,
      remedy: 'Submit fewer or smaller tasks, or a wider adjacency.',
      facts: { tasks: shape.tasks, acceleratorsPerTask: shape.acceleratorsPerTask },
    }),
  );
}
