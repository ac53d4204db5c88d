/** Shares the turns of the event loop among the connections of a server that have more to parse. */

/** Connections that go on in one turn, so that other callers are served in between. */
const MAX_PER_TURN = 8;

/** First in, first out. */
export class TurnQueue {
  #waiting: (() => void)[] = [];

  /** Calls `goOn` in a later turn of the event loop. */
  add(goOn: () => void): void {
    this.#waiting.push(goOn);
    if (this.#waiting.length === 1) setImmediate(() => this.#run());
  }

  #run(): void {
    const turn = this.#waiting.slice(0, MAX_PER_TURN);
    this.#waiting = this.#waiting.slice(MAX_PER_TURN);
    if (this.#waiting.length > 0) setImmediate(() => this.#run());
    turn.forEach((goOn) => goOn());
  }
}
