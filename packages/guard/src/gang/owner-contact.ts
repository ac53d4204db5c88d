/**
 * Whether this guard is in contact with the owner of its failure domain, and so may let started tasks go on.
 *
 * Contact is an answer of the owner to a call of ours, and counts from the time of the call: however long either
 * way took, or this process was paused, the owner can't have given the guard up before that. Without it the other
 * entries tell whether the owner is gone (the tasks go on, for the next one to find) or we are cut off from it (it
 * gives our tasks up, so they must stop).
 */
import type { Clock, Metrics, Method, MethodReq, MethodRes, Order, Peer } from '@zincspan/core';
import { ProblemError } from '@zincspan/core';

/** What is needed of the links to entries. */
export interface OwnerContactLinks {
  /** Ids of the entries that are linked now. */
  linked(): string[];
  /** Rejects with ProblemError or LinkError. */
  call<M extends Method>(
    id: string,
    method: M,
    req: MethodReq<M>,
    timeoutMs: number,
  ): Promise<MethodRes<M>>;
}

/** What it needs. Times in ms. */
export interface OwnerContactOptions {
  clock: Clock;
  metrics: Metrics;
  links: OwnerContactLinks;
  /** How long an answer counts. */
  ownerSilenceMs: number;
  /** Longest wait for an answer. */
  askMs: number;
}

interface Owner {
  id: string;
  incarnation: string;
  failureDomain: string;
  term: number;
}

/** Contact with the entry whose admitted order carried the highest term last. */
export class OwnerContact {
  readonly #options: OwnerContactOptions;

  #owner: Owner | undefined;

  /** When the last call that the owner answered was made. */
  #contactAt = Number.NEGATIVE_INFINITY;

  /** When the owner was found to be gone. */
  #goneAt = Number.NEGATIVE_INFINITY;

  #checking: Promise<boolean> | undefined;

  constructor(options: OwnerContactOptions) {
    this.#options = options;
  }

  /** An admitted order came from this peer. */
  noteOwner({ process }: Peer, { failureDomain, term }: Order): void {
    const { id, incarnation } = process;
    const known = this.#owner;
    if (known?.term === term && known.incarnation === incarnation) return;
    this.#owner = { id, incarnation, failureDomain, term };
    this.#goneAt = Number.NEGATIVE_INFINITY;
  }

  /** An entry has answered, as the owner, a call made at `sentAt`. */
  noteAnswered(id: string, sentAt: number): void {
    if (id === this.#owner?.id) this.#contactAt = Math.max(this.#contactAt, sentAt);
  }

  /** Whether started tasks may go on. Asks if that isn't known. */
  async mayGoOn(): Promise<boolean> {
    if (this.#isKnown()) return true;
    this.#checking ??= this.#check().finally(() => {
      this.#checking = undefined;
    });
    return this.#checking;
  }

  #isKnown(): boolean {
    const { clock, ownerSilenceMs } = this.#options;
    const now = clock.now();
    if (now - this.#contactAt <= ownerSilenceMs) return true;
    // Asked again often: the owner may be back, or have a successor.
    return now - this.#goneAt <= ownerSilenceMs / 4;
  }

  async #check(): Promise<boolean> {
    const owner = this.#owner;
    // No task is started without an order.
    if (owner === undefined) return false;
    const said = await this.#askOwner(owner);
    if (said === 'owner') return true;
    const isGone = owner === this.#owner && (await this.#isGone(owner, said));
    // Meanwhile another owner may have come.
    if (owner !== this.#owner) return this.#check();
    if (isGone) this.#goneAt = this.#options.clock.now();
    this.#options.metrics.count(isGone ? 'owner-contact.gone' : 'owner-contact.cut-off');
    return isGone;
  }

  async #askOwner({ id }: Owner): Promise<'owner' | 'not-owner' | 'silent'> {
    const { clock, links, askMs } = this.#options;
    const sentAt = clock.now();
    try {
      await links.call(id, 'task.usage', { usages: [] }, askMs);
      this.noteAnswered(id, sentAt);
      // An answer that took too long vouches for nothing.
      return this.#isKnown() ? 'owner' : 'silent';
    } catch (err) {
      const isNotOwner = err instanceof ProblemError && err.problem.kind === 'not-owner';
      return isNotOwner ? 'not-owner' : 'silent';
    }
  }

  /** False too if no other entry answers: then we are cut off from them all. */
  async #isGone(owner: Owner, said: 'not-owner' | 'silent'): Promise<boolean> {
    const { id, incarnation, failureDomain, term } = owner;
    const holder = said === 'silent' ? { holder: { id, incarnation } } : {};
    // One that gave the failure domain up may know its successor.
    const able = this.#options.links.linked().filter((each) => each !== id || said === 'not-owner');
    const asked = able.map((each) => this.#isReachable(each, { failureDomain, term, ...holder }));
    const answers = (await Promise.all(asked)).filter((each) => each !== undefined);
    return answers.length > 0 && !answers.includes(true);
  }

  async #isReachable(id: string, req: MethodReq<'owner.reachable'>): Promise<boolean | undefined> {
    const { links, askMs } = this.#options;
    try {
      return (await links.call(id, 'owner.reachable', req, askMs)).reachable;
    } catch {
      return undefined;
    }
  }
}
