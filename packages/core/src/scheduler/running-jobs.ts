/** Jobs that are placed or running, by key and by worker. */
import type { Member } from '../gang/shape.js';
import type { Kind } from '../kind/kind.js';
import type { QueuedJob } from './scheduler.js';

/** One placed job. Times are wall-clock ms. */
export interface RunningJob {
  readonly job: QueuedJob;
  readonly kind: Kind;
  members: Member[];
  readonly placedAt: number;
  startedAt: number | undefined;
  /** When it was expected to end, by the estimate made at its start. */
  expectedEndAt: number;
  /** It runs within the room its account is guaranteed: never evicted for another account. */
  inside: boolean;
  /** Claim that it runs in. */
  readonly within: string | undefined;
  /** Told to leave. */
  leaving: boolean;
}

/** A job past its estimate is expected to take half as long again as it has. */
const OVERRUN_FACTOR = 0.5;

/** Accelerators of a set of members. */
export function acceleratorsOf(members: Member[]): number {
  return members.reduce((sum, { accelerators }) => sum + accelerators.length, 0);
}

/** Run time of this attempt so far. */
export function ranMs(running: RunningJob, now: number): number {
  return running.startedAt === undefined ? 0 : Math.max(0, now - running.startedAt);
}

/** When a job is expected to end, given that it still runs. */
export function expectedEnd(running: RunningJob, now: number): number {
  if (running.expectedEndAt > now) return running.expectedEndAt;
  return now + Math.max(1, ranMs(running, now) * OVERRUN_FACTOR);
}

/** Notes that a job has been told to leave. */
export function markLeaving(running: RunningJob): void {
  Object.assign(running, { leaving: true });
}

/** Placed jobs of one failure domain. */
export class RunningJobs {
  readonly #jobs = new Map<string, RunningJob>();

  readonly #byWorker = new Map<string, Set<RunningJob>>();

  readonly #inUse = new Map<string, number>();

  get size(): number {
    return this.#jobs.size;
  }

  /** Accelerators that an account's jobs use, claims apart. */
  inUse(account: string): number {
    return this.#inUse.get(account) ?? 0;
  }

  get(key: string): RunningJob | undefined {
    return this.#jobs.get(key);
  }

  values(): Iterable<RunningJob> {
    return this.#jobs.values();
  }

  /** Jobs with a member on a worker. */
  on(worker: string): Iterable<RunningJob> {
    return this.#byWorker.get(worker) ?? [];
  }

  add(running: RunningJob): void {
    this.#jobs.set(running.job.key, running);
    running.members.forEach(({ worker }) => {
      const jobs = this.#byWorker.get(worker) ?? new Set();
      this.#byWorker.set(worker, jobs.add(running));
    });
    this.#count(running, 1);
  }

  remove(key: string): RunningJob | undefined {
    const running = this.#jobs.get(key);
    if (running === undefined) return undefined;
    this.#jobs.delete(key);
    running.members.forEach(({ worker }) => this.#byWorker.get(worker)?.delete(running));
    this.#count(running, -1);
    return running;
  }

  /** A worker is gone: what was on it takes nothing any more. */
  dropWorker(worker: string): void {
    for (const running of this.on(worker)) {
      this.#count(running, -1);
      running.members = running.members.filter((member) => member.worker !== worker);
      this.#count(running, 1);
    }
    this.#byWorker.delete(worker);
  }

  #count({ job, members, within }: RunningJob, sign: 1 | -1): void {
    if (within !== undefined) return;
    this.#inUse.set(job.account, this.inUse(job.account) + sign * acceleratorsOf(members));
  }
}
