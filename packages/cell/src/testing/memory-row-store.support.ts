/** In-memory row store for one process of a test, with injectable faults of the real one. */
import { RowTables } from '@zincspan/stand-ins';
import type {
  FeedResult,
  ReadResult,
  RowStore,
  TransactResult,
  Transaction,
} from '../store/row-store.js';
import { sleep } from '../clock/sleep.js';

/** Fault of this process's calls. `silent`: no answer; `lost`: writes are committed but not answered. */
export type StoreFault = 'none' | 'silent' | 'refuse' | 'lost';

const DEFAULT_ANSWER_MS = 2;

/** A frozen feed fails after this time. */
const FROZEN_FEED_MS = 500;

/** Resolves when the last transaction that was queued for these tables may be executed. */
const lastTurns = new WeakMap<RowTables, Promise<void>>();

/** One process's access to the tables that all processes share. */
export class MemoryRowStore implements RowStore {
  fault: StoreFault = 'none';

  /** Feeds freeze, then fail, while other calls are answered. */
  feedStandsStill = false;

  /** Latency of a call, in ms. */
  answerMs = DEFAULT_ANSWER_MS;

  /** If above 0, transactions of all processes are executed one after another, each taking this time, in ms. */
  turnMs = 0;

  /** Reads of ranges that start at this key fail while other calls are answered. */
  unreadableRangeStart: string | undefined;

  /** Calls so far, by kind and table. */
  readonly calls: { kind: 'read' | 'feed' | 'transact'; table: string }[] = [];

  /** Called after each committed transaction, before it is answered. */
  onDone: (tx: Transaction) => void = () => undefined;

  readonly #tables: RowTables;

  constructor(tables: RowTables) {
    this.#tables = tables;
  }

  async transact(tx: Transaction, { timeoutMs }: { timeoutMs: number }): Promise<TransactResult> {
    this.calls.push({ kind: 'transact', table: tx.set[0]?.table ?? '' });
    if (this.fault === 'refuse') return { outcome: 'refused', detail: 'injected refusal' };
    if (this.fault === 'silent') {
      return delayed(timeoutMs, { outcome: 'unknown', detail: 'silent' });
    }
    await sleep(this.answerMs);
    if (this.turnMs > 0) await this.#awaitTurn();
    const result = this.#tables.transact({ ...tx, remove: tx.remove ?? [] });
    if (result.outcome === 'done') this.onDone(tx);
    if (this.fault === 'lost') return delayed(timeoutMs, { outcome: 'unknown', detail: 'lost' });
    return result;
  }

  async #awaitTurn(): Promise<void> {
    const turn = (lastTurns.get(this.#tables) ?? Promise.resolve()).then(() => sleep(this.turnMs));
    lastTurns.set(this.#tables, turn);
    await turn;
  }

  async read(
    range: { table: string; part: string; from?: string; to?: string },
    { timeoutMs }: { timeoutMs: number },
  ): Promise<ReadResult> {
    this.calls.push({ kind: 'read', table: range.table });
    if (this.fault === 'silent') return delayed(timeoutMs, { outcome: 'failed', detail: 'silent' });
    if (this.fault === 'refuse') return { outcome: 'failed', detail: 'injected refusal' };
    if (range.from === this.unreadableRangeStart && range.from !== undefined) {
      return { outcome: 'failed', detail: 'injected read failure' };
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
    if (this.fault === 'silent') return delayed(timeoutMs, { outcome: 'failed', detail: 'silent' });
    if (this.fault === 'refuse') return { outcome: 'failed', detail: 'injected refusal' };
    if (this.feedStandsStill) {
      return delayed(FROZEN_FEED_MS, { outcome: 'failed', detail: 'frozen' });
    }
    await this.#tables.changed(table, after, waitMs);
    const rows = this.#tables.changes(table, after);
    if (rows === undefined) return { outcome: 'forgotten' };
    return { outcome: 'changes', rows, version: this.#tables.version };
  }
}

async function delayed<T>(timeoutMs: number, result: T): Promise<T> {
  await sleep(timeoutMs);
  return result;
}
