/** Timers behind an interface, so that tests decide when they fire. */

/** Calls `fn` once after `ms` milliseconds; the answer cancels it. */
export interface Timers {
  after(ms: number, fn: () => void): () => void;
}

/** The host's timers. They don't keep a process alive by themselves. */
export class SystemTimers implements Timers {
  after(ms: number, fn: () => void): () => void {
    const timer = setTimeout(fn, ms);
    timer.unref();
    return () => clearTimeout(timer);
  }
}

/** Resolves after `ms`, or at once when `signal` aborts. */
export function pause(timers: Timers, ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = (): void => {
      signal.removeEventListener('abort', onAbort);
      resolve();
    };
    const cancel = timers.after(ms, finish);
    function onAbort(): void {
      cancel();
      finish();
    }
    signal.addEventListener('abort', onAbort);
  });
}

/** Delay before try number `tries` (from 0): doubles from `firstMs` up to `mostMs`. */
export function backoffMs(
  tries: number,
  { firstMs = 100, mostMs = 2000 }: { firstMs?: number; mostMs?: number } = {},
): number {
  return Math.min(mostMs, firstMs * 2 ** Math.min(tries, 20));
}
