/**
 * Decides how a submission is written to the store. A slow store executes transactions one at a time, so each submission written on
 * its own delays all others. While the store is slow, a submission is therefore sent to the cell's owner, to be part of its next write.
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

/** Timeout of the call to the owner, in ms: its current write and its next one, with a store that takes half a second for each. */
const OWNER_ACCEPT_TIMEOUT_MS = 1200;

/** A submission to write, and the configuration under which it was admitted. */
export interface SubmissionWrite {
  jobId: string;
  value: Buffer;
  /** Version of the configuration's row. */
  configVersion: number;
}

export interface SubmissionRouterOptions {
  ctx: ProcessContext;
  store: MonitoredStore;
  configKey: RowKey;
  /** Accepts as the owner; undefined while another entry owns the cell. Throws ProblemError `not-owner` if nothing was written. */
  localAccept: () => ((call: AcceptanceCall) => Promise<AcceptanceResult>) | undefined;
  ownerLink: () => Link | undefined;
}

/** Writes submissions of one entry, directly or through the owner. */
export class SubmissionRouter {
  readonly #options: SubmissionRouterOptions;

  constructor(options: SubmissionRouterOptions) {
    this.#options = options;
  }

  /** Writes the submission, unless the job exists or the configuration has changed. `isRetry`: an earlier attempt was made. */
  async write(
    write: SubmissionWrite,
    { timeoutMs, isRetry }: { timeoutMs: number; isRetry: boolean },
  ): Promise<TransactResult> {
    const { store, configKey } = this.#options;
    // An owner that didn't serve the first attempt may be partitioned, so retries go to the store directly.
    const mayUseOwner = store.isSlow && !isRetry;
    const ownerResult = mayUseOwner ? await this.#writeThroughOwner(write, timeoutMs) : undefined;
    return ownerResult ?? store.transact(submissionTransaction(write, configKey), { timeoutMs });
  }

  /** Undefined if there is no owner to send it to, or the owner certainly did not write it. */
  async #writeThroughOwner(
    write: SubmissionWrite,
    maxMs: number,
  ): Promise<TransactResult | undefined> {
    const timeoutMs = Math.min(maxMs, OWNER_ACCEPT_TIMEOUT_MS);
    const call: AcceptanceCall = { ...write, timeoutMs };
    const { ctx, localAccept, ownerLink } = this.#options;
    const link = ownerLink();
    const accept = localAccept() ?? (link && (() => link.call('cell.accept', call, { timeoutMs })));
    if (accept === undefined) return undefined;
    try {
      // The owner in this process answers only when its write has, which may be after the caller's deadline.
      return toTransactResult(await withTimeout(accept(call), timeoutMs), write);
    } catch (err) {
      ctx.metrics.count('call.hand-over-failed');
      ctx.log.info(
        { id: write.jobId, err: String(err) },
        'sending a submission to the owner failed',
      );
      const isRejected = err instanceof ProblemError && err.problem.kind === 'not-owner';
      return isRejected ? undefined : { outcome: 'unknown', detail: 'the owner did not answer' };
    }
  }
}

/** Rejects if there is no result in time. */
async function withTimeout<T>(result: Promise<T>, timeoutMs: number): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error(`no answer within ${timeoutMs} ms`)), timeoutMs);
  });
  return Promise.race([result, timedOut]).finally(() => clearTimeout(timer));
}

function submissionTransaction(
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

/** The owner's result as that of a transaction. A conflict without rows: the configuration has changed and must be read again. */
function toTransactResult(
  result: AcceptanceResult,
  { jobId, value }: SubmissionWrite,
): TransactResult {
  if (result.outcome === 'config-changed') return { outcome: 'conflict', rows: [] };
  if (result.outcome !== 'exists') return result;
  return { outcome: 'conflict', rows: [{ ...jobRowKey(jobId, 'submission'), value, version: 1 }] };
}
