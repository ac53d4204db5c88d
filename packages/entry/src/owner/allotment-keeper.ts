/**
 * Keeps the accelerators of each account's quota that this failure domain may use: rows, grown as jobs ask for more
 * and shrunk once they no longer do. While the table is out of reach it keeps what it has.
 */
import {
  allotmentKey,
  allotmentRowSchema,
  planAllotment,
  planTotal,
  spareKey,
  spareRowSchema,
  toProblem,
  type AllotmentRow,
  type Bundle,
  type QuotaDemand,
  type Row,
  type RowWrite,
  type SpareRow,
  type Table,
  type Versioned,
} from '@zincspan/core';
import type { Ownership } from './ownership.js';

/** Quotas from here on bound nothing: it is the default of the bundle. */
const UNBOUNDED = 1_000_000;

/** Time between two looks at the demand, in ms. */
const LOOK_MS = 1000;

/** Less must have been asked for during this time before the rest is given back, in ms. */
const SHRINK_AFTER_MS = 60_000;

/** Time until an account that got too little tries again: doubles from the first to the last, in ms. */
const RETRY_MS = { first: 1000, last: 30_000 };

/** Part of what is asked for that is taken beyond it, so that a few more jobs need no write. */
const SLACK = 0.25;

const NOTHING: QuotaDemand = { inUse: 0, queued: 0, smallest: 0 };

/** An account's allotment as it is known here. */
interface Held {
  total: number;
  /** What may be used. */
  accelerators: number;
  /** False until the row was read, and while it may say something else or the account's rows owe some. */
  isSettled: boolean;
  /** Since when less is asked for. */
  lessSince: number | undefined;
  tries: number;
  nextAt: number;
}

/** What an allotment keeper is made from. */
export interface AllotmentKeeperOptions {
  own: Ownership;
  table: Table;
  demand: (account: string) => QuotaDemand | undefined;
}

/** Allotments of one owned failure domain. */
export class AllotmentKeeper {
  readonly #options: AllotmentKeeperOptions;

  readonly #held = new Map<string, Held>();

  #started = false;

  #looking = false;

  #cancelTimer: (() => void) | undefined;

  constructor(options: AllotmentKeeperOptions) {
    this.#options = options;
  }

  /** Takes the quotas of a bundle; nothing may be used of one before its row was read. */
  bundleChanged({ accounts }: Bundle): void {
    const { own } = this.#options;
    accounts.forEach(({ name, quota: { accelerators: total } }) => {
      const known = this.#held.get(name);
      if (total >= UNBOUNDED) {
        if (known !== undefined) this.#allow(name, total);
        this.#held.delete(name);
      } else if (known === undefined) {
        const unread = { accelerators: 0, isSettled: false, tries: 0, nextAt: 0 };
        this.#held.set(name, { total, lessSince: undefined, ...unread });
        own.post({ type: 'allotment', account: name, accelerators: 0 });
      } else if (known.total !== total) {
        Object.assign(known, { total, isSettled: false, nextAt: 0, tries: 0 });
      }
    });
    this.wake();
  }

  start(): void {
    this.#started = true;
    this.#plan(0);
  }

  /** More may be asked for now. */
  wake(): void {
    if (this.#started && !this.#looking) this.#plan(0);
  }

  stop(): void {
    this.#started = false;
    this.#cancelTimer?.();
  }

  #plan(ms: number): void {
    this.#cancelTimer?.();
    const { own } = this.#options;
    this.#cancelTimer = own.timers.after(ms, () => own.background('allotments', this.#look()));
  }

  async #look(): Promise<void> {
    this.#looking = true;
    try {
      for (const [account, held] of this.#due()) await this.#settle(account, held);
    } catch (err) {
      if (toProblem(err).kind !== 'store-unavailable') throw err;
      this.#options.own.ctx.metrics.count('allotment.store-failed');
    } finally {
      this.#looking = false;
      if (this.#started) this.#plan(LOOK_MS);
    }
  }

  /** Accounts whose rows are to be read, those that ask for something first. */
  #due(): [string, Held][] {
    return [...this.#held]
      .filter(([account, held]) => this.#isDue(account, held))
      .sort(([a], [b]) => this.#wanted(b) - this.#wanted(a));
  }

  /** Whether the row is to be read: more is asked for than is held, or less has been for long enough. */
  #isDue(account: string, held: Held): boolean {
    const now = this.#now;
    const wanted = this.#wanted(account);
    const { accelerators, isSettled } = held;
    if (wanted >= accelerators) Object.assign(held, { lessSince: undefined });
    else Object.assign(held, { lessSince: held.lessSince ?? now });
    if (!isSettled || wanted > accelerators) return now >= held.nextAt;
    return held.lessSince !== undefined && now - held.lessSince >= SHRINK_AFTER_MS;
  }

  async #settle(account: string, held: Held): Promise<void> {
    Object.assign(held, { isSettled: false });
    const rows = await this.#read(account, held.total);
    if (rows === undefined || this.#options.own.signal.aborted) return;
    const { spare, allotment } = rows;
    const before = allotment?.value.accelerators ?? 0;
    const target = this.#target(account, before, spare.value.spare);
    if (target < before) this.#allow(account, target);
    const { inUse = 0 } = this.#options.demand(account) ?? {};
    const writes = planAllotment({
      ...this.#named(account),
      wanted: target,
      inUse,
      spare,
      allotment,
    });
    // Until a write is known to have been made only what was there before may be used.
    const written = writes === undefined || (await this.#write(writes));
    const now = written ? (acceleratorsIn(writes) ?? before) : Math.min(before, target);
    const owes = spare.value.spare - (now - before) < 0;
    Object.assign(held, { lessSince: undefined, isSettled: written && !owes });
    this.#allow(account, now);
    this.#pace(held, !held.isSettled || now < this.#wanted(account));
  }

  /** What this failure domain should have, by what is spare: nothing more where not even one job could start. */
  #target(account: string, before: number, spare: number): number {
    const { inUse, queued, smallest } = this.#options.demand(account) ?? NOTHING;
    const wanted = inUse + queued;
    if (wanted < before) return wanted;
    const most = Math.max(0, before + spare);
    if (queued > 0 && most < inUse + smallest) return Math.min(before, inUse);
    return Math.min(most, wanted + Math.ceil(wanted * SLACK));
  }

  #pace(held: Held, isShort: boolean): void {
    const tries = isShort ? held.tries + 1 : 0;
    const waitMs = Math.min(RETRY_MS.last, RETRY_MS.first * 2 ** Math.min(tries, 10));
    Object.assign(held, { tries, nextAt: this.#now + waitMs });
  }

  /** Both rows as they stand, the spare one brought to the quota; undefined if another owner was quicker. */
  async #read(account: string, total: number): Promise<Rows | undefined> {
    const { table, own } = this.#options;
    const spare = toSpare(await table.get(spareKey(account)));
    const writes = planTotal({ account, total, spare });
    if (writes !== undefined) {
      await this.#write(writes);
      return undefined;
    }
    if (spare === undefined) return undefined;
    const row = await table.get(allotmentKey(account, own.failureDomain));
    const { data } = allotmentRowSchema.safeParse(row.value);
    return { spare, allotment: data && { version: row.version, value: data } };
  }

  async #write(writes: RowWrite[]): Promise<boolean> {
    const { table, own } = this.#options;
    const { outcome } = await table.write(writes);
    own.ctx.metrics.count(outcome === 'written' ? 'allotment.written' : 'allotment.conflict');
    return outcome === 'written';
  }

  #allow(account: string, accelerators: number): void {
    const held = this.#held.get(account);
    if (held?.accelerators === accelerators) return;
    if (held !== undefined) Object.assign(held, { accelerators });
    this.#options.own.post({ type: 'allotment', account, accelerators });
  }

  #wanted(account: string): number {
    const { inUse, queued } = this.#options.demand(account) ?? NOTHING;
    return inUse + queued;
  }

  #named(account: string): { account: string; failureDomain: string } {
    return { account, failureDomain: this.#options.own.failureDomain };
  }

  get #now(): number {
    return this.#options.own.ctx.clock.now();
  }
}

interface Rows {
  spare: Versioned<SpareRow>;
  allotment: Versioned<AllotmentRow> | undefined;
}

function toSpare({ value, version }: Row): Versioned<SpareRow> | undefined {
  const { data } = spareRowSchema.safeParse(value);
  return data && { version, value: data };
}

/** Accelerators of the allotment among writes. */
function acceleratorsIn(writes: RowWrite[] | undefined): number | undefined {
  const [data] = (writes ?? []).flatMap(
    ({ value }) => allotmentRowSchema.safeParse(value).data ?? [],
  );
  return data?.accelerators;
}
