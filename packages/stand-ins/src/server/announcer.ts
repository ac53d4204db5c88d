/** Announces an upstream to its guard, as upstreams do: again and again, and withdraws on leaving. */
import type { Upstream } from '@zincspan/core';
import Wreck from '@hapi/wreck';

/** Pause between announcements, in ms. */
const REPEAT_MS = 500;

/** Bound on one announcement, in ms. */
const TIMEOUT_MS = 1000;

/** Repeats `POST /v1/upstream` until withdrawn; a guard that is away is tried again. */
export class Announcer {
  readonly #url: string;

  readonly #upstream: Upstream;

  #timer: NodeJS.Timeout | undefined;

  #ended = false;

  constructor({ guard, upstream }: { guard: string; upstream: Upstream }) {
    this.#url = `http://${guard}/v1/upstream`;
    this.#upstream = upstream;
  }

  /** Announces now and twice a second. Resolves after the first try. */
  async start(): Promise<void> {
    await this.#send('POST', this.#upstream);
    if (this.#ended) return;
    this.#timer = setTimeout(() => {
      void this.start();
    }, REPEAT_MS);
  }

  /** Stops announcing without telling the guard, as a crash does. */
  fallSilent(): void {
    this.#ended = true;
    clearTimeout(this.#timer);
  }

  /** Stops announcing and tells the guard, once. */
  async withdraw(): Promise<void> {
    if (this.#ended) return;
    this.fallSilent();
    await this.#send('DELETE');
  }

  async #send(method: string, payload?: Upstream): Promise<void> {
    try {
      const options = { timeout: TIMEOUT_MS, ...(payload === undefined ? {} : { payload }) };
      const res = await Wreck.request(method, this.#url, options);
      await Wreck.read(res, { timeout: TIMEOUT_MS });
    } catch {
      // The guard is away; the next repeat finds it, or its replacement at the same address.
    }
  }
}
