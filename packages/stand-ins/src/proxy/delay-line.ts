/** Delays actions without letting one overtake another, also when the delay is changed. */

interface Delayed {
  dueAt: number;
  action: () => void;
}

/** Runs actions in the order they came, each `delayMs` later or more. */
export class DelayLine {
  readonly #line: Delayed[] = [];

  #timer: NodeJS.Timeout | undefined;

  add(delayMs: number, action: () => void): void {
    if (delayMs === 0 && this.#line.length === 0) {
      action();
      return;
    }
    this.#line.push({ dueAt: performance.now() + delayMs, action });
    this.#arm();
  }

  #arm(): void {
    const [first] = this.#line;
    if (first === undefined || this.#timer !== undefined) return;
    const waitMs = Math.max(0, first.dueAt - performance.now());
    this.#timer = setTimeout(() => this.#run(), Math.ceil(waitMs));
  }

  #run(): void {
    this.#timer = undefined;
    while (this.#line[0] !== undefined && this.#line[0].dueAt <= performance.now()) {
      this.#line.shift()!.action();
    }
    this.#arm();
  }
}
