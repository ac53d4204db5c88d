/** What was sent, answered and run in a trial, as lines of `record.txt`. */
import { createWriteStream } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Milliseconds of the process's steady clock. */
export function nowMs() {
  return performance.now();
}

/** Writes one line for each event, with the time since the trial began. */
export class Record {
  #stream;

  #startedAt = nowMs();

  constructor(file) {
    this.#stream = createWriteStream(file);
  }

  /** Adds a line. */
  note(what, fields = {}) {
    const seconds = ((nowMs() - this.#startedAt) / 1000).toFixed(3).padStart(8);
    this.#stream.write(`${seconds} ${what} ${JSON.stringify(fields)}\n`);
  }

  /** Resolves once all lines are in the file. */
  async close() {
    await new Promise((resolve) => {
      this.#stream.end(resolve);
    });
  }
}
