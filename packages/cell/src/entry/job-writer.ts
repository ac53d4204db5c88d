/** Writes that accept or cancel a job, with retries and the handling of unanswered writes. */
import type { ProcessContext } from '@zincspan/core';
import type { ConfigWatcher } from '../config/config-watcher.js';
import { jobRowKey, packSubmission } from '../job/job-rows.js';
import type { JobRequest, Submission } from '../job/submission.js';
import { sameRow, type Row } from '../store/row-store.js';
import type { MonitoredStore } from '../store/monitored-store.js';
import type { SubmissionRouter, SubmissionWrite } from './submission-router.js';
import type { CallRefusal, CancelResult, SubmitResult } from './call-result.js';
import type { AdmittedCall, CallerCall, CallAdmission } from './call-admission.js';
import { sleep } from '../clock/sleep.js';
import { storeRetryAfterMs } from './store-retry.js';

/** Timeout of one attempt at the store within a caller's deadline, in ms. */
const ATTEMPT_TIMEOUT_MS = 900;

/** Timeout of an attempt at a slow store, in ms. Longer, because the store still executes an abandoned attempt in its turn. */
const SLOW_STORE_ATTEMPT_TIMEOUT_MS = 1800;

/** Delay between attempts, in ms. */
const RETRY_DELAY_MS = 60;

/** Delay between attempts at a slow store, in ms. It refuses transactions that would queue for over 1 s, and each takes about 1/3 s. */
const SLOW_STORE_RETRY_DELAY_MS = 350;

/** After an unanswered attempt, the store counts as unavailable here once reads have failed for this long, in ms; another entry is asked. */
const STORE_UNREACHABLE_MS = 900;

/** Refusals after which to give up if no attempt may have been committed. A store that is only slow is tried again. */
const MAX_REFUSALS = 2;

/** Value of a cancellation row; only the row's existence matters. */
const CANCELLATION_VALUE = Buffer.from('1');

/** A job to accept. `deadline`: monotonic clock, in ms. */
export interface NewJob {
  call: CallerCall;
  admitted: AdmittedCall;
  id: string;
  job: JobRequest;
  deadline: number;
}

/** Accepts or cancels a job, each with one transaction. */
export class JobWriter {
  readonly #ctx: ProcessContext;

  readonly #store: MonitoredStore;

  readonly #config: ConfigWatcher;

  readonly #admission: CallAdmission;

  readonly #router: SubmissionRouter;

  readonly #onRowWritten: (row: Row) => void;

  constructor({
    ctx,
    store,
    config,
    admission,
    router,
    onRowWritten,
  }: {
    ctx: ProcessContext;
    store: MonitoredStore;
    config: ConfigWatcher;
    admission: CallAdmission;
    router: SubmissionRouter;
    /** Called when a row of a job is in the store. The change feed may deliver it a second later. */
    onRowWritten: (row: Row) => void;
  }) {
    this.#ctx = ctx;
    this.#store = store;
    this.#config = config;
    this.#admission = admission;
    this.#router = router;
    this.#onRowWritten = onRowWritten;
  }

  /**
   * Accepts on condition that the configuration under which the call was admitted is still in force, so that no entry can
   * accept under an old one, however long the entry was suspended.
   */
  async accept({ call, admitted: initial, id, job, deadline }: NewJob): Promise<SubmitResult> {
    let admitted = initial;
    let mayBeCommitted = false;
    let refusals = 0;
    let detail = 'the deadline has passed';
    for (;;) {
      const timeoutMs = this.#attemptTimeoutMs(deadline);
      if (timeoutMs <= 0) break;
      const write = this.#submissionWrite(admitted, id, job);
      const isRetry = mayBeCommitted || refusals > 0;
      const result = await this.#router.write(write, { timeoutMs, isRetry });
      if (result.outcome === 'done') {
        const { value } = write;
        this.#onRowWritten({ ...jobRowKey(id, 'submission'), value, version: result.version });
        return { outcome: 'accepted', again: false };
      }
      if (result.outcome === 'conflict') {
        const existing = result.rows.find((row) => sameRow(row, jobRowKey(id, 'submission')));
        // Accepted before, by an earlier attempt or another entry.
        if (existing !== undefined) return { outcome: 'accepted', again: true };
        const newerConfigRow = result.rows.find((row) => sameRow(row, this.#config.key));
        if (newerConfigRow === undefined) await this.#config.refresh();
        else this.#config.applyRow(newerConfigRow);
        const next = await this.#admission.admit(call);
        // Earlier attempts expected the old configuration, so they can no longer be committed.
        if (next.outcome !== 'admitted') return next;
        admitted = next;
        mayBeCommitted = false;
        continue;
      }
      detail = result.detail;
      if (result.outcome === 'unknown') mayBeCommitted = true;
      else refusals += 1;
      const mayRetry = this.#store.isSlow && !this.#store.isUnavailable;
      if (!mayBeCommitted && refusals >= MAX_REFUSALS && !mayRetry) return this.#refusal(detail);
      if (mayBeCommitted && this.#isStoreUnavailable()) break;
      await sleep(this.#retryDelayMs(deadline));
    }
    return mayBeCommitted ? this.#outcomeUnknown(detail) : this.#refusal(detail);
  }

  /** Writes the cancellation row, unless it exists. */
  async cancel(id: string, deadline: number): Promise<CancelResult> {
    const key = jobRowKey(id, 'cancellation');
    for (;;) {
      const timeoutMs = this.#attemptTimeoutMs(deadline);
      if (timeoutMs <= 0) return this.#outcomeUnknown('the deadline has passed');
      const tx = {
        expected: [{ ...key, version: 0 }],
        set: [{ ...key, value: CANCELLATION_VALUE }],
      };
      const result = await this.#store.transact(tx, { timeoutMs });
      if (result.outcome === 'done') {
        this.#onRowWritten({ ...key, value: CANCELLATION_VALUE, version: result.version });
      }
      const isWritten = result.outcome === 'done' || result.outcome === 'conflict';
      if (isWritten) return { outcome: 'cancelled' };
      if (this.#isStoreUnavailable()) return this.#outcomeUnknown(result.detail);
      await sleep(this.#retryDelayMs(deadline));
    }
  }

  #attemptTimeoutMs(deadline: number): number {
    const maxMs = this.#store.isSlow ? SLOW_STORE_ATTEMPT_TIMEOUT_MS : ATTEMPT_TIMEOUT_MS;
    return Math.min(maxMs, deadline - this.#ctx.clock.now());
  }

  /** Ends at the deadline: the part of the caller's time that is reserved for the answer is shorter than the delay at a slow store. */
  #retryDelayMs(deadline: number): number {
    const delayMs = this.#store.isSlow ? SLOW_STORE_RETRY_DELAY_MS : RETRY_DELAY_MS;
    return Math.max(0, Math.min(delayMs, deadline - this.#ctx.clock.now()));
  }

  #isStoreUnavailable(): boolean {
    return this.#store.isUnavailable || this.#config.ageMs > STORE_UNREACHABLE_MS;
  }

  #refusal(detail: string): CallRefusal {
    return storeUnavailable(detail, this.#config.ageMs);
  }

  #outcomeUnknown(detail: string): CallRefusal {
    return outcomeUnknown(`The store did not answer: ${detail}.`, this.#config.ageMs);
  }

  #submissionWrite(
    { queue, account, rowVersion }: AdmittedCall,
    id: string,
    job: JobRequest,
  ): SubmissionWrite {
    const { service, priority, maxAttempts, stretch, targetLatencyMs, needsAdvice } = queue;
    const submission: Submission = {
      id,
      queue: queue.name,
      terms: { service, priority, maxAttempts, stretch, targetLatencyMs, needsAdvice },
      account: account?.name ?? '',
      ...job,
      acceptedAtMs: this.#ctx.clock.wall(),
    };
    return { jobId: id, value: packSubmission(submission), configVersion: rowVersion };
  }
}

/** Refusal because the store is unavailable here; nothing was written. `unavailableMs`: time since its last answer. */
export function storeUnavailable(detail: string, unavailableMs: number): CallRefusal {
  return {
    outcome: 'not-accepted',
    reason: 'store',
    retryAfterMs: storeRetryAfterMs(unavailableMs),
    detail: `The store is unavailable from this entry: ${detail}.`,
  };
}

/** Result of a call that may have taken effect. `unavailableMs`: time since the store's last answer. */
export function outcomeUnknown(detail: string, unavailableMs: number): CallRefusal {
  return { outcome: 'unknown', retryAfterMs: storeRetryAfterMs(unavailableMs), detail };
}
