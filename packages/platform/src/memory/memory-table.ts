/** A table in memory, for tests and benches, with the semantics of the platform's. */
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

/** Table in memory with switchable faults. Several tables may share one store, as clients of one service. */
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
    if (result.outcome !== 'barred') return result;
    throw new ProblemError(
      problem('internal', { detail: 'A new write id was barred.', remedy: 'Report it.' }),
    );
  }
}
