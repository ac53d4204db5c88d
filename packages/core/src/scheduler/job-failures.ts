/** Which jobs failed where, to tell a bad worker from a bad job. */

/** A job's failure on one worker. `group` is `<account>/<kind>`. */
export interface JobFailure {
  job: string;
  worker: string;
  group: string;
  at: number;
  /** It has been counted against its worker. */
  counted?: boolean;
}

const MAX_JOBS = 5000;
const SUSPECT_AFTER = 2;

/** Failures of jobs that haven't succeeded since, oldest dropped beyond a bound. */
export class JobFailures {
  readonly #failures = new Map<string, JobFailure[]>();

  /** Notes a failure. Returns the workers to clear if the job has just become suspect. */
  failed(failure: JobFailure): string[] {
    const before = this.#failures.get(failure.job) ?? [];
    if (before.some(({ worker }) => worker === failure.worker)) return [];
    this.#failures.set(failure.job, [...before, failure]);
    this.#trim();
    return before.length + 1 >= SUSPECT_AFTER ? before.map(({ worker }) => worker) : [];
  }

  /** Forgets the job; returns its failures on other workers, which are now known to be theirs. */
  succeeded(job: string, worker: string): JobFailure[] {
    const failures = this.#failures.get(job) ?? [];
    this.#failures.delete(job);
    return failures.filter((failure) => failure.worker !== worker);
  }

  /** Failures of one group not yet counted, of jobs not suspect, on workers other than this one. */
  waitingIn(group: string, worker: string): JobFailure[] {
    return [...this.#failures.values()]
      .filter((failures) => failures.length < SUSPECT_AFTER)
      .flat()
      .filter((failure) => failure.group === group && failure.worker !== worker)
      .filter(({ counted = false }) => !counted);
  }

  /** Notes that a job's failure on a worker was counted against it: that happens once. */
  count(job: string, worker: string): void {
    const failures = this.#failures.get(job) ?? [];
    const marked = failures.map((failure) =>
      failure.worker === worker ? { ...failure, counted: true } : failure,
    );
    if (marked.length > 0) this.#failures.set(job, marked);
  }

  /** Workers that the job has failed on since it succeeded last. */
  workersOf(job: string): string[] {
    return (this.#failures.get(job) ?? []).map(({ worker }) => worker);
  }

  /** Has the job failed on several workers? */
  isSuspect(job: string): boolean {
    return (this.#failures.get(job)?.length ?? 0) >= SUSPECT_AFTER;
  }

  #trim(): void {
    if (this.#failures.size <= MAX_JOBS) return;
    const [oldest] = this.#failures.keys();
    if (oldest !== undefined) this.#failures.delete(oldest);
  }
}
