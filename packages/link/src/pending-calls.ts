/** Outstanding calls; responses are matched by call id and may arrive in any order. */
import { LinkError, ProblemError, problem } from '@zincspan/core';

interface PendingCall {
  resolve: (body: unknown) => void;
  reject: (err: Error) => void;
  timer: NodeJS.Timeout;
}

/** A bounded set of outstanding calls, each with a timeout. */
export class PendingCalls {
  readonly #bound: number;

  readonly #calls = new Map<number, PendingCall>();

  #lastId = 0;

  constructor({ bound }: { bound: number }) {
    this.#bound = bound;
  }

  get size(): number {
    return this.#calls.size;
  }

  /** Registers a call. Throws ProblemError `overloaded` when the bound is reached. */
  register(timeoutMs: number): { id: number; response: Promise<unknown> } {
    if (this.#calls.size >= this.#bound) throw overloaded(this.#bound);
    this.#lastId += 1;
    const id = this.#lastId;
    const response = new Promise<unknown>((resolve, reject) => {
      const timer = setTimeout(
        () => this.reject(id, new LinkError('lost', `No response within ${timeoutMs} ms.`)),
        timeoutMs,
      );
      this.#calls.set(id, { resolve, reject, timer });
    });
    return { id, response };
  }

  /** Returns false if the call is no longer outstanding. */
  resolve(id: number, body: unknown): boolean {
    return this.#settle(id, (call) => call.resolve(body));
  }

  /** Returns false if the call is no longer outstanding. */
  reject(id: number, err: Error): boolean {
    return this.#settle(id, (call) => call.reject(err));
  }

  rejectAll(makeError: () => Error): void {
    [...this.#calls.keys()].forEach((id) => this.reject(id, makeError()));
  }

  #settle(id: number, settle: (call: PendingCall) => void): boolean {
    const call = this.#calls.get(id);
    if (!call) return false;
    this.#calls.delete(id);
    clearTimeout(call.timer);
    settle(call);
    return true;
  }
}

function overloaded(bound: number): ProblemError {
  return new ProblemError(
    problem('overloaded', {
      detail: `${bound} calls on this link are waiting for a response.`,
      remedy: 'Try again when some of them have completed.',
      retryAfterMs: 100,
      facts: { bound },
    }),
  );
}
