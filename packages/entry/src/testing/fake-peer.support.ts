/** A peer under the test's control: calls are answered by hand or by a function per method. */
import {
  LinkError,
  type Method,
  type MethodReq,
  type MethodRes,
  type Peer,
  type ProcessId,
} from '@zincspan/core';

/** A call that the peer got. */
export interface FakeCall {
  method: Method;
  req: unknown;
  resolve: (res: unknown) => void;
  reject: (err: Error) => void;
}

export class FakePeer implements Peer {
  readonly process: ProcessId;

  readonly calls: FakeCall[] = [];

  /** Answers a method at once; others wait for `FakeCall.resolve`. */
  readonly answers = new Map<Method, (req: unknown) => unknown>();

  closed = false;

  /** The link is live, but nothing more fits into it. */
  refusesToSend = false;

  #arrivals: (() => void)[] = [];

  constructor({
    id,
    incarnation = `${id}-life-1`,
    role = 'guard' as const,
  }: {
    id: string;
    incarnation?: string;
    role?: ProcessId['role'];
  }) {
    this.process = { id, role, incarnation, failureDomain: 'hall' };
  }

  call<M extends Method>(method: M, req: MethodReq<M>): Promise<MethodRes<M>> {
    if (this.closed) return Promise.reject(new LinkError('not-sent', 'The link is closed.'));
    if (this.refusesToSend) return Promise.reject(new LinkError('not-sent', 'The buffer is full.'));
    const answer = this.answers.get(method);
    const answered = new Promise((resolve, reject) => {
      this.calls.push({ method, req, resolve, reject });
      if (answer === undefined) return;
      Promise.resolve()
        .then(() => answer(req))
        .then(resolve, reject);
    });
    this.#arrivals.splice(0).forEach((wake) => wake());
    return answered as Promise<MethodRes<M>>;
  }

  /** The first call of a method, awaited. */
  async nextCall(method: Method, at = 0): Promise<FakeCall> {
    for (;;) {
      const call = this.calls.filter((made) => made.method === method)[at];
      if (call !== undefined) return call;
      await new Promise<void>((resolve) => {
        this.#arrivals.push(resolve);
      });
    }
  }

  count(method: Method): number {
    return this.calls.filter((made) => made.method === method).length;
  }

  /** The link breaks: calls in flight are lost, later ones are not sent. */
  lose(): void {
    this.closed = true;
    this.calls.forEach(({ reject }) => reject(new LinkError('lost', 'The link broke.')));
  }
}
