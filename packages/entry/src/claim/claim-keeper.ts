/** The claims of an owned failure domain: holds their members on guards from the scheduler's word to the release. */
import {
  claimKey,
  type AttemptConclusion,
  type Decision,
  type Member,
  type Reservation,
  type TaskEnd,
} from '@zincspan/core';
import { AttemptRunner, type RowWritten } from '../owner/attempt-runner.js';
import type { PlacedMember } from '../owner/placed-member.js';
import type { Ownership } from '../owner/ownership.js';
import { backoffMs, pause } from '../owner/timers.js';
import { isOver, type ClaimChange } from './claim-change.js';
import type { ClaimRecord } from './claim-store.js';
import { commitClaim } from './commit-claim.js';

/**
 * Holds of one claim that an owner numbers before it would meet those of the next term. A guard never takes the
 * same number twice, and a new owner can't know which ones it has seen.
 */
const HOLDS_PER_TERM = 1000;

interface ClaimEntry {
  key: string;
  record: ClaimRecord;
  hold?: AttemptRunner | undefined;
  /** Number of the next hold. */
  nextHold: number;
  /** Released, but jobs inside still run. */
  releasing: boolean;
}

/** Keeps claims from being asked for to their release. */
export class ClaimKeeper {
  readonly #own: Ownership;

  readonly #isInUse: (claim: string) => boolean;

  readonly #entries = new Map<string, ClaimEntry>();

  /** `isInUse`: whether a job runs inside a claim. */
  constructor(own: Ownership, { isInUse }: { isInUse: (claim: string) => boolean }) {
    this.#own = own;
    this.#isInUse = isInUse;
  }

  get size(): number {
    return this.#entries.size;
  }

  has(key: string): boolean {
    return this.#entries.has(key);
  }

  /** Whether new jobs may go inside a claim. */
  isOpen(key: string): boolean {
    return this.#entries.get(key)?.releasing === false;
  }

  /** Takes in a claim as read from its row. `found`: its reservations on the guards. */
  adopt(record: ClaimRecord, { found = [] }: { found?: Reservation[] } = {}): void {
    const { row } = record;
    const key = claimKey(row.account, row.id);
    if (this.#entries.has(key)) return;
    if (isOver(row)) {
      this.#own.background('claim removal', this.#removeActive(record));
      return;
    }
    const members = wholeGang(found);
    const nextHold =
      members === undefined ? (this.#own.term - 1) * HOLDS_PER_TERM : (found[0]?.ref.attempt ?? 0);
    this.#entries.set(key, { key, record, nextHold, releasing: false });
    const { account, guarantee } = row;
    if (members === undefined) {
      const askedAt = row.submittedAt;
      this.#own.post({ type: 'claim-asked', key, account, guarantee, askedAt });
      return;
    }
    this.#own.post({ type: 'claim-found', key, account, guarantee, members });
    this.hold({ type: 'hold', key, members });
  }

  /** Reserves the members of a claim and keeps them. */
  hold({ key, members }: Extract<Decision, { type: 'hold' }>): void {
    const entry = this.#entries.get(key);
    if (entry === undefined || entry.hold !== undefined || entry.releasing) return;
    const located = this.#own.workers.locate(members);
    if ('missing' in located) {
      this.#own.post({ type: 'claim-unplaced', key, worker: located.missing });
      return;
    }
    const hold = this.#runner(entry, located.placed);
    Object.assign(entry, { hold, nextHold: entry.nextHold + 1 });
    this.#note('claim.reserving', entry);
    hold.begin();
  }

  /** A claim's row was changed by a caller: reads it again. */
  async changed(account: string, id: string): Promise<void> {
    const record = await this.#own.claims.read(account, id);
    if (record === undefined || this.#own.signal.aborted) return;
    if (record.row.failureDomain !== this.#own.failureDomain) return;
    const entry = this.#entries.get(claimKey(account, id));
    if (entry === undefined) {
      this.adopt(record);
      return;
    }
    if (record.version > entry.record.version) entry.record = record;
    if (isOver(entry.record.row)) this.#release(entry);
  }

  /** A job has ended: a claim that waited for it may now be let go. */
  jobEnded(): void {
    this.#entries.forEach((entry) => {
      if (entry.releasing) this.#release(entry);
    });
  }

  /** Takes a guard's word that a held member is gone. */
  memberEnded(end: TaskEnd): boolean {
    const hold = this.#entries.get(end.ref.key)?.hold;
    if (hold?.attempt !== end.ref.attempt) return false;
    hold.memberEnded(end);
    return true;
  }

  /** Refuses a claim for good. */
  async refuse(key: string, reason: string): Promise<void> {
    const entry = this.#entries.get(key);
    if (entry === undefined || !(await this.#commit(entry, { type: 'fail', reason }))) return;
    this.#release(entry);
  }

  /** Keys of all claims known. */
  keys(): string[] {
    return [...this.#entries.keys()];
  }

  /** Gives no more orders. */
  close(): void {
    this.#entries.forEach(({ hold }) => hold?.close());
  }

  #runner(entry: ClaimEntry, members: PlacedMember[]): AttemptRunner {
    const { orders, timers, limits, ctx } = this.#own;
    return new AttemptRunner({
      key: entry.key,
      attempt: entry.nextHold,
      members,
      orders,
      timers,
      clock: ctx.clock,
      limits,
      writeRow: () => this.#writeHeld(entry),
      onConclude: (conclusion) =>
        this.#own.background('claim conclusion', this.#conclude(entry, conclusion)),
    });
  }

  async #writeHeld(entry: ClaimEntry): Promise<RowWritten> {
    const { ctx, post } = this.#own;
    const { row } = entry.record;
    const at = ctx.clock.wall();
    const isNew = row.heldAt === undefined;
    if (row.state !== 'held' && !(await this.#commit(entry, { type: 'held', at }))) {
      return 'cancelled';
    }
    post({ type: 'claim-held', key: entry.key });
    this.#note('claim.held', entry, { afterMs: at - row.submittedAt });
    if (isNew) ctx.metrics.timing('claim.held-after', at - row.submittedAt);
    return 'written';
  }

  /** Nothing is held any more: because it was released, or because a member was lost. */
  async #conclude(entry: ClaimEntry, conclusion: AttemptConclusion): Promise<void> {
    const { hold, key } = entry;
    if (hold === undefined || this.#own.signal.aborted) return;
    await hold.forget();
    Object.assign(entry, { hold: undefined });
    const lost = conclusion.member === undefined ? undefined : hold.members[conclusion.member];
    if (isOver(entry.record.row)) {
      this.#finish(entry);
      return;
    }
    this.#note('claim.lost', entry, { worker: lost?.worker ?? '' });
    const wasHeld = entry.record.row.state === 'held';
    if (wasHeld) await this.#commit(entry, { type: 'unheld' });
    if (this.#own.signal.aborted) return;
    const worker = lost === undefined ? {} : { worker: lost.worker };
    this.#own.post({ type: 'claim-unplaced', key, ...worker });
    if (isOver(entry.record.row)) this.#finish(entry);
  }

  #release(entry: ClaimEntry): void {
    Object.assign(entry, { releasing: true });
    if (this.#isInUse(entry.key)) return;
    if (entry.hold === undefined) this.#finish(entry);
    else entry.hold.cancel();
  }

  #finish(entry: ClaimEntry): void {
    if (!this.#entries.delete(entry.key)) return;
    this.#own.post({ type: 'claim-released', key: entry.key });
    this.#note('claim.released', entry);
    this.#own.watch.changed(entry.key);
    this.#own.background('claim removal', this.#removeActive(entry.record));
  }

  async #removeActive({ row }: ClaimRecord): Promise<void> {
    const { claims, timers, signal } = this.#own;
    for (let tries = 0; !signal.aborted; tries += 1) {
      try {
        await claims.removeActive(row);
        return;
      } catch {
        await pause(timers, backoffMs(tries), signal);
      }
    }
  }

  async #commit(entry: ClaimEntry, change: ClaimChange): Promise<boolean> {
    const { claims, timers, signal, watch } = this.#own;
    const written = await commitClaim({ entry, change, store: claims, timers, signal });
    if (written) watch.changed(entry.key);
    return written;
  }

  #note(type: string, { key }: ClaimEntry, detail: Record<string, string | number> = {}): void {
    const { ctx, failureDomain } = this.#own;
    ctx.metrics.count(type);
    ctx.timeline.record(type, key, { ...detail, job: key, failureDomain });
  }
}

/** Members of a hold that was found on the guards, if none is missing or ending. */
function wholeGang(found: Reservation[]): Member[] | undefined {
  const sameHold = found.every(({ ref }) => ref.attempt === found[0]?.ref.attempt);
  if (!sameHold) return undefined;
  const held = found.filter(({ state }) => state === 'held').map(({ member }) => member);
  const members = [...held].sort((a, b) => a.member - b.member);
  return members.length > 0 && members.every(({ member }, i) => member === i) ? members : undefined;
}
