/** A FIFO of jobs by submission, from which any number may be removed cheaply. */
import type { QueuedJob } from './scheduler.js';

/** Jobs of one account and kind, oldest first. Removed ones leave holes that are closed now and then. */
export class JobFifo {
  #order: string[] = [];

  readonly #jobs = new Map<string, QueuedJob>();

  get size(): number {
    return this.#jobs.size;
  }

  get(key: string): QueuedJob | undefined {
    return this.#jobs.get(key);
  }

  /** Inserts by submission time: an evicted or failed job returns to its old place. */
  add(job: QueuedJob): void {
    this.#compact();
    this.#jobs.set(job.key, job);
    const last = this.#jobs.get(this.#order[this.#order.length - 1] ?? '');
    if (last === undefined || last.submittedAt <= job.submittedAt) this.#order.push(job.key);
    else this.#insert(job);
  }

  remove(key: string): void {
    this.#jobs.delete(key);
  }

  /** Jobs in order. */
  *jobs(): Generator<QueuedJob, undefined> {
    for (let i = 0; i < this.#order.length; i += 1) {
      const job = this.#jobs.get(this.#order[i] ?? '');
      if (job) yield job;
    }
    return undefined;
  }

  #insert(job: QueuedJob): void {
    this.#order = this.#order.filter((key) => this.#jobs.has(key) && key !== job.key);
    const at = this.#order.findIndex(
      (key) => (this.#jobs.get(key)?.submittedAt ?? 0) > job.submittedAt,
    );
    this.#order.splice(at < 0 ? this.#order.length : at, 0, job.key);
  }

  /** Closes the holes once they are most of the list. */
  #compact(): void {
    if (this.#order.length < 2 * this.#jobs.size + 16) return;
    this.#order = this.#order.filter((key) => this.#jobs.has(key));
  }
}
