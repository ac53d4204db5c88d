/** Orders from the owner of a failure domain to its guards, with every way they can fail told apart. */
import {
  LinkError,
  ProblemError,
  type Method,
  type MethodReq,
  type MethodRes,
  type Order,
  type Peer,
  type Problem,
} from '@zincspan/core';

/** The guards of a failure domain as the owner sees them. */
export interface GuardDirectory {
  guardPeer(guard: string): Peer | undefined;
  guardIncarnation(guard: string): string | undefined;
}

/** Answer of an order. `not-sent`: the guard surely never saw it. `lost`: it may have acted on it. */
export type OrderResult<T> =
  | { type: 'done'; res: T }
  | { type: 'refused'; problem: Problem }
  | { type: 'not-sent' }
  | { type: 'lost' };

/** Methods that carry an order. */
export type OrderMethod = Extract<
  Method,
  'gang.reserve' | 'gang.start' | 'gang.stop' | 'gang.throttle' | 'gang.forget' | 'guard.inventory'
>;

/** Options of `GuardOrders`. */
export interface GuardOrdersOptions {
  failureDomain: string;
  term: number;
  directory: GuardDirectory;
  /** A guard knows a higher term: this owner has been replaced. */
  onStaleTerm: (highestTerm: number) => void;
  timeoutMs?: number;
}

/** Gives orders under one term of ownership. */
export class GuardOrders {
  readonly #options: Required<GuardOrdersOptions>;

  /** When a call of each guard was answered last, in monotonic ms: it counts that as contact. */
  readonly #answeredAt = new Map<string, number>();

  constructor({ timeoutMs = 3000, ...options }: GuardOrdersOptions) {
    this.#options = { timeoutMs, ...options };
  }

  /** The guard's incarnation that was linked last, if any ever was. */
  incarnation(guard: string): string | undefined {
    return this.#options.directory.guardIncarnation(guard);
  }

  /** A call of this guard is being answered. */
  noteAnswered(guard: string, now: number): void {
    this.#answeredAt.set(guard, now);
  }

  /** When a call of this guard was answered last, if ever. */
  answeredAt(guard: string): number | undefined {
    return this.#answeredAt.get(guard);
  }

  /** Sends an order to one incarnation of a guard. `extraMs` is added to the time allowed for the answer. */
  async send<M extends OrderMethod>(
    to: { guard: string; incarnation: string },
    method: M,
    req: Omit<MethodReq<M>, 'order'>,
    { extraMs = 0 }: { extraMs?: number } = {},
  ): Promise<OrderResult<MethodRes<M>>> {
    const { directory, timeoutMs } = this.#options;
    const peer = directory.guardPeer(to.guard);
    if (peer === undefined || peer.process.incarnation !== to.incarnation) {
      return { type: 'not-sent' };
    }
    try {
      const full = { ...req, order: this.#order(to.incarnation) } as unknown as MethodReq<M>;
      const res = await peer.call(method, full, { timeoutMs: timeoutMs + extraMs });
      return { type: 'done', res };
    } catch (err) {
      return this.#failure(err);
    }
  }

  #order(incarnation: string): Order {
    const { failureDomain, term } = this.#options;
    return { failureDomain, term, incarnation };
  }

  #failure(err: unknown): Exclude<OrderResult<never>, { type: 'done' }> {
    if (err instanceof LinkError) return { type: err.failure };
    if (!(err instanceof ProblemError)) throw err;
    const highestTerm = termOf(err.problem);
    if (highestTerm > this.#options.term) this.#options.onStaleTerm(highestTerm);
    return { type: 'refused', problem: err.problem };
  }
}

/** The term that a guard refused for. Orders for another life of it are refused with the same kind, and its own term. */
function termOf({ kind, facts }: Problem): number {
  return kind === 'stale-term' ? Number(facts?.highestTerm ?? 0) : 0;
}
