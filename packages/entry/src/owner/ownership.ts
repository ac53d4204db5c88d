/** What the parts of one ownership of a failure domain share, from gaining the lease to losing it. */
import type {
  Bundle,
  Kind,
  ProcessContext,
  SchedulerEvent,
  TaskSpec,
  JobRow,
} from '@zincspan/core';
import { memberCheckpoint, unknownKind } from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import type { JobStore } from '../job/job-store.js';
import type { ClaimStore } from '../claim/claim-store.js';
import type { RowWatch } from '../job/row-watch.js';
import type { AttemptLimits } from './attempt-runner.js';
import type { GuardOrders } from './guard-orders.js';
import type { Timers } from './timers.js';
import type { WorkerWatch } from './worker-watch.js';

/** Shared by the parts of one ownership. */
export interface Ownership {
  readonly failureDomain: string;
  readonly term: number;
  readonly ctx: ProcessContext;
  readonly bundles: BundleSource;
  readonly jobs: JobStore;
  readonly claims: ClaimStore;
  readonly workers: WorkerWatch;
  readonly orders: GuardOrders;
  readonly timers: Timers;
  readonly limits: AttemptLimits;
  /** Waiters for changes of rows in this entry. */
  readonly watch: RowWatch;
  /** Aborts once the lease is lost or handed over. */
  readonly signal: AbortSignal;
  /** Tells the scheduler, and has it decide soon. */
  post(event: SchedulerEvent): void;
  /** Lets work go on by itself; an unexpected failure of it is logged. */
  background(what: string, work: Promise<unknown>): void;
}

/** The kind as the bundle in force has it; one that is gone is taken as the strictest. */
export function kindOf({ bundles }: Pick<Ownership, 'bundles'>, name: string): Kind {
  const known = bundles.current?.bundle.kinds.find((kind) => kind.name === name);
  return known ?? unknownKind(name);
}

/** Policy knob of the bundle in force; `otherwise` before the first bundle. */
export function policyOf<K extends keyof Bundle['policy']>(
  { bundles }: Pick<Ownership, 'bundles'>,
  knob: K,
  otherwise: Bundle['policy'][K],
): Bundle['policy'][K] {
  return bundles.current?.bundle.policy[knob] ?? otherwise;
}

/** The task that one member of a job runs. */
export function taskOf(row: JobRow, kind: Kind, member: number): TaskSpec {
  const checkpoint = memberCheckpoint(row.checkpoint, member);
  return {
    account: row.account,
    kind: kind.name,
    tasks: row.spec.shape.tasks,
    params: row.spec.params,
    checkpointable: kind.checkpointable,
    maxRunMs: kind.maxRunMs,
    ...(checkpoint === undefined ? {} : { checkpoint }),
  };
}
