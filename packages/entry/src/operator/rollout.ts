/** Rollout: moves the row of the bundle in force forward, by compare-and-set. */
import {
  BUNDLE_HEAD_KEY,
  ProblemError,
  bundleHeadRowSchema,
  bundleHistoryKey,
  checkSignatures,
  checkValue,
  problem,
  signersOf,
  toProblem,
  type BundleHead,
  type BundleHeadRow,
  type Clock,
  type Operator,
  type Table,
} from '@zincspan/core';

/** How a rollout that wasn't refused ended. `already`: this very head was rolled out before. */
export interface RolloutResult {
  outcome: 'rolled-out' | 'already';
  row: BundleHeadRow;
}

/** What a rollout is made with. */
export interface RolloutOptions {
  table: Table;
  operators: readonly Operator[];
  clock: Clock;
  /** Version in force here. It leads the table's only if the table lost rows; the next rollout mends that. */
  inForce: () => number;
}

interface HeadInTable {
  rowVersion: number;
  row: BundleHeadRow | undefined;
}

/** Rolls heads out; safe to repeat with the same head. */
export class Rollout {
  readonly #options: RolloutOptions;

  constructor(options: RolloutOptions) {
    this.#options = options;
  }

  /** Throws ProblemError: `not-allowed` (signatures), `conflict` (another was first), `store-unavailable`. */
  async roll(head: BundleHead, by: string): Promise<RolloutResult> {
    const unsigned = checkSignatures(head, this.#options.operators);
    if (unsigned) throw new ProblemError(unsigned);
    const found = await this.#read();
    if (isSame(found.row, head)) return { outcome: 'already', row: found.row };
    this.#refuseUnlessNext(head, found.row);
    const row = { head, by, at: this.#options.clock.wall() };
    return this.#write(row, found);
  }

  async #write(row: BundleHeadRow, found: HeadInTable): Promise<RolloutResult> {
    const writes = [
      { key: BUNDLE_HEAD_KEY, ifVersion: found.rowVersion, value: row },
      { key: bundleHistoryKey(row.head.version), ifVersion: 0, value: row },
    ];
    try {
      const { outcome } = await this.#options.table.write(writes);
      if (outcome === 'written') return { outcome: 'rolled-out', row };
    } catch (err) {
      return this.#settle(row, found, err);
    }
    const now = await this.#read();
    if (isSame(now.row, row.head)) return { outcome: 'already', row: now.row };
    throw this.#lost(row.head, now.row);
  }

  /** The write may have taken effect although its answer was lost: the row tells. */
  async #settle(row: BundleHeadRow, before: HeadInTable, err: unknown): Promise<RolloutResult> {
    const cause = toProblem(err);
    if (cause.ran === 'not-run') throw err;
    const now = await this.#read().catch(() => {
      throw outcomeUnknown(row.head);
    });
    if (isSame(now.row, row.head)) return { outcome: 'rolled-out', row: now.row };
    if (now.rowVersion !== before.rowVersion) throw this.#lost(row.head, now.row);
    // Unchanged, but a slow write may still arrive.
    throw outcomeUnknown(row.head);
  }

  async #read(): Promise<HeadInTable> {
    const { version, value } = await this.#options.table.get(BUNDLE_HEAD_KEY);
    if (value === null) return { rowVersion: version, row: undefined };
    const row = checkValue(value, bundleHeadRowSchema, { source: BUNDLE_HEAD_KEY });
    return { rowVersion: version, row };
  }

  #refuseUnlessNext(head: BundleHead, row: BundleHeadRow | undefined): void {
    const inForce = Math.max(row?.head.version ?? 0, this.#options.inForce());
    if (head.version === inForce + 1 && head.parent === inForce) return;
    throw this.#lost(head, row);
  }

  #lost(head: BundleHead, row: BundleHeadRow | undefined): ProblemError {
    if (!row) return proposedOnNothing(head);
    const signers = signersOf(row.head, this.#options.operators).join(' and ');
    return new ProblemError(
      problem('conflict', {
        detail:
          `Version ${row.head.version} is in force: ${row.by} rolled it out at ${new Date(row.at).toISOString()}, ` +
          `signed by ${signers}. Yours is version ${head.version} on top of ${head.parent}; it was not rolled out.`,
        remedy: `Look at "zincspan bundle diff FILE --against ${row.head.version}", merge what they changed into your file, then propose and sign it again.`,
        facts: { version: row.head.version, by: row.by, signers, proposed: head.version },
      }),
    );
  }
}

function isSame(row: BundleHeadRow | undefined, head: BundleHead): row is BundleHeadRow {
  return row?.head.version === head.version && row.head.digest === head.digest;
}

function proposedOnNothing(head: BundleHead): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `No bundle was rolled out yet, but yours is version ${head.version} on top of ${head.parent}.`,
      remedy: 'Check that the entries use the right table, then propose the file again.',
      facts: { version: 0, proposed: head.version },
    }),
  );
}

function outcomeUnknown(head: BundleHead): ProblemError {
  return new ProblemError(
    problem('store-unavailable', {
      detail: `Whether version ${head.version} was rolled out can't be learned: the table doesn't answer.`,
      remedy: 'Run the same rollout again later; repeating it is safe.',
      ran: 'unknown',
      retryAfterMs: 5000,
      facts: { version: head.version },
    }),
  );
}
