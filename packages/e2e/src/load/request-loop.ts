/** A closed loop of requests, a few at a time, until stopped. */
import type { SentRequest } from '../audit/request-log.js';

/** How to send. */
export interface RequestLoopOptions {
  send: (name: string, kind: string) => Promise<SentRequest>;
  /** Requests in progress at once. */
  width?: number;
}

/** Sends the next request as soon as one is answered. */
export class RequestLoop {
  readonly #options: Required<RequestLoopOptions>;

  #answered = 0;

  #sent = 0;

  #stopped = false;

  #lanes: Promise<void>[] = [];

  #waiting: { at: number; resolve: () => void }[] = [];

  constructor(options: RequestLoopOptions) {
    this.#options = { width: 6, ...options };
  }

  start(): void {
    this.#lanes = Array.from({ length: this.#options.width }, () => this.#run());
  }

  /** Resolves once `count` more requests than now were sent and answered or cut. */
  async whenAnswered(count: number): Promise<void> {
    // Those in progress now were sent before.
    const at = this.#answered + this.#options.width + count;
    await new Promise<void>((resolve) => {
      this.#waiting.push({ at, resolve });
    });
  }

  /** Resolves once the last answer is there. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#lanes);
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      this.#sent += 1;
      await this.#options.send(`loop-${this.#sent}`, this.#sent % 2 === 0 ? 'match' : 'booking');
      this.#answered += 1;
      const due = this.#waiting.filter(({ at }) => at <= this.#answered);
      this.#waiting = this.#waiting.filter((one) => !due.includes(one));
      due.forEach(({ resolve }) => resolve());
    }
  }
}
