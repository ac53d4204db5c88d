/** What truly ran on a worker, to hold "at most once" and "whole or not at all" against. */
import type { WorkerTaskState } from '@zincspan/core';

/** One task name over all its lives on this worker. Times are wall-clock ms. */
export interface TaskEntry {
  task: string;
  kind: string;
  member: number;
  tasks: number;
  accelerators: number[];
  /** Times it passed the barrier. */
  starts: number;
  startedAt?: number;
  endedAt?: number;
  state: WorkerTaskState;
}

/** The ledger as `GET /ledger` answers it. */
export interface WorkerLedger {
  entries: TaskEntry[];
  /** Tasks that were to have accelerators which others held, or which don't exist. */
  violations: number;
}

/** Entries by task name; they outlive their tasks. */
export class TaskLedger {
  readonly #entries = new Map<string, TaskEntry>();

  violations = 0;

  /** Notes the task's order, if it is new. */
  note(order: Omit<TaskEntry, 'starts' | 'state'>): void {
    if (this.#entries.has(order.task)) return;
    this.#entries.set(order.task, { ...order, starts: 0, state: 'preparing' });
  }

  started(task: string, at: number): void {
    const entry = this.#entries.get(task);
    if (entry === undefined) return;
    entry.starts += 1;
    entry.startedAt ??= at;
    entry.state = 'running';
  }

  ended(task: string, at: number, state: WorkerTaskState): void {
    const entry = this.#entries.get(task);
    if (entry === undefined) return;
    entry.endedAt = at;
    entry.state = state;
  }

  read(): WorkerLedger {
    return { entries: [...this.#entries.values()], violations: this.violations };
  }
}
