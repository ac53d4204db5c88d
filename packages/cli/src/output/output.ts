/** Where a command's results go: text for people, or JSON for programs. */

/** The streams of a run; tests and the demo bring their own. */
export interface Io {
  out(text: string): void;
  err(text: string): void;
}

/** The streams of this process. */
export const PROCESS_IO: Io = {
  out: (text) => process.stdout.write(`${text}\n`),
  err: (text) => process.stderr.write(`${text}\n`),
};

/** What an error tells its reader. */
export interface ErrorReport {
  detail: string;
  remedy: string;
  retryAfterMs?: number | undefined;
}

/** Writes results as the caller asked. */
export class Output {
  readonly #io: Io;

  readonly #json: boolean;

  constructor({ io, json }: { io: Io; json: boolean }) {
    this.#io = io;
    this.#json = json;
  }

  /** A command's result: `value` as one line of JSON, or the text that `render` makes of it. */
  result(value: unknown, render: () => string): void {
    this.#io.out(this.#json ? JSON.stringify(value) : render());
  }

  /** Something to know besides; not part of the JSON. */
  note(text: string): void {
    if (this.#json) this.#io.err(text);
    else this.#io.out(text);
  }

  /** An error with its remedy, and when to come back if that is known. */
  error({ detail, remedy, retryAfterMs, ...more }: ErrorReport): void {
    if (this.#json) {
      this.#io.err(JSON.stringify({ ...more, detail, remedy, retryAfterMs }));
      return;
    }
    const retry = retryAfterMs === undefined ? '' : ` Try again in ${retryAfterMs / 1000} s.`;
    this.#io.err(`zincspan: ${detail}\n${remedy}${retry}`);
  }
}
