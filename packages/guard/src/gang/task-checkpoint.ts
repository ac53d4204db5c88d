/** The checkpoint that a task is asked for before it is stopped. */
import type { PlainEnd } from './task-end.js';
import type { WorkerClient } from './worker-client.js';

/** At most one request at a time; the last checkpoint counts. */
export class TaskCheckpoint {
  readonly #task: string;

  readonly #worker: WorkerClient;

  #last: string | undefined;

  #taking: Promise<boolean> | undefined;

  constructor({ task, worker }: { task: string; worker: WorkerClient }) {
    this.#task = task;
    this.#worker = worker;
  }

  /** True if there is one now. A repeated order must not cut the checkpoint that is under way. */
  async take(limitMs: number): Promise<boolean> {
    this.#taking ??= this.#ask(limitMs);
    return this.#taking;
  }

  get isUnderWay(): boolean {
    return this.#taking !== undefined;
  }

  /** An end with the checkpoint that was taken, if one was. */
  addTo(end: PlainEnd): PlainEnd {
    if (!this.#last) return end;
    const outcome = end.outcome === 'stopped' ? 'checkpointed' : end.outcome;
    return { ...end, outcome, checkpoint: this.#last };
  }

  async #ask(limitMs: number): Promise<boolean> {
    try {
      const answer = await this.#worker.checkpoint(this.#task, limitMs);
      if (answer.outcome === 'done') this.#last = answer.checkpoint;
      return answer.outcome === 'done';
    } catch {
      return false;
    } finally {
      this.#taking = undefined;
    }
  }
}
