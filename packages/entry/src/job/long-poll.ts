/** Waiting for a row to reach its end, on behalf of a caller. */
import type { Clock } from '@zincspan/core';
import type { Timers } from '../owner/timers.js';
import type { RowWatch } from './row-watch.js';

/** A row that another entry changes is looked at this often, in ms. */
const LOOK_MS = 500;

/** What to wait for. */
export interface LongPollOptions<T> {
  key: string;
  timeoutMs: number;
  read: () => Promise<T>;
  isDone: (value: T) => boolean;
  watch: RowWatch;
  timers: Timers;
  clock: Clock;
}

/** Reads until the value is done or the time is over, and answers the value read last. */
export async function longPoll<T>(options: LongPollOptions<T>): Promise<T> {
  const { key, timeoutMs, read, isDone, watch, timers, clock } = options;
  const until = clock.now() + timeoutMs;
  for (;;) {
    // Listening starts before the reading, so that a change in between isn't missed.
    const change = nextChange(watch, key);
    const value = await read();
    const leftMs = until - clock.now();
    if (isDone(value) || leftMs <= 0) {
      change.cancel();
      return value;
    }
    const cancelTimer = timers.after(Math.min(leftMs, LOOK_MS), change.cancel);
    await change.happened;
    cancelTimer();
  }
}

function nextChange(watch: RowWatch, key: string): { happened: Promise<void>; cancel: () => void } {
  let cancel = (): void => {};
  const happened = new Promise<void>((resolve) => {
    const forget = watch.next(key, resolve);
    cancel = () => {
      forget();
      resolve();
    };
  });
  return { happened, cancel };
}
