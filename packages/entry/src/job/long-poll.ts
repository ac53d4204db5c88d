/** Waiting for a row to reach its end, on behalf of a caller. */
import type { Clock } from '@zincspan/core';
import { backoffMs, type Timers } from '../owner/timers.js';
import type { RowWatch } from './row-watch.js';

/** The row is looked at this soon, and ever less often, in case the word of its change was lost. */
const LOOKS = { firstMs: 250, mostMs: 5000 };

/** What to wait for. */
export interface LongPollOptions<T> {
  key: string;
  timeoutMs: number;
  read: () => Promise<T>;
  isDone: (value: T) => boolean;
  watch: RowWatch;
  /** Resolves true once the owner, another entry, says that the row has changed. */
  whenChanged: (value: T, timeoutMs: number) => Promise<boolean>;
  timers: Timers;
  clock: Clock;
}

/** Reads until the value is done or the time is over, and answers the value read last. */
export async function longPoll<T>(options: LongPollOptions<T>): Promise<T> {
  const { key, timeoutMs, read, isDone, watch, whenChanged, timers, clock } = options;
  const until = clock.now() + timeoutMs;
  for (let looks = 0; ; looks += 1) {
    // Listening starts before the reading, so that a change in between isn't missed.
    const change = nextChange(watch, key);
    const value = await endOnError(read(), change.cancel);
    const leftMs = until - clock.now();
    if (isDone(value) || leftMs <= 0) {
      change.cancel();
      return value;
    }
    const waitMs = Math.min(leftMs, backoffMs(looks, LOOKS));
    const cancelTimer = timers.after(waitMs, change.cancel);
    void whenChanged(value, Math.ceil(waitMs)).then((changed) => {
      if (changed) change.cancel();
    });
    await change.happened;
    cancelTimer();
  }
}

interface Change {
  happened: Promise<void>;
  /** Ends the waiting. */
  cancel: () => void;
}

function nextChange(watch: RowWatch, key: string): Change {
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

async function endOnError<T>(work: Promise<T>, end: () => void): Promise<T> {
  try {
    return await work;
  } catch (err) {
    end();
    throw err;
  }
}
