/** Who waits for the end of a task. */
import type { TaskEnd } from '@zincspan/core';

/** Waiters by task name. */
export class EndWaiters {
  readonly #waiters = new Map<string, ((end: TaskEnd) => void)[]>();

  /** Resolves with the end, once. */
  async wait(task: string): Promise<TaskEnd> {
    return new Promise((resolve) => {
      this.#waiters.set(task, [...(this.#waiters.get(task) ?? []), resolve]);
    });
  }

  settle(task: string, end: TaskEnd): void {
    const waiters = this.#waiters.get(task) ?? [];
    this.#waiters.delete(task);
    waiters.forEach((resolve) => resolve(end));
  }
}
