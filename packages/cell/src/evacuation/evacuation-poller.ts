/** Polls the operator's evacuations while an entry owns the cell. */
import type { ProcessContext } from '@zincspan/core';
import { sleep } from '../clock/sleep.js';
import type { RowStore } from '../store/row-store.js';
import type { EvacuationChange, Evacuations } from './evacuations.js';

/** A failure domain that was reopened is used again after about this long. */
const POLL_INTERVAL_MS = 400;

/** Slower reads are abandoned: an idle connection may be dead without notice. */
const READ_TIMEOUT_MS = 1200;

export interface EvacuationPollerOptions {
  ctx: ProcessContext;
  store: RowStore;
  evacuations: Evacuations;
  onChanges: (changes: readonly EvacuationChange[]) => void;
}

/** One instance per ownership term. */
export class EvacuationPoller {
  readonly #options: EvacuationPollerOptions;

  #stopped = false;

  constructor(options: EvacuationPollerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#poll();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #poll(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#read();
      } catch (err) {
        this.#options.ctx.metrics.count('evacuation.read-failed');
        this.#options.ctx.log.error({ err }, 'failed to read evacuations');
      }
      await sleep(POLL_INTERVAL_MS);
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
    const changes = evacuations.applyRead(result.rows, sentAt);
    if (changes.length > 0) onChanges(changes);
  }
}
