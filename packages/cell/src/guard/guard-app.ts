/** The guard of a VM: reports its runner's state to the cell's owner and carries out the owner's orders. */
import {
  ProblemError,
  type CellContact,
  type CellOrders,
  type Handlers,
  type ProcessContext,
} from '@zincspan/core';
import type { RowStore } from '../store/row-store.js';
import { OwnerLink } from './owner-link.js';
import { RunnerSupervisor } from './runner-supervisor.js';
import type { RunnerApi, RunnerHeartbeat } from './runner-api.js';

/**
 * Interval between contacts (reports to the owner, answered with orders) when nothing has changed, in ms. They carry progress,
 * and a stalled run is detected after two of them. Each contact wakes the guard and the owner: 160 guards at twice a second were
 * 320 messages each way.
 */
const CONTACT_INTERVAL_MS = 1000;

/** Interval while runs are paced here, as interference between runs changes within seconds, or until the owner grants a lease. */
const SHORT_CONTACT_INTERVAL_MS = 500;

/** Contacts per lease, so that two of them may be lost. */
const CONTACTS_PER_LEASE = 4;

/** Timeout of a contact, in ms. */
export const CONTACT_TIMEOUT_MS = 1200;

/** An owner that takes longer to answer may have failed, in ms: many times what a contact takes under load. */
const SLOW_CONTACT_MS = 500;

/** An owner that the store hasn't confirmed for this long may have been replaced, in ms: three of its heartbeats. */
const MAX_UNCONFIRMED_MS = 600;

/** Dependencies and settings of a guard. */
export interface GuardAppOptions {
  ctx: ProcessContext;
  store: RowStore;
  runner: RunnerApi;
  linkKey: string;
  /** Longest lease that the runner honours, in ms. */
  maxLeaseMs: number;
}

/** Connects one runner to the owner of its cell. */
export class GuardApp {
  readonly #ctx: ProcessContext;

  readonly #supervisor: RunnerSupervisor;

  readonly #owner: OwnerLink;

  #timer: NodeJS.Timeout | undefined;

  #contactIntervalMs = SHORT_CONTACT_INTERVAL_MS;

  #inContact = false;

  #contactAgain = false;

  #stopped = false;

  constructor({ ctx, store, runner, linkKey, maxLeaseMs }: GuardAppOptions) {
    this.#ctx = ctx;
    this.#supervisor = new RunnerSupervisor({
      ctx,
      runner,
      maxLeaseMs,
      onChange: () => this.#requestContact(),
    });
    this.#owner = new OwnerLink({
      ctx,
      store,
      linkKey,
      handlers: this.#handlers(),
      status: () => ({ workerSpeed: this.#supervisor.heldSpeed() }),
      onLinkUp: () => this.#requestContact(),
    });
  }

  start(): void {
    this.#owner.start();
    this.#scheduleContact();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#supervisor.stop();
    this.#owner.stop();
  }

  /** Handles a heartbeat of the runner on this VM. */
  noteHeartbeat(heartbeat: RunnerHeartbeat): void {
    this.#supervisor.noteHeartbeat(heartbeat);
  }

  noteDeregistered(runner: string): void {
    this.#supervisor.noteDeregistered(runner);
  }

  #handlers(): Handlers {
    return {
      'cell.poke': () => {
        this.#requestContact();
        return {};
      },
    };
  }

  #requestContact(): void {
    if (this.#stopped) return;
    if (this.#inContact) {
      this.#contactAgain = true;
      return;
    }
    clearTimeout(this.#timer);
    // Changes in the same turn of the event loop go into one contact.
    this.#inContact = true;
    setImmediate(() => {
      void this.#makeContact();
    });
  }

  async #makeContact(): Promise<void> {
    this.#contactAgain = false;
    const { link } = this.#owner;
    if (link === undefined) this.#owner.markSuspect();
    if (link !== undefined && !this.#stopped) {
      const sentAt = this.#ctx.clock.now();
      const sent: CellContact = this.#supervisor.contact();
      const slowTimer = setTimeout(() => this.#owner.markSuspect(), SLOW_CONTACT_MS);
      try {
        const orders = await link.call('cell.contact', sent, { timeoutMs: CONTACT_TIMEOUT_MS });
        if (orders.unconfirmedMs > MAX_UNCONFIRMED_MS) this.#owner.markSuspect();
        else this.#owner.markConfirmed();
        this.#supervisor.apply(orders, { sentAt, sent });
        this.#contactIntervalMs = nextContactIntervalMs(orders, sent);
      } catch (err) {
        this.#noteFailure(err);
      } finally {
        clearTimeout(slowTimer);
      }
    }
    this.#inContact = false;
    if (this.#contactAgain) this.#requestContact();
    else this.#scheduleContact();
  }

  #noteFailure(err: unknown): void {
    this.#contactIntervalMs = SHORT_CONTACT_INTERVAL_MS;
    this.#ctx.metrics.count('contact.failed');
    this.#owner.markSuspect();
    if (err instanceof ProblemError && err.problem.kind === 'not-owner') this.#owner.refreshNow();
    else this.#ctx.log.warn({ err: String(err) }, 'contact with the owner failed');
  }

  #scheduleContact(): void {
    if (this.#stopped) return;
    this.#timer = setTimeout(() => this.#requestContact(), this.#contactIntervalMs);
  }
}

/** Time until the next contact, in ms. Without a runner there is nothing to wait for: its first listing is reported at once. */
function nextContactIntervalMs({ leaseMs, paces }: CellOrders, sent: CellContact): number {
  if (sent.runner === undefined) return CONTACT_INTERVAL_MS;
  if (paces.length > 0 || leaseMs === 0) return SHORT_CONTACT_INTERVAL_MS;
  return Math.min(CONTACT_INTERVAL_MS, leaseMs / CONTACTS_PER_LEASE);
}
