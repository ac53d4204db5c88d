/** Reads the operator's evacuations again and again while an entry owns the cell. */
import type { ProcessContext } from '@zincspan/core';
import { sleep } from '../clock/sleep.js';
import type { RowStore } from '../store/row-store.js';
import type { EvacuationChange, Evacuations } from './evacuations.js';

/** Pause between reads, in ms: a failure domain that was taken back is used again after about as long. */
const READ_EVERY_MS = 400;

/** A read that takes longer than this is given up, in ms: an idle connection may have gone silent for good. */
const READ_TIMEOUT_MS = 1200;

/** What the watch is made of. */
export interface EvacuationWatchOptions {
  ctx: ProcessContext;
  store: RowStore;
  evacuations: Evacuations;
  onChanges: (changes: readonly EvacuationChange[]) => void;
}

/** One watch for one term. */
export class EvacuationWatch {
  readonly #options: EvacuationWatchOptions;

  #stopped = false;

  constructor(options: EvacuationWatchOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#read();
      } catch (err) {
        this.#options.ctx.metrics.count('evacuation.read-failed');
        this.#options.ctx.log.error({ err }, 'reading evacuations failed');
      }
      await sleep(READ_EVERY_MS);
    }
  }

  async #read(): Promise<void> {
    const { ctx, store, evacuations, onChanges } = this.#options;
    const sentAt = ctx.clock.now();
    const result = await store.read(evacuations.range, { timeoutMs: READ_TIMEOUT_MS });
    if (this.#stopped) return;
    if (result.outcome === 'failed') {
      ctx.metrics.count('evacuation.read-failed');
      return;
    }
    const changes = evacuations.noteRead(result.rows, sentAt);
    if (changes.length > 0) onChanges(changes);
  }
}
