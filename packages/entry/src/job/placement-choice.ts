/** Which failure domain a new job goes to, and whether any could ever take it. */
import { ProblemError, problem, type FitAnswer, type Shape } from '@zincspan/core';
import { weight } from '../owner/preference.js';
import type { KnownWorkers } from './known-workers.js';

/** What is known of the failure domains. */
export interface PlacementView {
  failureDomains: string[];
  knownWorkers: KnownWorkers;
  /** Expected wait in ms where this entry is the owner; undefined elsewhere. */
  expectedWaitMs: (failureDomain: string) => number | undefined;
}

/** The failure domain for a job; throws ProblemError `never-fits` with the numbers if there is none. */
export function chooseFailureDomain(id: string, shape: Shape, view: PlacementView): string {
  const fits = view.failureDomains.filter((each) => view.knownWorkers.fit(each, shape).fits);
  if (fits.length === 0) return undecided(id, shape, view);
  // The hash spreads jobs among failure domains of one size and wait.
  const order = [...fits].sort((a, b) => compare(rank(a, id, view), rank(b, id, view)));
  return order[0] ?? undecided(id, shape, view);
}

type Rank = [waitMs: number, accelerators: number, weight: string];

function rank(failureDomain: string, id: string, view: PlacementView): Rank {
  const waitMs = view.expectedWaitMs(failureDomain) ?? 0;
  const accelerators = view.knownWorkers
    .workers(failureDomain)
    .reduce((sum, worker) => sum + worker.accelerators, 0);
  return [waitMs, -accelerators, weight(failureDomain, id)];
}

function compare(a: Rank, b: Rank): number {
  if (a[0] !== b[0]) return a[0] - b[0];
  if (a[1] !== b[1]) return a[1] - b[1];
  return a[2] < b[2] ? -1 : 1;
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
