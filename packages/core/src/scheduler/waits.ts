/** Expected waits: when enough accelerators will have been freed for what is ahead in the queue. */
import type { DomainState } from './domain-state.js';
import { FreedCapacity, LONGEST_WAIT_MS, type CapacityEnd } from './freed-capacity.js';
import type { QueuedWork } from './queued-work.js';
import { acceleratorsOf, expectedEnd } from './running-jobs.js';

/** Estimates are made from a picture of the running jobs no older than this. */
const REFRESH_MS = 1000;

/** Waits in one failure domain, in ms. */
export class Waits {
  readonly #state: DomainState;

  readonly #queued: QueuedWork;

  #freed = FreedCapacity.fromEnds([]);

  /** Accelerators of waiting kinds that an urgent job may take. */
  #evictable = 0;

  #madeAt = -Infinity;

  constructor({ state, queued }: { state: DomainState; queued: QueuedWork }) {
    this.#state = state;
    this.#queued = queued;
  }

  /** Expected wait of a job of `size` accelerators that doesn't fit now. */
  expected(size: number, urgent: boolean, now: number): number {
    if (size > this.#state.capacity.accelerators) return LONGEST_WAIT_MS;
    this.#refresh(now);
    const ahead = urgent ? this.#queued.urgentAccelerators : this.#queued.accelerators;
    const need = size + ahead - this.#state.capacity.free;
    const wait = this.#freed.untilFreed(need, now);
    if (!urgent || this.#evictable < need) return wait;
    return Math.min(wait, this.#state.view.policy.checkpointLimitMs);
  }

  #refresh(now: number): void {
    if (now - this.#madeAt < REFRESH_MS) return;
    this.#madeAt = now;
    this.#evictable = 0;
    const ends: CapacityEnd[] = [];
    for (const running of this.#state.running.values()) {
      if (running.within !== undefined) continue;
      const freed = acceleratorsOf(running.members);
      ends.push({ at: expectedEnd(running, now), freed });
      const { urgency, checkpointable, idempotent } = running.kind;
      const evictable = urgency === 'waiting' && (checkpointable || idempotent) && !running.inside;
      if (evictable) this.#evictable += freed;
    }
    this.#freed = FreedCapacity.fromEnds(ends);
  }
}
