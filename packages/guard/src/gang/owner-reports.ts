/**
 * What the owner is told without being asked: tasks ready, ended, and their lagged usage.
 *
 * The owner is the entry whose order carried the highest term last. Ends are told again until it has written them
 * down (`gang.forget`), as an owner may fail between its answer and its write.
 */
import {
  type AttemptRef,
  type MethodReq,
  type Order,
  type Peer,
  type ProcessContext,
  type TaskEnd,
  type TaskUsage,
} from '@zincspan/core';
import { Alarm } from '../alarm.js';
import type { EntryLinks } from '../entry-link/entry-links.js';
import type { OwnerContact } from './owner-contact.js';

const RETRY_MS = 500;
const RETRY_ACKED_MS = 5000;
const USAGE_EVERY_MS = 2000;
const USAGE_BATCH = 64;

/** What only the owner answers. */
type ReportMethod = 'task.ready' | 'task.ended' | 'task.usage';

interface Report {
  send: (owner: string) => Promise<unknown>;
  dueAt: number;
  /** Told once is enough. */
  once: boolean;
}

/** Reports to the owner until they are acknowledged. */
export class OwnerReports {
  readonly #ctx: ProcessContext;

  readonly #links: EntryLinks;

  readonly #contact: OwnerContact;

  readonly #usages: () => TaskUsage[];

  readonly #reports = new Map<string, Report>();

  #owner: { id: string; term: number } | undefined;

  readonly #alarm: Alarm;

  #usageTimer: NodeJS.Timeout | undefined;

  constructor({
    ctx,
    links,
    contact,
    usages,
  }: {
    ctx: ProcessContext;
    links: EntryLinks;
    contact: OwnerContact;
    usages: () => TaskUsage[];
  }) {
    this.#ctx = ctx;
    this.#links = links;
    this.#contact = contact;
    this.#usages = usages;
    this.#alarm = new Alarm({ clock: ctx.clock, ring: () => this.#sendDue() });
    links.onUp((link) => {
      if (link.process.id === this.#owner?.id) this.#hurry();
    });
  }

  start(): void {
    this.#usageTimer = setInterval(() => {
      void this.#sendUsage();
    }, USAGE_EVERY_MS);
  }

  stop(): void {
    this.#alarm.stop();
    clearInterval(this.#usageTimer);
  }

  /** An admitted order came from this peer. */
  noteOwner(peer: Peer, { term }: Order): void {
    const changed = this.#owner?.id !== peer.process.id || this.#owner.term !== term;
    this.#owner = { id: peer.process.id, term };
    if (changed) this.#hurry();
  }

  ready(ref: AttemptRef): void {
    const { incarnation } = this.#ctx.self;
    this.#add(nameOf('ready', ref), true, (owner) =>
      this.#call(owner, 'task.ready', { ref, incarnation }),
    );
  }

  ended(end: TaskEnd): void {
    this.#reports.delete(nameOf('ready', end.ref));
    this.#add(nameOf('ended', end.ref), false, (owner) => this.#call(owner, 'task.ended', end));
  }

  /** The owner has written the end down. */
  forget(ref: AttemptRef): void {
    this.#reports.delete(nameOf('ready', ref));
    this.#reports.delete(nameOf('ended', ref));
  }

  /** Nothing is left to be told. */
  get idle(): boolean {
    return this.#reports.size === 0;
  }

  #add(name: string, once: boolean, send: Report['send']): void {
    this.#reports.set(name, { send, once, dueAt: 0 });
    this.#sendDue();
  }

  #hurry(): void {
    this.#reports.forEach((report) => Object.assign(report, { dueAt: 0 }));
    this.#sendDue();
  }

  #sendDue(): void {
    const owner = this.#owner?.id;
    if (owner === undefined) return;
    const now = this.#ctx.clock.now();
    this.#reports.forEach((report, name) => {
      if (report.dueAt <= now) void this.#send(owner, name, report);
    });
    this.#arm();
  }

  /** Sets the alarm for the next report that is due. */
  #arm(): void {
    this.#alarm.set(Math.min(...[...this.#reports.values()].map(({ dueAt }) => dueAt)));
  }

  async #send(owner: string, name: string, report: Report): Promise<void> {
    // Due far off while it is under way, so that it isn't sent twice at once.
    Object.assign(report, { dueAt: Infinity });
    const acked = await report.send(owner).then(
      () => true,
      () => false,
    );
    const { clock, metrics } = this.#ctx;
    metrics.count(acked ? 'report.told' : 'report.failed');
    if (acked && report.once) this.#reports.delete(name);
    Object.assign(report, { dueAt: clock.now() + (acked ? RETRY_ACKED_MS : RETRY_MS) });
    this.#arm();
  }

  async #sendUsage(): Promise<void> {
    const usages = this.#usages();
    if (!this.#owner || usages.length === 0) return;
    for (let from = 0; from < usages.length; from += USAGE_BATCH) {
      const batch = usages.slice(from, from + USAGE_BATCH);
      await this.#call(this.#owner.id, 'task.usage', { usages: batch }).catch(() =>
        this.#ctx.metrics.count('report.failed'),
      );
    }
  }

  /** Each answer shows that the owner was there when it was called. */
  async #call<M extends ReportMethod>(owner: string, method: M, req: MethodReq<M>): Promise<void> {
    const sentAt = this.#ctx.clock.now();
    await this.#links.call(owner, method, req);
    this.#contact.noteAnswered(owner, sentAt);
  }
}

function nameOf(what: string, { key, attempt, member }: AttemptRef): string {
  return `${what}#${key}#${attempt}#${member}`;
}
