/** Waits for something that another process does, by asking it again and again. */
import { setTimeout as sleep } from 'node:timers/promises';

const PAUSE_MS = 25;

/** The first truthy value of `ask`. Its rejections count as not yet; the last one is told on giving up. */
export async function until<T>(
  what: string,
  ask: () => Promise<T | undefined | false> | T | undefined | false,
  timeoutMs = 30_000,
): Promise<T> {
  const endAt = performance.now() + timeoutMs;
  let last: unknown = 'it never was so';
  while (performance.now() < endAt) {
    try {
      const value = await ask();
      if (value) return value;
    } catch (err) {
      last = err;
    }
    await sleep(PAUSE_MS);
  }
  throw new Error(`Waited ${timeoutMs} ms for ${what}: ${String(last)}`);
}
