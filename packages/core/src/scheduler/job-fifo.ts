/** A FIFO of jobs by submission, from which any number may be removed cheaply. */
import type { QueuedJob } from './scheduler.js';

/** A place in the queue; it is a hole once the job's current place is another one, or none. */
interface Place {
  job: QueuedJob;
}

/** Jobs of one account and kind, oldest first. Removed ones leave holes that are closed now and then. */
export class JobFifo {
  #order: Place[] = [];

  readonly #places = new Map<string, Place>();

  get size(): number {
    return this.#places.size;
  }

  get(key: string): QueuedJob | undefined {
    return this.#places.get(key)?.job;
  }

  /** Inserts by submission time: an evicted or failed job returns to its old place. */
  add(job: QueuedJob): void {
    const place = { job };
    this.#places.set(job.key, place);
    const last = this.#order[this.#order.length - 1];
    if (last === undefined || last.job.submittedAt <= job.submittedAt) this.#order.push(place);
    else this.#order.splice(this.#firstAfter(job.submittedAt), 0, place);
    this.#closeHoles();
  }

  remove(key: string): void {
    if (this.#places.delete(key)) this.#closeHoles();
  }

  /** Jobs in order. */
  *jobs(): Generator<QueuedJob, undefined> {
    for (let i = 0; i < this.#order.length; i += 1) {
      const place = this.#order[i] as Place;
      if (this.#isCurrent(place)) yield place.job;
    }
    return undefined;
  }

  #isCurrent(place: Place): boolean {
    return this.#places.get(place.job.key) === place;
  }

  /** Index of the first place of a later submission, by bisection. */
  #firstAfter(submittedAt: number): number {
    let low = 0;
    let high = this.#order.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#order[middle] as Place).job.submittedAt <= submittedAt) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Once the holes are most of the list. */
  #closeHoles(): void {
    if (this.#order.length < 2 * this.#places.size + 16) return;
    this.#order = this.#order.filter((place) => this.#isCurrent(place));
  }
}
