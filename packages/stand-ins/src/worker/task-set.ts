/** All tasks of a worker stand-in: who holds which accelerators, and what changed since when. */
import type { Clock, WorkerTask, WorkerTaskStatus } from '@zincspan/core';
import { TaskLedger } from './task-ledger.js';
import type { WorkerFaults } from './worker-faults.js';
import { StandInTask } from './worker-task.js';

/** What a checkpoint came to. */
export type CheckpointResult = 'refused' | 'too-late' | { progress: number };

/** How the set is set up. Times in ms. */
export interface TaskSetOptions {
  clock: Clock;
  accelerators: number;
  prepareMs: number;
  usageLagMs: number;
  faults: WorkerFaults;
}

/** Tasks by name. Ended ones stay until they are forgotten. */
export class TaskSet {
  readonly ledger = new TaskLedger();

  readonly #options: TaskSetOptions;

  readonly #tasks = new Map<string, StandInTask>();

  readonly #timers = new Map<StandInTask, NodeJS.Timeout>();

  readonly #watchers = new Set<() => void>();

  /** Number of the last event. A later life starts with higher numbers, so that no poll misses its tasks. */
  #events: number;

  constructor(options: TaskSetOptions) {
    this.#options = options;
    this.#events = Math.floor(options.clock.wall());
  }

  /** Prepares a task, or finds it prepared; undefined if its accelerators aren't free. */
  prepare(order: WorkerTask): StandInTask | undefined {
    const known = this.find(order.task);
    if (known !== undefined) return known;
    if (!this.#free(order.accelerators)) {
      this.ledger.violations += 1;
      return undefined;
    }
    return this.#add(order);
  }

  find(name: string): StandInTask | undefined {
    const task = this.#tasks.get(name);
    task?.settle();
    return task;
  }

  /** False if the task isn't ready any more. Repeating a start that was made answers true. */
  start(task: StandInTask): boolean {
    if (task.state === 'running') return true;
    return task.start(this.#options.faults);
  }

  /** Changes when the task falls due next: a renewed lease, a throttle. */
  change(task: StandInTask, how: (task: StandInTask) => void): void {
    how(task);
    this.#arm(task);
  }

  /** Forgets an ended task; false if it still runs. */
  forget(task: StandInTask): boolean {
    if (!task.ended) return false;
    this.#tasks.delete(task.order.task);
    return true;
  }

  list(): WorkerTaskStatus[] {
    return [...this.#tasks.values()].map((task) => {
      task.settle();
      return task.status();
    });
  }

  /** Tasks whose state changed after event `after`. A number that is still to come counts as 0. */
  changedSince(after: number): { next: number; tasks: WorkerTaskStatus[] } {
    const since = after > this.#events ? 0 : after;
    const changed = [...this.#tasks.values()].filter(({ changedBy }) => changedBy > since);
    return { next: this.#events, tasks: changed.map((task) => task.status()) };
  }

  /** Resolves at the next change of any task, after `waitMs` at the latest. */
  async nextChange(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const done = () => {
        clearTimeout(timer);
        this.#watchers.delete(done);
        resolve();
      };
      timer = setTimeout(done, waitMs);
      this.#watchers.add(done);
    });
  }

  /** Ends all waiting and all timers. */
  close(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#watchers.forEach((done) => done());
  }

  #add(order: WorkerTask): StandInTask {
    const { clock, prepareMs, usageLagMs } = this.#options;
    const onChange = (changed: StandInTask, at: number) => this.#changed(changed, at);
    const task = new StandInTask({ order, clock, prepareMs, usageLagMs, onChange });
    this.#tasks.set(order.task, task);
    const { task: name, kind, member, tasks, accelerators } = order;
    this.ledger.note({ task: name, kind, member, tasks, accelerators });
    this.#changed(task, clock.now());
    return task;
  }

  #free(accelerators: number[]): boolean {
    const taken = new Set<number>();
    this.#tasks.forEach((task) => {
      task.settle();
      if (!task.ended) task.order.accelerators.forEach((accelerator) => taken.add(accelerator));
    });
    const exists = (accelerator: number) => accelerator < this.#options.accelerators;
    return accelerators.every((accelerator) => exists(accelerator) && !taken.has(accelerator));
  }

  #changed(task: StandInTask, at: number): void {
    this.#events += 1;
    // eslint-disable-next-line no-param-reassign -- the set numbers its tasks' changes.
    task.changedBy = this.#events;
    this.#note(task, at);
    this.#arm(task);
    this.#watchers.forEach((done) => done());
  }

  #note(task: StandInTask, at: number): void {
    const { clock } = this.#options;
    const wallAt = clock.wall() - (clock.now() - at);
    if (task.state === 'running') this.ledger.started(task.order.task, wallAt);
    if (task.ended) this.ledger.ended(task.order.task, wallAt, task.state);
  }

  /** Keeps one timer for the task's next change by itself. */
  #arm(task: StandInTask): void {
    clearTimeout(this.#timers.get(task));
    this.#timers.delete(task);
    const dueAt = task.nextChangeAt;
    if (dueAt === undefined) return;
    const waitMs = Math.max(0, Math.ceil(dueAt - this.#options.clock.now()));
    const timer = setTimeout(() => this.#due(task), Math.min(waitMs, 2 ** 31 - 1));
    this.#timers.set(task, timer);
  }

  #due(task: StandInTask): void {
    task.settle();
    this.#arm(task);
  }
}
