/** The latest link to each guard, and which incarnations of a guard are in the past. */
import type { Peer } from '@zincspan/core';

/** Incarnations remembered per guard, so that a late message of an old one is told from a new one. */
const REMEMBERED_INCARNATIONS = 16;

/** Links to guards by guard id. A link's handshake proves that its incarnation was alive just then. */
export class GuardLinks {
  readonly #peers = new Map<string, Peer>();

  readonly #past = new Map<string, string[]>();

  readonly #waiting = new Map<string, Set<(peer?: Peer) => void>>();

  /** Takes a new link. False if an incarnation that a later one has replaced is at its other end. */
  add(peer: Peer): boolean {
    const { id, incarnation } = peer.process;
    if (this.isPast(id, incarnation)) return false;
    const before = this.#peers.get(id);
    if (before !== undefined && before.process.incarnation !== incarnation) {
      this.#retire(id, before.process.incarnation);
    }
    this.#peers.set(id, peer);
    this.#wake(id, peer);
    return true;
  }

  /** The live link to a guard. */
  peer(guard: string): Peer | undefined {
    const peer = this.#peers.get(guard);
    return peer === undefined || peer.closed ? undefined : peer;
  }

  /** The newest incarnation of a guard that was ever linked. */
  incarnation(guard: string): string | undefined {
    return this.#peers.get(guard)?.process.incarnation;
  }

  /** True for an incarnation that a later one has replaced. */
  isPast(guard: string, incarnation: string): boolean {
    return this.#past.get(guard)?.includes(incarnation) ?? false;
  }

  /** The guard's live link, awaited until `signal` aborts; undefined then. */
  whenLinked(guard: string, signal: AbortSignal): Promise<Peer | undefined> {
    const peer = this.peer(guard);
    if (peer !== undefined || signal.aborted) return Promise.resolve(peer);
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(guard) ?? new Set();
      this.#waiting.set(guard, waiting);
      const wait = {
        done: (linked?: Peer): void => {
          waiting.delete(wait.done);
          if (waiting.size === 0) this.#waiting.delete(guard);
          signal.removeEventListener('abort', wait.abort);
          resolve(linked);
        },
        abort: (): void => wait.done(),
      };
      waiting.add(wait.done);
      signal.addEventListener('abort', wait.abort);
    });
  }

  /** Ends all waits for a link to a guard that has left. */
  giveUp(guard: string): void {
    [...(this.#waiting.get(guard) ?? [])].forEach((done) => done());
  }

  /** Forgets guards without a live link that `isNeeded` doesn't ask for. */
  prune(isNeeded: (guard: string) => boolean): void {
    [...this.#peers]
      .filter(([guard, peer]) => peer.closed && !isNeeded(guard))
      .forEach(([guard]) => {
        this.#peers.delete(guard);
        this.#past.delete(guard);
      });
  }

  #retire(guard: string, incarnation: string): void {
    const past = [...(this.#past.get(guard) ?? []), incarnation];
    this.#past.set(guard, past.slice(-REMEMBERED_INCARNATIONS));
  }

  #wake(guard: string, peer: Peer): void {
    [...(this.#waiting.get(guard) ?? [])].forEach((done) => done(peer));
  }
}
