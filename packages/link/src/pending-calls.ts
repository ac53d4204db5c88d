/** Calls that wait for their answers, matched by number whatever order these come in. */
import { LinkError, ProblemError, problem } from '@zincspan/core';

interface PendingCall {
  resolve: (body: unknown) => void;
  reject: (err: Error) => void;
  timer: NodeJS.Timeout;
}

/** A bounded set of open calls, each with a timeout. */
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

  /** Opens a call. Throws ProblemError `overloaded` at the bound. */
  register(timeoutMs: number): { id: number; answer: Promise<unknown> } {
    if (this.#calls.size >= this.#bound) throw overloaded(this.#bound);
    this.#lastId += 1;
    const id = this.#lastId;
    const answer = new Promise<unknown>((resolve, reject) => {
      const timer = setTimeout(
        () => this.reject(id, new LinkError('lost', `No answer within ${timeoutMs} ms.`)),
        timeoutMs,
      );
      this.#calls.set(id, { resolve, reject, timer });
    });
    return { id, answer };
  }

  /** False if nobody waits for it any more. */
  resolve(id: number, body: unknown): boolean {
    return this.#settle(id, (call) => call.resolve(body));
  }

  /** False if nobody waits for it any more. */
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
      detail: `${bound} calls wait for answers on this link.`,
      remedy: 'Try again once some are answered.',
      retryAfterMs: 100,
      facts: { bound },
    }),
  );
}
