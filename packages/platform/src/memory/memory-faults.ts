/** Faults that tests switch on in the in-memory table and object store. */
import { ProblemError } from '@zincspan/core';
import { sleep } from '../http/backoff.js';
import { storeUnavailable } from '../http/store-unavailable.js';

/** Faults in force. Counts go down with each write that they hit. */
export class MemoryFaults {
  /** Every call is refused at once; writes surely don't take effect. */
  unavailable = false;

  /** Every call takes this long, in ms. */
  latencyMs = 0;

  /** The next writes take effect, but reject with `unknown`. */
  responsesToLose = 0;

  /** The next writes never take effect, but reject with `unknown`. */
  writesToLose = 0;

  /** Lets a call through, late if slow. Rejects with `store-unavailable` if down. */
  async beforeCall(): Promise<void> {
    if (this.latencyMs > 0) await sleep(this.latencyMs);
    if (!this.unavailable) return;
    throw new ProblemError(storeUnavailable({ detail: 'The store is down.', ran: 'not-run' }));
  }

  /** Makes a write. Rejects with `store-unavailable` if a fault hits it. */
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
    storeUnavailable({ detail: 'The answer to a write was lost.', ran: 'unknown' }),
  );
}
