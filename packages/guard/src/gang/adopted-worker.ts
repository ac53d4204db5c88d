/** The worker beside this guard: connected to, cleared of leftover tasks, and only then offered. */
import type { ProcessContext, Worker, WorkerTaskStatus } from '@zincspan/core';
import type { Leftovers } from './leftovers.js';
import { WorkerClient } from './worker-client.js';
import { WorkerWatch } from './worker-watch.js';

const RETRY_MS = 500;

/** What it needs. */
export interface AdoptedWorkerOptions {
  ctx: ProcessContext;
  leftovers: Leftovers;
  /** True for tasks that this life of the guard prepared. */
  isKnown: (task: string) => boolean;
  onStatus: (status: WorkerTaskStatus) => void;
}

/** At most one worker at a time. */
export class AdoptedWorker {
  readonly #options: AdoptedWorkerOptions;

  /** The worker on offer; undefined before it is cleared and after it left. */
  worker: Worker | undefined;

  /** Its client, which outlives the offer: what runs goes on. */
  client: WorkerClient | undefined;

  #watch: WorkerWatch | undefined;

  /** The worker that is announced now. */
  #wanted: Worker | undefined;

  constructor(options: AdoptedWorkerOptions) {
    this.#options = options;
  }

  /** Takes a worker on. Resolves true once it may be offered, false if it left or changed meanwhile. */
  async adopt(worker: Worker): Promise<boolean> {
    this.leave();
    this.#wanted = worker;
    const client = this.#connect(worker);
    let isClear = false;
    while (!isClear && this.#wanted === worker) isClear = await this.#clear(worker, client);
    if (this.#wanted !== worker) return false;
    this.worker = worker;
    return true;
  }

  /** The worker leaves: nothing new is reserved, what runs goes on. */
  leave(): void {
    this.#wanted = undefined;
    this.worker = undefined;
  }

  stop(): void {
    this.leave();
    this.#watch?.stop();
    this.client?.close();
  }

  #connect({ address }: Worker): WorkerClient {
    if (this.client?.address === address) return this.client;
    this.#watch?.stop();
    this.client = new WorkerClient({ address });
    this.#watch = new WorkerWatch({ worker: this.client, onStatus: this.#options.onStatus });
    this.#watch.start();
    return this.client;
  }

  async #clear(worker: Worker, client: WorkerClient): Promise<boolean> {
    const { ctx, leftovers, isKnown } = this.#options;
    try {
      await leftovers.clear(client, isKnown);
      return true;
    } catch (err) {
      ctx.metrics.count('worker.adopt.failed');
      ctx.timeline.record('worker.silent', worker.id, { detail: (err as Error).message });
      await pause();
      return false;
    }
  }
}

async function pause(): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, RETRY_MS);
  });
}
