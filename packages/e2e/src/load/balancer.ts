/** The platform's balancer as callers see it: spreads calls over the entries that say they are ready. */
import Wreck from '@hapi/wreck';

const CHECK_EVERY_MS = 250;
const CHECK_TIMEOUT_MS = 500;

/** Round robin over ready entries. */
export class Balancer {
  readonly #urls: string[];

  #ready: string[];

  #next = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor({ urls }: { urls: string[] }) {
    this.#urls = urls;
    this.#ready = urls;
  }

  /** Starts to check; resolves once every entry is ready. */
  async start(): Promise<void> {
    do {
      await this.#check();
    } while (this.#ready.length < this.#urls.length);
    this.#timer = setInterval(() => {
      void this.#check();
    }, CHECK_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Base URL for the next call. */
  pick(): string {
    const choices = this.#ready.length > 0 ? this.#ready : this.#urls;
    this.#next += 1;
    return choices[this.#next % choices.length] ?? '';
  }

  /** Takes an entry out at once, as a balancer does when a connection is refused. */
  exclude(url: string): void {
    this.#ready = this.#ready.filter((ready) => ready !== url);
  }

  async #check(): Promise<void> {
    const answers = await Promise.all(this.#urls.map(isReady));
    this.#ready = this.#urls.filter((_, n) => answers[n]);
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const res = await Wreck.request('GET', `${url}/ready`, { timeout: CHECK_TIMEOUT_MS });
    await Wreck.read(res, {});
    return res.statusCode === 200;
  } catch {
    return false;
  }
}
