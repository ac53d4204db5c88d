/** Upstreams that announced themselves to an entry without a guard. They are listed for operators, and get no work. */
import type { Clock, Upstream } from '@zincspan/core';

/** Silence past this time drops an upstream from the list, in ms. */
const TTL_MS = 30_000;

const MAX_LISTED = 5000;

interface Listed {
  upstream: Upstream;
  expiresAt: number;
}

/** A list with expiry. */
export class UnguardedUpstreams {
  readonly #clock: Clock;

  readonly #listed = new Map<string, Listed>();

  constructor({ clock }: { clock: Clock }) {
    this.#clock = clock;
  }

  /** Lists an upstream, or keeps it listed. True if it is new. */
  announce(upstream: Upstream): boolean {
    const isNew = !this.#listed.has(upstream.id);
    if (isNew && this.#listed.size >= MAX_LISTED) return false;
    this.#listed.set(upstream.id, { upstream, expiresAt: this.#clock.now() + TTL_MS });
    return isNew;
  }

  /** Takes an upstream off the list. */
  withdraw(id: string): void {
    this.#listed.delete(id);
  }

  /** Drops upstreams that were silent for too long. */
  expire(): void {
    const now = this.#clock.now();
    [...this.#listed]
      .filter(([, { expiresAt }]) => expiresAt <= now)
      .forEach(([id]) => this.#listed.delete(id));
  }

  /** Ids of all that are listed. */
  ids(): string[] {
    return [...this.#listed.keys()];
  }
}
