/** Follows the worker's events by long poll, and reconnects when the poll breaks. */
import type { WorkerTaskStatus } from '@zincspan/core';
import type { WorkerClient } from './worker-client.js';

const WAIT_MS = 20_000;
const FIRST_RETRY_MS = 50;
const MAX_RETRY_MS = 2000;

/** Runs until `stop`. Missed events do no harm: every lease renewal tells the state too. */
export class WorkerWatch {
  readonly #worker: WorkerClient;

  readonly #onStatus: (status: WorkerTaskStatus) => void;

  readonly #abort = new AbortController();

  #after = 0;

  constructor({
    worker,
    onStatus,
  }: {
    worker: WorkerClient;
    onStatus: (status: WorkerTaskStatus) => void;
  }) {
    this.#worker = worker;
    this.#onStatus = onStatus;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    let retryMs = FIRST_RETRY_MS;
    while (!this.#abort.signal.aborted) {
      try {
        const { next, tasks } = await this.#worker.events(this.#after, WAIT_MS, this.#abort.signal);
        // A lower number means that the worker was restarted and counts anew.
        this.#after = next;
        tasks.forEach((status) => this.#onStatus(status));
        retryMs = FIRST_RETRY_MS;
      } catch {
        await pause(retryMs, this.#abort.signal);
        retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
      }
    }
  }
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return;
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, ms);
    const onAbort = (): void => {
      clearTimeout(timer);
      resolve();
    };
    signal.addEventListener('abort', onAbort, { once: true });
  });
}
