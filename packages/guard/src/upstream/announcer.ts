/** Tells all entries of the upstream: on every change and new link at once, and again well within the ttl. */
import type { Announcement, GuardSettings, ProcessContext, Upstream } from '@zincspan/core';
import type { Link } from '@zincspan/link';
import type { EntryLinks } from '../entry-link/entry-links.js';

/** Repeats per ttl, so that two may get lost. */
const REPEATS_PER_TTL = 3;
const CALL_MS = 1000;

type State = Announcement['state'];

/** Announces one upstream at a time. */
export class Announcer {
  readonly #ctx: ProcessContext;

  readonly #settings: GuardSettings;

  readonly #links: EntryLinks;

  #upstream: Upstream | undefined;

  #state: State = 'withdrawn';

  #sequence = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor({
    ctx,
    settings,
    links,
  }: {
    ctx: ProcessContext;
    settings: GuardSettings;
    links: EntryLinks;
  }) {
    this.#ctx = ctx;
    this.#settings = settings;
    this.#links = links;
    links.onUp((link) => {
      void this.#tell(link);
    });
  }

  get state(): State {
    return this.#state;
  }

  start(): void {
    const everyMs = this.#settings.announceTtlMs / REPEATS_PER_TTL;
    this.#timer = setInterval(() => {
      void this.#tellAll();
    }, everyMs);
  }

  /** A change: told at once. Resolves when every linked entry has answered or failed to. */
  async announce(upstream: Upstream | undefined, state: State): Promise<void> {
    const same = upstream === undefined || upstream === this.#upstream;
    if (same && state === this.#state) return;
    this.#upstream = upstream ?? this.#upstream;
    this.#state = state;
    this.#sequence += 1;
    if (this.#upstream) this.#ctx.timeline.record(`announced.${state}`, this.#upstream.id);
    await this.#tellAll();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #tellAll(): Promise<void> {
    await Promise.all(this.#links.links().map((link) => this.#tell(link)));
  }

  async #tell(link: Link): Promise<void> {
    if (!this.#upstream) return;
    const { self, metrics } = this.#ctx;
    try {
      await link.call(
        'upstream.announce',
        {
          upstream: this.#upstream,
          failureDomain: self.failureDomain,
          guard: self.id,
          incarnation: self.incarnation,
          sequence: this.#sequence,
          state: this.#state,
          ttlMs: this.#settings.announceTtlMs,
        },
        { timeoutMs: CALL_MS },
      );
      metrics.count('announce.told');
    } catch {
      // The next repeat, or the next link, tells it again.
      metrics.count('announce.failed');
    }
  }
}
