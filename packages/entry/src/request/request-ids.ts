/** Ids of requests: unique over all entries and never used again. */

/** Gives `<entry incarnation>-<sequence>`. An incarnation is used by one life of one entry only. */
export class RequestIds {
  readonly #incarnation: string;

  #sequence = 0;

  constructor({ incarnation }: { incarnation: string }) {
    this.#incarnation = incarnation;
  }

  /** The next id. */
  next(): string {
    this.#sequence += 1;
    return `${this.#incarnation}-${this.#sequence}`;
  }
}
