/** What the stand-ins' steps share: calls by HTTP, and closing whatever a scenario started. */
import { After, Before } from '@cucumber/cucumber';
import Wreck from '@hapi/wreck';

/** World of the scenarios tagged @stand-in. */
export interface StandInWorld {
  /** Closed after the scenario, last first. */
  closers: (() => unknown)[];
}

/** Bound on one call, in ms; only calls that are never answered reach it. */
const TIMEOUT_MS = 5000;

Before({ tags: '@stand-in' }, function (this: StandInWorld) {
  this.closers = [];
});

After({ tags: '@stand-in' }, async function (this: StandInWorld) {
  for (const close of this.closers.reverse()) await close();
});

/** Has something closed after the scenario. */
export function closeAfter(world: StandInWorld, close: () => unknown): void {
  world.closers.push(close);
}

/** An answer, its body parsed as JSON. */
export interface JsonAnswer<T> {
  status: number;
  body: T;
}

/** Makes a call. Rejects if no whole answer comes. */
export async function call<T = unknown>(
  method: string,
  url: string,
  payload?: object,
  headers: Record<string, string> = {},
): Promise<JsonAnswer<T>> {
  const res = await Wreck.request(method, url, {
    headers,
    timeout: TIMEOUT_MS,
    ...(payload === undefined ? {} : { payload }),
  });
  const text = (await Wreck.read(res, { timeout: TIMEOUT_MS })).toString('utf8');
  return { status: res.statusCode ?? 0, body: (text === '' ? undefined : JSON.parse(text)) as T };
}
