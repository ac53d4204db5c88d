/** How long a request may still take: until its deadline, or until its caller goes away. */
import type { Clock } from '@zincspan/core';

/** Why a request is given up. */
export type LifeEnd = 'deadline' | 'caller-left';

/** Marks that a wait was cut short by the end of a request's life. */
export const LIFE_OVER = Symbol('life over');

/** One request's life. `end` must be called when it is answered, to stop the timer. */
export class RequestLife {
  readonly #clock: Clock;

  readonly #controller = new AbortController();

  readonly #timer: NodeJS.Timeout;

  /** In ms of the entry's monotonic clock. */
  readonly deadlineAt: number;

  constructor({ clock, deadlineMs }: { clock: Clock; deadlineMs: number }) {
    this.#clock = clock;
    this.deadlineAt = clock.now() + deadlineMs;
    this.#timer = setTimeout(() => this.end('deadline'), deadlineMs);
  }

  /** Aborts when the life is over; its reason is a LifeEnd. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Why the life is over, if it is. */
  get over(): LifeEnd | undefined {
    return this.signal.aborted ? (this.signal.reason as LifeEnd) : undefined;
  }

  /** Time until the deadline in ms, never negative. */
  timeLeftMs(): number {
    return Math.max(0, this.deadlineAt - this.#clock.now());
  }

  /** Ends the life early: the caller left, or (without a reason) the request was answered. */
  end(reason?: LifeEnd): void {
    clearTimeout(this.#timer);
    if (reason !== undefined && !this.signal.aborted) this.#controller.abort(reason);
  }

  /** The promise's value, or LIFE_OVER as soon as the life ends first. */
  async within<T>(promise: Promise<T>): Promise<T | typeof LIFE_OVER> {
    if (this.signal.aborted) {
      promise.catch(ignore);
      return LIFE_OVER;
    }
    let onAbort = ignore;
    const over = new Promise<typeof LIFE_OVER>((resolve) => {
      onAbort = () => resolve(LIFE_OVER);
      this.signal.addEventListener('abort', onAbort);
    });
    try {
      return await Promise.race([promise, over]);
    } finally {
      this.signal.removeEventListener('abort', onAbort);
    }
  }

  /** Waits `ms`, or less if the life ends. */
  async pause(ms: number): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const waited = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, ms);
    });
    await this.within(waited);
    clearTimeout(timer);
  }
}

function ignore(): void {}
