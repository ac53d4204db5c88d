/** Expected waits: when enough accelerators will have been freed for what is ahead in the queue. */
import type { DomainState } from './domain-state.js';
import type { QueuedWork } from './queued-work.js';
import { acceleratorsOf, expectedEnd } from './running-jobs.js';

/** Accelerators that become free by a time. */
interface Step {
  at: number;
  freed: number;
}

/** Estimates are made from a picture of the running jobs no older than this. */
const REFRESH_MS = 1000;

/** Answered where nothing that is there now could host the job. */
const LONGEST_WAIT_MS = 3_600_000;

/** Waits in one failure domain, in ms. */
export class Waits {
  readonly #state: DomainState;

  readonly #queued: QueuedWork;

  #steps: Step[] = [];

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
    const wait = this.#untilFreed(need, now);
    if (!urgent || this.#evictable < need) return wait;
    return Math.min(wait, this.#state.view.policy.checkpointLimitMs);
  }

  #untilFreed(need: number, now: number): number {
    const last = this.#steps[this.#steps.length - 1];
    if (last === undefined) return need > 0 ? LONGEST_WAIT_MS : 0;
    if (need <= last.freed) {
      let [low, high] = [0, this.#steps.length - 1];
      while (low < high) {
        const middle = Math.floor((low + high) / 2);
        if (this.#steps[middle]!.freed >= need) high = middle;
        else low = middle + 1;
      }
      return Math.max(0, this.#steps[low]!.at - now);
    }
    return Math.max(0, ((last.at - now) * need) / last.freed);
  }

  #refresh(now: number): void {
    if (now - this.#madeAt < REFRESH_MS) return;
    this.#madeAt = now;
    this.#evictable = 0;
    const ends: Step[] = [];
    for (const running of this.#state.running.values()) {
      if (running.within !== undefined) continue;
      const freed = acceleratorsOf(running.members);
      ends.push({ at: expectedEnd(running, now), freed });
      const { urgency, checkpointable, idempotent } = running.kind;
      const evictable = urgency === 'waiting' && (checkpointable || idempotent) && !running.inside;
      if (evictable) this.#evictable += freed;
    }
    ends.sort((a, b) => a.at - b.at);
    let freed = 0;
    this.#steps = ends.map((end) => {
      freed += end.freed;
      return { at: end.at, freed };
    });
  }
}
