/** Faults that tests inject into the in-memory table and object store. */
import { ProblemError } from '@zincspan/core';
import { sleep } from '../http/backoff.js';
import { storeUnavailable } from '../http/store-unavailable.js';

/** Active faults. Each write that a counted fault affects decrements its count. */
export class MemoryFaults {
  /** Every call is rejected, and writes don't take effect. */
  down = false;

  /** Delay of every call. */
  latencyMs = 0;

  /** How many of the next writes take effect, but reject with `unknown`. */
  responsesToLose = 0;

  /** How many of the next writes reject with `unknown` and never take effect. */
  writesToLose = 0;

  /** Delays a call by `latencyMs`. Rejects with `store-unavailable` while `down` is set. */
  async beforeCall(): Promise<void> {
    if (this.latencyMs > 0) await sleep(this.latencyMs);
    if (!this.down) return;
    throw new ProblemError(
      storeUnavailable({ detail: 'The store is unavailable.', ran: 'not-run' }),
    );
  }

  /** Makes a write. Rejects with `store-unavailable` if a fault affects it. */
  async write<T>(applyWrite: () => T): Promise<T> {
    await this.beforeCall();
    if (this.writesToLose > 0) {
      this.writesToLose -= 1;
      throw lostResponse();
    }
    const result = applyWrite();
    if (this.responsesToLose === 0) return result;
    this.responsesToLose -= 1;
    throw lostResponse();
  }
}

function lostResponse(): ProblemError {
  return new ProblemError(
    storeUnavailable({ detail: 'The response to a write was lost.', ran: 'unknown' }),
  );
}
