/**
 * Tasks that an earlier life of this guard left on the worker. They are stopped before any accelerator is offered;
 * their ends are kept for the owner until it has written them down.
 */
import {
  taskName,
  type AttemptRef,
  type ProcessContext,
  type Reservation,
  type TaskEnd,
  type WorkerTaskStatus,
} from '@zincspan/core';
import { isEnded, toEnd } from './task-end.js';
import { toRef } from './task-order.js';
import type { WorkerClient } from './worker-client.js';

const RETRY_MS = 200;
const KEPT = 1000;

/** Ends of leftover tasks, by the name on the worker. */
export class Leftovers {
  readonly #ctx: ProcessContext;

  readonly #ends = new Map<string, TaskEnd>();

  constructor({ ctx }: { ctx: ProcessContext }) {
    this.#ctx = ctx;
  }

  /** Stops every task that `isKnown` doesn't know. Resolves once none of them runs; rejects with HttpError. */
  async clear(worker: WorkerClient, isKnown: (name: string) => boolean): Promise<void> {
    const found = (await worker.list()).filter(({ task }) => !isKnown(task));
    await Promise.all(found.map((status) => this.#stop(worker, status)));
  }

  find(ref: AttemptRef): TaskEnd | undefined {
    return this.#ends.get(taskName(ref));
  }

  forget(ref: AttemptRef): boolean {
    return this.#ends.delete(taskName(ref));
  }

  /** As ended reservations that take no capacity. */
  inventory(worker: string, term: number): Reservation[] {
    return [...this.#ends.values()].map((end) => ({
      ref: end.ref,
      member: { member: end.ref.member, worker, accelerators: [], cores: 0, memoryMb: 0 },
      state: 'ended',
      term,
      end,
      ranMs: end.ranMs,
    }));
  }

  async #stop(worker: WorkerClient, found: WorkerTaskStatus): Promise<void> {
    let status = found;
    while (!isEnded(status)) {
      this.#ctx.metrics.count('task.leftover');
      const answer = await worker.stop(status.task);
      if (answer.outcome === 'unknown-task') return;
      if (answer.outcome === 'done') status = answer.status;
      if (!isEnded(status)) await pause();
    }
    this.#note(status);
  }

  #note(status: WorkerTaskStatus): void {
    const ref = toRef(status.task);
    const end = toEnd(status);
    if (!ref || !end || this.#ends.size >= KEPT) return;
    this.#ends.set(status.task, { ref, incarnation: this.#ctx.self.incarnation, ...end });
    this.#ctx.timeline.record('task.leftover', status.task, {
      job: ref.key,
      outcome: end.outcome,
    });
  }
}

async function pause(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, RETRY_MS);
  });
}
