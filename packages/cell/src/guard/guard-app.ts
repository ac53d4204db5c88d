/** The guard: its runner on one side, the cell's owner on the other. */
import {
  ProblemError,
  type CellContact,
  type CellOrders,
  type Handlers,
  type ProcessContext,
} from '@zincspan/core';
import type { RowStore } from '../store/row-store.js';
import { OwnerLink } from './owner-link.js';
import { RunnerKeeper } from './runner-keeper.js';
import type { RunnerPort, RunnerReport } from './runner-port.js';

/**
 * Pause between contacts when there is nothing new, in ms: progress is seen by them, and standing still is noticed after two.
 * Each wakes the guard and the owner, and 160 guards at twice a second were 320 messages each way.
 */
const CONTACT_EVERY_MS = 1000;

/** And while runs are paced here, as what they disturb changes within seconds, or until the owner gives authority. */
const PACED_CONTACT_MS = 500;

/** Contacts within a lease: two may be lost. */
const CONTACTS_PER_LEASE = 4;

/** A contact may take this long, in ms. */
export const CONTACT_TIMEOUT_MS = 1200;

/** An answer that takes longer says that the owner may be gone, in ms: many times what a contact takes under load. */
const CONTACT_LATE_MS = 500;

/** So does an owner that the store hasn't confirmed for this long, in ms: three of its heartbeats. */
const DOUBT_AFTER_MS = 600;

/** What a guard is made of. */
export interface GuardAppOptions {
  ctx: ProcessContext;
  store: RowStore;
  runner: RunnerPort;
  linkKey: string;
  /** Longest lease that the runner keeps, in ms. */
  holdMs: number;
}

/** One guard. */
export class GuardApp {
  readonly #ctx: ProcessContext;

  readonly #keeper: RunnerKeeper;

  readonly #owner: OwnerLink;

  #timer: NodeJS.Timeout | undefined;

  #pauseMs = PACED_CONTACT_MS;

  #inContact = false;

  #again = false;

  #stopped = false;

  constructor({ ctx, store, runner, linkKey, holdMs }: GuardAppOptions) {
    this.#ctx = ctx;
    this.#keeper = new RunnerKeeper({
      ctx,
      port: runner,
      holdMs,
      onNews: () => this.#contactNow(),
    });
    this.#owner = new OwnerLink({
      ctx,
      store,
      linkKey,
      handlers: this.#handlers(),
      onLink: () => this.#contactNow(),
    });
  }

  start(): void {
    this.#owner.start();
    this.#schedule();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#keeper.stop();
    this.#owner.stop();
  }

  /** A heartbeat of the runner beside this guard. */
  noteReport(report: RunnerReport): void {
    this.#keeper.noteReport(report);
  }

  noteLeave(runner: string): void {
    this.#keeper.noteLeave(runner);
  }

  #handlers(): Handlers {
    return {
      'cell.poke': () => {
        this.#contactNow();
        return {};
      },
    };
  }

  #contactNow(): void {
    if (this.#stopped) return;
    if (this.#inContact) {
      this.#again = true;
      return;
    }
    clearTimeout(this.#timer);
    // What comes in the same turn goes in one contact.
    this.#inContact = true;
    setImmediate(() => {
      void this.#contact();
    });
  }

  async #contact(): Promise<void> {
    this.#again = false;
    const { link } = this.#owner;
    if (link === undefined) this.#owner.doubt();
    if (link !== undefined && !this.#stopped) {
      const sentAt = this.#ctx.clock.now();
      const told: CellContact = this.#keeper.contact();
      const late = setTimeout(() => this.#owner.doubt(), CONTACT_LATE_MS);
      try {
        const orders = await link.call('cell.contact', told, { timeoutMs: CONTACT_TIMEOUT_MS });
        if (orders.unconfirmedMs > DOUBT_AFTER_MS) this.#owner.doubt();
        else this.#owner.trust();
        this.#keeper.apply(orders, { sentAt, told });
        this.#pauseMs = pauseAfter(orders);
      } catch (err) {
        this.#noteFailure(err);
      } finally {
        clearTimeout(late);
      }
    }
    this.#inContact = false;
    if (this.#again) this.#contactNow();
    else this.#schedule();
  }

  #noteFailure(err: unknown): void {
    this.#pauseMs = PACED_CONTACT_MS;
    this.#ctx.metrics.count('contact.failed');
    this.#owner.doubt();
    if (err instanceof ProblemError && err.problem.kind === 'not-owner') this.#owner.lookNow();
    else this.#ctx.log.warn({ err: String(err) }, 'a contact with the owner failed');
  }

  #schedule(): void {
    if (this.#stopped) return;
    this.#timer = setTimeout(() => this.#contactNow(), this.#pauseMs);
  }
}

/** Until the next contact, in ms. */
function pauseAfter({ leaseMs, paces }: CellOrders): number {
  if (paces.length > 0 || leaseMs === 0) return PACED_CONTACT_MS;
  return Math.min(CONTACT_EVERY_MS, leaseMs / CONTACTS_PER_LEASE);
}
