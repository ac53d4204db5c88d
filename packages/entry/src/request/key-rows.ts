/** Reads and changes key rows, never past the request's life. */
import { ProblemError, toProblem, type Problem, type Table } from '@zincspan/core';
import { keyRowSchema, type KeyRow } from './key-row.js';
import { LIFE_OVER, type RequestLife } from './request-life.js';
import { lifeOver } from './verdict.js';

/** A row as read; without `row` it doesn't exist. */
export interface ReadKeyRow {
  version: number;
  row: KeyRow | undefined;
}

/** Thrown when another try with the same key has changed the row meanwhile. */
export class KeyRowChanged extends Error {}

const RETRY_AFTER_MS = 1000;

/** The key rows in the table. Without the table it can't be told whether an earlier try ran: all say `unknown`. */
export class KeyRows {
  readonly #table: Table;

  constructor({ table }: { table: Table }) {
    this.#table = table;
  }

  async read(key: string, life: RequestLife): Promise<ReadKeyRow> {
    const { version, value } = await within(this.#table.get(key), life);
    return {
      version,
      row: version === 0 ? undefined : keyRowSchema.parse(value),
    };
  }

  /** Writes the row over `version`; answers the new version, or throws KeyRowChanged. */
  async write(key: string, version: number, row: KeyRow, life: RequestLife): Promise<number> {
    const write = { key, ifVersion: version, value: row };
    const result = await within(this.#table.write([write]), life);
    if (result.outcome === 'conflict') throw new KeyRowChanged();
    return result.versions[0] ?? 0;
  }

  /** Writes an end down after the answer was given; a failure only costs a later repeat a question to the guard. */
  async writeLater(key: string, version: number, row: KeyRow): Promise<boolean> {
    try {
      const result = await this.#table.write([{ key, ifVersion: version, value: row }]);
      return result.outcome === 'written';
    } catch {
      return false;
    }
  }
}

async function within<T>(promise: Promise<T>, life: RequestLife): Promise<T> {
  try {
    const result = await life.within(promise);
    if (result !== LIFE_OVER) return result;
  } catch (err) {
    throw new ProblemError(unavailable(toProblem(err)));
  }
  throw new ProblemError(lifeOver(life.over, 'unknown'));
}

function unavailable(cause: Problem): Problem {
  if (cause.kind !== 'store-unavailable') return { ...cause, ran: 'unknown' };
  return {
    ...cause,
    ran: 'unknown',
    remedy:
      'Repeat the request with the same Idempotency-Key after the time given; an earlier try may have run.',
    retryAfterMs: cause.retryAfterMs ?? RETRY_AFTER_MS,
  };
}
