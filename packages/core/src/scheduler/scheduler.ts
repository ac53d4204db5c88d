/**
 * The decisions for one failure domain as a pure state machine: events in, decisions out, time passed in.
 * The owner (packages/entry/src/owner) carries decisions out; benches and tests drive the same code.
 */
import type { Bundle } from '../bundle/bundle.js';
import type { Problem } from '../error/problem.js';
import type { CopyCounts } from '../guarantee/copy-assignment.js';
import type { Member, Shape } from '../gang/shape.js';
import type { JobSpec } from '../job/job.js';
import type { Worker } from '../upstream/upstream.js';

/** A job as the scheduler knows it. `key` is `jobs/<account>/<id>`. */
export interface QueuedJob {
  key: string;
  account: string;
  spec: JobSpec;
  /** Wall-clock ms. */
  submittedAt: number;
  /** Attempts started before, and the run time saved by their checkpoint. */
  attempt: number;
  savedMs?: number;
  /** Evicted before: keeps its place in the queue and is not evicted again lightly. */
  evictions?: number;
}

/** Why a running attempt ended, as far as placement and estimates care. */
export type AttemptEnd = 'succeeded' | 'failed' | 'stopped' | 'checkpointed' | 'lost' | 'cancelled';

/** Everything that happens to a failure domain. */
export type SchedulerEvent =
  | { type: 'bundle'; bundle: Bundle }
  /** Copies of guarantees without a failure domain of their own that this one keeps from now on; others none. */
  | { type: 'guarantee-copies'; counts: CopyCounts }
  /** The part of an account's quota that this failure domain may use from now on. */
  | { type: 'allotment'; account: string; accelerators: number }
  | { type: 'worker-ready'; worker: Worker }
  /** `draining`: finishes what it has. `lost`: all its tasks are gone. */
  | { type: 'worker-left'; worker: string; how: 'draining' | 'lost' }
  | { type: 'job-queued'; job: QueuedJob }
  /** A job found running when an owner takes over. */
  | { type: 'job-found'; job: QueuedJob; members: Member[]; startedAt: number; within?: string }
  | { type: 'job-started'; key: string }
  /** Reservation failed: free the members and queue the job again; `worker` refused or was silent. */
  | { type: 'job-unplaced'; key: string; worker?: string }
  /** `worker`: the member whose failure ended a failed attempt. `savedMs`: run time its checkpoint holds. */
  | {
      type: 'job-ended';
      key: string;
      end: AttemptEnd;
      ranMs: number;
      worker?: string;
      requeue: boolean;
      savedMs?: number;
    }
  | { type: 'job-cancelled'; key: string }
  | {
      type: 'job-usage';
      key: string;
      member: number;
      cores: number;
      memoryMb: number;
      progress: number;
    }
  | { type: 'claim-asked'; key: string; account: string; guarantee: string; askedAt: number }
  /** A claim found held when an owner takes over. */
  | { type: 'claim-found'; key: string; account: string; guarantee: string; members: Member[] }
  | { type: 'claim-unplaced'; key: string; worker?: string }
  | { type: 'claim-held'; key: string }
  | { type: 'claim-released'; key: string };

/** What the owner is to do. Until told otherwise the scheduler counts placed members as taken. */
export type Decision =
  | { type: 'place'; key: string; members: Member[]; within?: string }
  /** Checkpoint where possible within `limitMs`, stop, queue again. Ends with `job-ended`. */
  | {
      type: 'evict';
      key: string;
      reason: 'claim' | 'defragment' | 'overrun' | 'urgent';
      for?: string;
      limitMs: number;
    }
  | { type: 'hold'; key: string; members: Member[] }
  | { type: 'refuse'; key: string; problem: Problem }
  | { type: 'throttle'; key: string; member: number; cores: number }
  | { type: 'quarantine'; worker: string; until: number; why: string }
  /** A contract that can't be met, said early. */
  | { type: 'late'; key: string; expectedAt: number; contractAt: number }
  | { type: 'guarantee-broken'; guarantee: string; why: string };

/** Figures for status pages, metrics and benches. */
export interface SchedulerSummary {
  workers: number;
  accelerators: number;
  free: number;
  quarantined: string[];
  queued: number;
  queuedUrgent: number;
  running: number;
  /** 0 (none) to 1: share of free accelerators that can't host the guaranteed and queued shapes. */
  fragmentation: number;
  /** Most accelerators that one rack-adjacent gang could get now. */
  largestGang: number;
  claimsHeld: number;
}

/** Accelerators beyond guarantees that an account uses, that its waiting jobs ask for, and its smallest one does. */
export interface QuotaDemand {
  inUse: number;
  queued: number;
  smallest: number;
}

/** Pure scheduler of one failure domain. All times are wall-clock ms, passed in. */
export interface DomainScheduler {
  apply(event: SchedulerEvent, now: number): void;
  /** Decisions due now; each is given once. */
  decide(now: number): Decision[];
  /** When `decide` should be called next although nothing happens, if ever. */
  nextDecisionAt(now: number): number | undefined;
  summary(now: number): SchedulerSummary;
  /** Expected time until a job of this shape would start, in ms; for Retry-After and early warnings. */
  expectedWaitMs(account: string, kind: string, shape: Shape, now: number): number;
  /** What an account asks of its quota here; a scheduler without it doesn't keep quotas. */
  quotaDemand?(account: string): QuotaDemand;
}

/** Answer to "could this ever run here?", from admission. */
export type FitAnswer = { fits: true } | { fits: false; reason: string };
