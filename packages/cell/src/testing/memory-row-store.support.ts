/** A row store in memory for one process of a test, with the faults of the real one. */
import { RowTables } from '@zincspan/stand-ins';
import type {
  FeedResult,
  ReadResult,
  RowStore,
  TransactResult,
  Transaction,
} from '../store/row-store.js';
import { sleep } from '../clock/sleep.js';

/** What this process's calls meet. `lost`: writes are done and not answered. */
export type StoreFault = 'none' | 'silent' | 'refuse' | 'lost';

const ANSWER_MS = 2;

/** A feed that stands still fails after this long, in ms. */
const FROZEN_FEED_MS = 500;

/** When the last transaction that takes its turn on these tables is done. */
const turns = new WeakMap<RowTables, Promise<void>>();

/** One process's way to the tables that all share. */
export class MemoryRowStore implements RowStore {
  fault: StoreFault = 'none';

  /** Feeds fail although everything else is answered. */
  feedStandsStill = false;

  /** Time of a call, in ms. */
  answerMs = ANSWER_MS;

  /** Transactions of all processes are done one after another, each in this time, in ms; 0: at once. */
  turnMs = 0;

  /** Reads of ranges that begin with this key fail although everything else is answered. */
  unreadableFrom: string | undefined;

  /** Calls so far: what they were, and on which table. */
  readonly calls: { kind: 'read' | 'feed' | 'transact'; table: string }[] = [];

  /** Told of each transaction that was done, before its answer. */
  onDone: (tx: Transaction) => void = () => undefined;

  readonly #tables: RowTables;

  constructor(tables: RowTables) {
    this.#tables = tables;
  }

  async transact(tx: Transaction, { timeoutMs }: { timeoutMs: number }): Promise<TransactResult> {
    this.calls.push({ kind: 'transact', table: tx.set[0]?.table ?? '' });
    if (this.fault === 'refuse') return { outcome: 'refused', detail: 'told to refuse' };
    if (this.fault === 'silent') {
      return silence(timeoutMs, { outcome: 'unknown', detail: 'silent' });
    }
    await sleep(this.answerMs);
    if (this.turnMs > 0) await this.#takeTurn();
    const result = this.#tables.transact({ ...tx, remove: tx.remove ?? [] });
    if (result.outcome === 'done') this.onDone(tx);
    if (this.fault === 'lost') return silence(timeoutMs, { outcome: 'unknown', detail: 'lost' });
    return result;
  }

  async #takeTurn(): Promise<void> {
    const turn = (turns.get(this.#tables) ?? Promise.resolve()).then(() => sleep(this.turnMs));
    turns.set(this.#tables, turn);
    await turn;
  }

  async read(
    range: { table: string; part: string; from?: string; to?: string },
    { timeoutMs }: { timeoutMs: number },
  ): Promise<ReadResult> {
    this.calls.push({ kind: 'read', table: range.table });
    if (this.fault === 'silent') return silence(timeoutMs, { outcome: 'failed', detail: 'silent' });
    if (this.fault === 'refuse') return { outcome: 'failed', detail: 'told to refuse' };
    if (range.from === this.unreadableFrom && range.from !== undefined) {
      return { outcome: 'failed', detail: 'told not to answer' };
    }
    await sleep(this.answerMs);
    const { version } = this.#tables;
    return { outcome: 'read', ...this.#tables.read(range), version };
  }

  async feed(
    { table, after, waitMs }: { table: string; after: number; waitMs: number },
    { timeoutMs }: { timeoutMs: number },
  ): Promise<FeedResult> {
    this.calls.push({ kind: 'feed', table });
    if (this.fault === 'silent') return silence(timeoutMs, { outcome: 'failed', detail: 'silent' });
    if (this.fault === 'refuse') return { outcome: 'failed', detail: 'told to refuse' };
    if (this.feedStandsStill) {
      return silence(FROZEN_FEED_MS, { outcome: 'failed', detail: 'frozen' });
    }
    await this.#tables.changed(table, after, waitMs);
    const rows = this.#tables.changes(table, after);
    if (rows === undefined) return { outcome: 'forgotten' };
    return { outcome: 'changes', rows, version: this.#tables.version };
  }
}

async function silence<T>(timeoutMs: number, result: T): Promise<T> {
  await sleep(timeoutMs);
  return result;
}
