/** Which copies of unpinned guarantees each failure domain keeps, as every entry works it out from its workers. */
import {
  assignCopies,
  type Clock,
  type CopyAssignment,
  type CopyCounts,
  type Guarantee,
  type Worker,
} from '@zincspan/core';
import type { BundleInForce, BundleSource } from '../bundle-source.js';
import type { KnownWorkers } from '../job/known-workers.js';

/** The workers are looked at again after this long, in ms. */
const KEEP_MS = 10_000;

/** What the copies are worked out from. */
export interface GuaranteeCopiesOptions {
  clock: Clock;
  failureDomains: string[];
  knownWorkers: KnownWorkers;
  bundles: BundleSource;
}

/** The assignment of copies to failure domains. */
export class GuaranteeCopies {
  readonly #options: GuaranteeCopiesOptions;

  #made:
    { bundle: BundleInForce; workers: string; at: number; assignment: CopyAssignment } | undefined;

  constructor(options: GuaranteeCopiesOptions) {
    this.#options = options;
  }

  /** Copies that a failure domain keeps, by guarantee; none before this entry has heard of all workers. */
  of(failureDomain: string): CopyCounts {
    return this.#assignment()?.get(failureDomain) ?? {};
  }

  #assignment(): CopyAssignment | undefined {
    const { clock, bundles, knownWorkers, failureDomains } = this.#options;
    const { current } = bundles;
    if (current === undefined || !knownWorkers.isSettled()) return undefined;
    const now = clock.now();
    const made = this.#made;
    if (made !== undefined && made.bundle === current && now - made.at < KEEP_MS) {
      return made.assignment;
    }
    const found = failureDomains.flatMap((failureDomain) =>
      knownWorkers.workers(failureDomain).map((worker) => ({ ...worker, failureDomain })),
    );
    const workers = found.map(({ id }) => id).join();
    const isSame = made?.bundle === current && made.workers === workers;
    const assignment = isSame ? made.assignment : assign(current.bundle.guarantees, found);
    this.#made = { bundle: current, workers, at: now, assignment };
    return assignment;
  }
}

/** Packing is dear: without a guarantee to assign it is left out. */
function assign(
  guarantees: Guarantee[],
  workers: (Worker & { failureDomain: string })[],
): CopyAssignment {
  const isNeeded = guarantees.some(({ failureDomain }) => failureDomain === undefined);
  return isNeeded ? assignCopies(guarantees, workers) : new Map<string, CopyCounts>();
}
