/**
 * Gains, renews and hands over the lease row of one failure domain. The lease is for liveness only: a holder that
 * was paused and doesn't know that it was replaced is refused by the guards, by its term.
 */
import {
  ownerKey,
  ownerRowSchema,
  toProblem,
  type OwnerRow,
  type ProcessContext,
  type Row,
  type Table,
} from '@zincspan/core';
import { SystemTimers, type Timers } from './timers.js';

/** What a lease keeper is made from. Times in ms. */
export interface LeaseKeeperOptions {
  failureDomain: string;
  ctx: ProcessContext;
  table: Table;
  /** `IP:port` of this entry's links, told to others in the row. */
  address: string;
  /** Place of this entry in the failure domain's order of preference; 0 comes first. */
  rank: () => number;
  leaseMs?: number;
  renewMs?: number;
  timers?: Timers;
  onGained: (term: number) => void;
  onLost: () => void;
  /** The row names another holder or term. */
  onSeen?: (row: OwnerRow) => void;
  /** The table answers again after it was down. */
  onStoreBack?: () => void;
}

/** Ranks from here on look at the row no less often than this one. */
const SLOWEST_RANK = 9;

/** Watches one lease row, or holds it. */
export class LeaseKeeper {
  readonly failureDomain: string;

  readonly #options: Required<LeaseKeeperOptions>;

  #row: OwnerRow | undefined;

  #version = -1;

  /** When the row was first seen as it stands, on this entry's monotonic clock. */
  #unchangedSince = 0;

  #term: number | undefined;

  /** Highest term that this entry knows of: a table that lost its rows lags behind what guards have seen. */
  #highestTerm = 0;

  #storeDown = false;

  #stopped = false;

  #cancelTimer: (() => void) | undefined;

  #step: Promise<void> = Promise.resolve();

  constructor({ leaseMs = 1500, renewMs = 500, ...options }: LeaseKeeperOptions) {
    this.failureDomain = options.failureDomain;
    this.#options = {
      timers: new SystemTimers(),
      onSeen: () => {},
      onStoreBack: () => {},
      leaseMs,
      renewMs,
      ...options,
    };
  }

  /** Term of the lease while this entry holds it. */
  get term(): number | undefined {
    return this.#term;
  }

  /** The row as it was seen last. */
  get row(): OwnerRow | undefined {
    return this.#row;
  }

  /** Whether the table didn't answer the last time. */
  get isStoreDown(): boolean {
    return this.#storeDown;
  }

  start(): void {
    this.#plan(0);
  }

  /** Looks at the row, and takes or renews the lease if it is due. */
  async step(): Promise<void> {
    this.#step = this.#step.then(() => this.#oneStep());
    await this.#step;
  }

  /** A guard refused this entry's term: somebody else holds the lease, whatever the table says. */
  staleTerm(highestTerm: number): void {
    this.#highestTerm = Math.max(this.#highestTerm, highestTerm);
    this.#lose('stale-term');
  }

  /** Stops looking at the row, and gives the lease up if it is held. */
  async release(): Promise<void> {
    this.#stopped = true;
    this.#cancelTimer?.();
    await this.#step;
    const row = this.#row;
    if (this.#term === undefined || row === undefined) return;
    const { holder, ...rest } = row;
    this.#lose('handed-over');
    try {
      await this.#write(this.#version, { ...rest, renewals: row.renewals + 1 });
    } catch {
      // The next owner takes the lease once it has seen the row unchanged for long enough.
      this.#options.ctx.metrics.count('lease.release-failed');
    }
  }

  /** Stops looking at the row; a lease that is held is left to lapse. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
  }

  #plan(ms: number): void {
    if (this.#stopped) return;
    this.#cancelTimer = this.#options.timers.after(ms, () => {
      void this.#tick();
    });
  }

  async #tick(): Promise<void> {
    await this.step();
    const slower = this.#term === undefined ? Math.min(this.#options.rank(), SLOWEST_RANK) : 0;
    this.#plan(this.#options.renewMs * (1 + slower));
  }

  async #oneStep(): Promise<void> {
    if (this.#stopped) return;
    try {
      if (this.#term === undefined) await this.#look();
      else await this.#renew();
      this.#storeAnswered();
    } catch (err) {
      this.#noteFailure(err);
    }
  }

  #noteFailure(err: unknown): void {
    const { metrics, log } = this.#options.ctx;
    if (toProblem(err).kind === 'store-unavailable') {
      // Nobody can take the lease while the table is down, so its holder goes on.
      this.#storeDown = true;
      metrics.count('lease.store-unavailable');
      return;
    }
    metrics.count('lease.internal-error');
    log.error({ failureDomain: this.failureDomain, err }, 'looking after a lease failed');
  }

  #storeAnswered(): void {
    if (!this.#storeDown) return;
    this.#storeDown = false;
    this.#options.onStoreBack();
  }

  async #look(): Promise<void> {
    this.#see(await this.#options.table.get(ownerKey(this.failureDomain)));
    const mine = this.#isMine(this.#row) ? this.#row : undefined;
    if (mine !== undefined && mine.term >= this.#highestTerm) this.#gain(mine.term);
    else if (this.#isFree()) await this.#take();
  }

  /** Free: never held, handed over, held by an earlier life of this entry, or unchanged for the whole lease. */
  #isFree(): boolean {
    const { ctx, leaseMs, renewMs, rank } = this.#options;
    const holder = this.#row?.holder;
    if (holder?.id === ctx.self.id) return true;
    // Later ranks leave the earlier ones time to go first.
    const turnMs = rank() * renewMs;
    const waitMs = holder === undefined ? turnMs : (this.#row?.leaseMs ?? leaseMs) + turnMs;
    return ctx.clock.now() - this.#unchangedSince >= waitMs;
  }

  async #take(): Promise<void> {
    const { ctx, address, leaseMs } = this.#options;
    const row: OwnerRow = {
      failureDomain: this.failureDomain,
      holder: { id: ctx.self.id, incarnation: ctx.self.incarnation, address },
      term: this.#highestTerm + 1,
      leaseMs,
      renewals: 0,
    };
    if (await this.#write(this.#version, row)) this.#gain(row.term);
  }

  async #renew(): Promise<void> {
    const row = this.#row;
    if (row === undefined) return;
    const written = await this.#write(this.#version, { ...row, renewals: row.renewals + 1 });
    // The write may have met its own first try, whose answer was lost.
    if (!written && !this.#isMine(this.#row)) this.#lose('conflict');
  }

  /** Writes the row; after a conflict the row as it stands has been seen. */
  async #write(ifVersion: number, row: OwnerRow): Promise<boolean> {
    const key = ownerKey(this.failureDomain);
    const result = await this.#options.table.write([{ key, ifVersion, value: row }]);
    if (result.outcome === 'written') {
      this.#see({ key, version: result.versions[0] ?? 0, value: row });
      return true;
    }
    this.#see(result.rows.find((each) => each.key === key) ?? (await this.#options.table.get(key)));
    return false;
  }

  #see({ version, value }: Row): void {
    if (version === this.#version) return;
    const before = this.#row;
    this.#version = version;
    // A row that can't be read counts as free: its version still guards against others.
    this.#row = ownerRowSchema.safeParse(value).data;
    this.#unchangedSince = this.#options.ctx.clock.now();
    if (this.#row === undefined) return;
    this.#highestTerm = Math.max(this.#highestTerm, this.#row.term);
    const isNews = before?.term !== this.#row.term || before.holder?.id !== this.#row.holder?.id;
    if (isNews) this.#options.onSeen(this.#row);
  }

  #isMine(row: OwnerRow | undefined): row is OwnerRow {
    return row?.holder?.incarnation === this.#options.ctx.self.incarnation;
  }

  #gain(term: number): void {
    this.#term = term;
    this.#note('lease.gained', term);
    this.#options.onGained(term);
  }

  #lose(why: string): void {
    if (this.#term === undefined) return;
    const term = this.#term;
    this.#term = undefined;
    this.#note('lease.lost', term, { why });
    this.#options.onLost();
  }

  #note(type: string, term: number, detail: Record<string, string> = {}): void {
    const { metrics, timeline, log } = this.#options.ctx;
    metrics.count(type);
    timeline.record(type, this.failureDomain, { term, ...detail });
    log.info({ failureDomain: this.failureDomain, term, ...detail }, type);
  }
}
