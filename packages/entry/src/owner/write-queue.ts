/**
 * Bounded writing to the table. Independent writes that wait share a transaction, so that a wave of
 * cancellations costs the table a fraction of its writes.
 */
import { type Metrics, type RowWrite, type Table, type WriteResult } from '@zincspan/core';

interface Waiting {
  writes: RowWrite[];
  resolve: (result: WriteResult) => void;
  reject: (err: unknown) => void;
}

/** Options of a write queue. */
export interface WriteQueueOptions {
  table: Table;
  metrics: Metrics;
  /** Transactions under way at once. */
  concurrency?: number;
  /** Rows in one transaction. */
  rowsPerTransaction?: number;
}

/** Writes in order of arrival, a few transactions at a time. */
export class WriteQueue {
  readonly #table: Table;

  readonly #metrics: Metrics;

  readonly #concurrency: number;

  readonly #rowsPerTransaction: number;

  #waiting: Waiting[] = [];

  #inFlight = 0;

  constructor({ table, metrics, concurrency = 4, rowsPerTransaction = 24 }: WriteQueueOptions) {
    this.#table = table;
    this.#metrics = metrics;
    this.#concurrency = concurrency;
    this.#rowsPerTransaction = rowsPerTransaction;
  }

  /** As `Table.write`. Writes that wait behind others may travel in one transaction with them. */
  write(writes: RowWrite[]): Promise<WriteResult> {
    return new Promise((resolve, reject) => {
      this.#waiting.push({ writes, resolve, reject });
      this.#next();
    });
  }

  #next(): void {
    if (this.#inFlight >= this.#concurrency || this.#waiting.length === 0) return;
    const batch = this.#takeBatch();
    this.#inFlight += 1;
    void this.#send(batch).finally(() => {
      this.#inFlight -= 1;
      this.#next();
    });
  }

  /** As many of the oldest as fit one transaction; two writes of one row never share one. */
  #takeBatch(): Waiting[] {
    const keys = new Set<string>();
    let rows = 0;
    const end = this.#waiting.findIndex(({ writes }) => {
      rows += writes.length;
      if (rows > this.#rowsPerTransaction || writes.some(({ key }) => keys.has(key))) return true;
      writes.forEach(({ key }) => keys.add(key));
      return false;
    });
    const count = end === -1 ? this.#waiting.length : Math.max(1, end);
    return this.#waiting.splice(0, count);
  }

  async #send(batch: Waiting[]): Promise<void> {
    this.#metrics.count('table.transactions');
    this.#metrics.count('table.rows', batch.flatMap(({ writes }) => writes).length);
    try {
      const result = await this.#table.write(batch.flatMap(({ writes }) => writes));
      if (result.outcome === 'written') deliver(batch, result.versions);
      else if (batch.length === 1) batch[0]?.resolve(result);
      else await this.#sendSingly(batch);
    } catch (err) {
      batch.forEach(({ reject }) => reject(err));
    }
  }

  /** One conflict fails the whole transaction, so each is tried by itself. */
  async #sendSingly(batch: Waiting[]): Promise<void> {
    this.#metrics.count('table.batch-conflicts');
    await Promise.all(batch.map((waiting) => this.#send([waiting])));
  }
}

function deliver(batch: Waiting[], versions: number[]): void {
  let from = 0;
  batch.forEach(({ writes, resolve }) => {
    resolve({ outcome: 'written', versions: versions.slice(from, from + writes.length) });
    from += writes.length;
  });
}
