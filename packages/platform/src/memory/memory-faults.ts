/** Faults that tests switch on in the in-memory table and object store. */
import { ProblemError } from '@zincspan/core';
import { pause } from '../http/backoff.js';
import { storeUnavailable } from '../http/store-problem.js';

/** Faults in force. Counts go down with each write that they hit. */
export class MemoryFaults {
  /** Every call is refused at once; writes surely don't take effect. */
  down = false;

  /** Every call takes this long, in ms. */
  slowMs = 0;

  /** The next writes take effect, but reject with `unknown`. */
  loseAnswers = 0;

  /** The next writes never take effect, but reject with `unknown`. */
  loseWrites = 0;

  /** Lets a call through, late if slow. Rejects with `store-unavailable` if down. */
  async pass(): Promise<void> {
    if (this.slowMs > 0) await pause(this.slowMs);
    if (!this.down) return;
    throw new ProblemError(storeUnavailable({ detail: 'The store is down.', ran: 'not-run' }));
  }

  /** Makes a write. Rejects with `store-unavailable` if a fault hits it. */
  async write<T>(effect: () => T): Promise<T> {
    await this.pass();
    if (this.loseWrites > 0) {
      this.loseWrites -= 1;
      throw lostAnswer();
    }
    const result = effect();
    if (this.loseAnswers === 0) return result;
    this.loseAnswers -= 1;
    throw lostAnswer();
  }
}

function lostAnswer(): ProblemError {
  return new ProblemError(
    storeUnavailable({ detail: 'The answer to a write was lost.', ran: 'unknown' }),
  );
}
