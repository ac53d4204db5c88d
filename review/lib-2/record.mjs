/** Record of a run: what was sent, answered and run, one line each, with the time since the start. */
import { createWriteStream } from 'node:fs';
import { once } from 'node:events';

/** Writes `record.txt` of one case. */
export class Record {
  #stream;

  #startedAt = performance.now();

  constructor(file) {
    this.#stream = createWriteStream(file);
  }

  /** Adds a line: who did what, with details. */
  add(who, what, details = {}) {
    const ms = (performance.now() - this.#startedAt).toFixed(0).padStart(6);
    this.#stream.write(`${ms} ms  ${who.padEnd(10)} ${what}  ${JSON.stringify(details)}\n`);
  }

  /** Time since the start, in ms. */
  get elapsedMs() {
    return performance.now() - this.#startedAt;
  }

  async close() {
    this.#stream.end();
    await once(this.#stream, 'close');
  }
}
