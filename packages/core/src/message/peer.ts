/** The link as its users see it. The implementation over WebSockets lives in @zincspan/link. */
import type { ProcessId } from '../vm/vm.js';
import type { Method, MethodReq, MethodRes } from './message.js';

/** How a call failed at the link: whether the peer may have acted on it. */
export type LinkFailure = 'not-sent' | 'lost';

/** Thrown by `call` when the link, not the peer, failed. `not-sent`: the peer surely never saw it. */
export class LinkError extends Error {
  readonly failure: LinkFailure;

  constructor(failure: LinkFailure, detail: string) {
    super(`${detail} The link is redialled by itself; settle the call by its id once it is back.`);
    this.name = 'LinkError';
    this.failure = failure;
  }
}

/** One live link to one incarnation of a peer. After `closed`, calls reject with `not-sent`. */
export interface Peer {
  readonly process: ProcessId;
  readonly closed: boolean;
  /** Latest status from the peer's heartbeats. Peers of other versions may send other fields. */
  readonly status?: Record<string, unknown>;
  /** Rejects with ProblemError (the peer refused) or LinkError (the link failed or timed out). */
  call<M extends Method>(
    method: M,
    req: MethodReq<M>,
    options?: { timeoutMs?: number },
  ): Promise<MethodRes<M>>;
}

/** Answers calls of one method. A thrown ProblemError travels back as its problem. */
export type Handler<M extends Method> = (
  req: MethodReq<M>,
  peer: Peer,
) => Promise<MethodRes<M>> | MethodRes<M>;

/** A group of named, typed handlers, as each domain's `app` registers them. */
export type Handlers = { [M in Method]?: Handler<M> };
