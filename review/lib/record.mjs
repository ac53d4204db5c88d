/** The record of a run: one line for each event, with the time since the start. */
import { writeFile } from 'node:fs/promises';

/** Collects lines and writes them to a file at the end. */
export class Record {
  #lines = [];

  #startedAt = performance.now();

  #file;

  constructor(file) {
    this.#file = file;
  }

  /** Time since the start, in s. */
  get seconds() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  add(line) {
    this.#lines.push(`${this.seconds.toFixed(3).padStart(8)} s  ${line}`);
  }

  async save() {
    await writeFile(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
