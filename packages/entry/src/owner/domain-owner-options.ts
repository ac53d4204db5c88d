/** What an ownership of a failure domain is made from. */
import type { Bundle, DomainScheduler, ProcessContext, Table } from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import type { KnownWorkers } from '../job/known-workers.js';
import type { RowWatch } from '../job/row-watch.js';
import type { AttemptLimits } from './attempt-runner.js';
import type { GuaranteeCopies } from './guarantee-copies.js';
import type { Elsewhere } from './job-mover.js';
import type { Timers } from './timers.js';
import type { OwnerDirectory } from './worker-watch.js';

/** Makes a scheduler; the real one is `createScheduler` of @zincspan/core. */
export type SchedulerFactory = (options: {
  failureDomain: string;
  bundle: Bundle;
}) => DomainScheduler;

/** What an ownership is made from. */
export interface DomainOwnerOptions {
  failureDomain: string;
  term: number;
  ctx: ProcessContext;
  table: Table;
  bundles: BundleSource;
  directory: OwnerDirectory;
  knownWorkers: KnownWorkers;
  createScheduler: SchedulerFactory;
  watch: RowWatch;
  onStaleTerm: (highestTerm: number) => void;
  /** The bundle asks for another kind of scheduler: an owner made anew would have it. */
  onOutdated: () => void;
  /** Whether the table is known to be down: placements wait, as they couldn't be written. */
  isStoreDown?: () => boolean;
  /** Copies of guarantees that each failure domain keeps. */
  copies: GuaranteeCopies;
  /** Other failure domains that jobs may be moved to. */
  elsewhere: Elsewhere;
  timers?: Timers;
  limits?: AttemptLimits;
}
