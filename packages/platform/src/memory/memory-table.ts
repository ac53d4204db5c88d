/** In-memory table for tests and benchmarks, with the semantics of the platform's table service. */
import { randomUUID } from 'node:crypto';
import {
  ProblemError,
  problem,
  type Row,
  type RowWrite,
  type Table,
  type WriteResult,
} from '@zincspan/core';
import { MemoryFaults } from './memory-faults.js';
import { validateWrites } from '../table/validate-writes.js';
import { RowStore } from '../table/row-store.js';

/** Several tables may share one store, as clients of one service do. Tests inject failures by `faults`. */
export class MemoryTable implements Table {
  readonly faults = new MemoryFaults();

  readonly store: RowStore;

  constructor({ store = new RowStore() }: { store?: RowStore } = {}) {
    this.store = store;
  }

  async get(key: string): Promise<Row> {
    await this.faults.beforeCall();
    return this.store.get(key);
  }

  async scan(prefix: string, options: { after?: string; limit?: number } = {}): Promise<Row[]> {
    await this.faults.beforeCall();
    return this.store.scan(prefix, options);
  }

  async write(writes: RowWrite[]): Promise<WriteResult> {
    validateWrites(writes);
    const result = await this.faults.write(() => this.store.write(randomUUID(), writes));
    if (result.outcome !== 'cancelled') return result;
    throw new ProblemError(
      problem('internal', {
        detail: 'A write with a new id was cancelled.',
        remedy: 'Report this as a bug.',
      }),
    );
  }
}
