/**
 * Which way a submission takes into the store. The load it answers: a slow store that carries out one transaction after the other,
 * so that each acceptance keeps all others waiting for its turn. Then it goes along with the next write of the cell's owner.
 */
import {
  ProblemError,
  type AcceptanceCall,
  type AcceptanceResult,
  type ProcessContext,
} from '@zincspan/core';
import type { Link } from '@zincspan/link';
import { jobRowKey } from '../job/job-rows.js';
import type { RowKey, TransactResult, Transaction } from '../store/row-store.js';
import type { MonitoredStore } from '../store/monitored-store.js';

/** The owner is given this long, in ms: the write that it is at and its next one, with a store that takes half a second. */
const HAND_OVER_TIMEOUT_MS = 1200;

/** A submission, and the configuration that let it through. */
export interface SubmissionWrite {
  jobId: string;
  value: Buffer;
  /** Of the configuration's row. */
  configVersion: number;
}

/** What the route is made of. */
export interface AcceptanceRouteOptions {
  ctx: ProcessContext;
  store: MonitoredStore;
  configKey: RowKey;
  /** Accepts here; undefined while another entry owns the cell. Throws ProblemError `not-owner` if nothing was done. */
  ownAccept: () => ((call: AcceptanceCall) => Promise<AcceptanceResult>) | undefined;
  ownerLink: () => Link | undefined;
}

/** Ways of one entry. */
export class AcceptanceRoute {
  readonly #options: AcceptanceRouteOptions;

  constructor(options: AcceptanceRouteOptions) {
    this.#options = options;
  }

  /** Writes the submission, unless the job or another configuration is there. `isRepeated`: it was tried before. */
  async write(
    write: SubmissionWrite,
    { timeoutMs, isRepeated }: { timeoutMs: number; isRepeated: boolean },
  ): Promise<TransactResult> {
    const { store, configKey } = this.#options;
    // An owner that didn't serve the first try may be cut off: then the store decides.
    const mayHandOver = store.isSlow && !isRepeated;
    const handed = mayHandOver ? await this.#handOver(write, timeoutMs) : undefined;
    return handed ?? store.transact(transactionOf(write, configKey), { timeoutMs });
  }

  /** Undefined if nobody took it. */
  async #handOver(write: SubmissionWrite, mostMs: number): Promise<TransactResult | undefined> {
    const timeoutMs = Math.min(mostMs, HAND_OVER_TIMEOUT_MS);
    const call: AcceptanceCall = { ...write, timeoutMs };
    const { ctx, ownAccept, ownerLink } = this.#options;
    const link = ownerLink();
    const accept = ownAccept() ?? (link && (() => link.call('cell.accept', call, { timeoutMs })));
    if (accept === undefined) return undefined;
    try {
      return toTransactResult(await accept(call), write);
    } catch (err) {
      ctx.metrics.count('call.hand-over-failed');
      ctx.log.info({ id: write.jobId, err: String(err) }, 'handing a submission over failed');
      const isUndone = err instanceof ProblemError && err.problem.kind === 'not-owner';
      return isUndone ? undefined : { outcome: 'unknown', detail: 'the owner did not answer' };
    }
  }
}

function transactionOf(
  { jobId, value, configVersion }: SubmissionWrite,
  configKey: RowKey,
): Transaction {
  const key = jobRowKey(jobId, 'submission');
  return {
    expected: [
      { ...key, version: 0 },
      { ...configKey, version: configVersion },
    ],
    set: [{ ...key, value }],
  };
}

/** As if the store had been asked. A conflict without rows: another configuration is in force, and is read anew. */
function toTransactResult(
  result: AcceptanceResult,
  { jobId, value }: SubmissionWrite,
): TransactResult {
  if (result.outcome === 'config-changed') return { outcome: 'conflict', rows: [] };
  if (result.outcome !== 'exists') return result;
  return { outcome: 'conflict', rows: [{ ...jobRowKey(jobId, 'submission'), value, version: 1 }] };
}
