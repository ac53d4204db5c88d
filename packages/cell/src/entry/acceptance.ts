/** Writes that accept or cancel a job, and what follows from answers that don't come. */
import type { ProcessContext } from '@zincspan/core';
import type { ConfigWatcher } from '../config/config-watcher.js';
import { jobRowKey, packSubmission } from '../job/job-rows.js';
import type { JobRequest, Submission } from '../job/submission.js';
import { sameRow, type Row } from '../store/row-store.js';
import type { MonitoredStore } from '../store/monitored-store.js';
import type { AcceptanceRoute, SubmissionWrite } from './acceptance-route.js';
import type { CallRefusal, CancelResult, SubmitResult } from './call-result.js';
import type { Admitted, CallerCall, CallerGate } from './caller-gate.js';
import { pause } from '../clock/pause.js';
import { storeRetryMs } from './store-retry.js';

/** One try at the store within a caller's time, in ms. */
const TRY_TIMEOUT_MS = 900;

/** With a slow store, in ms: a try that is given up takes its turn there all the same. */
const SLOW_TRY_TIMEOUT_MS = 1800;

/** Pause between tries, in ms. */
const RETRY_PAUSE_MS = 60;

/** With a slow store, in ms: it refuses what would wait for more than a second, and a turn takes about a third of one. */
const SLOW_RETRY_PAUSE_MS = 350;

/** After a try without an answer another entry is asked once reads have failed for this long, in ms. */
const STORE_SILENT_MS = 900;

/** Refusals in a row, without any sign that the store acted, after which the try is given up. A slow store is asked again. */
const REFUSALS_TO_GIVE_UP = 2;

/** What the row of a cancellation holds: that it is there says all. */
const CANCELLED = Buffer.from('1');

/** A job on its way in. `until`: on the monotonic clock. */
export interface NewJob {
  call: CallerCall;
  admitted: Admitted;
  id: string;
  job: JobRequest;
  until: number;
}

/** Accepts by one transaction, and cancels by another. */
export class Acceptance {
  readonly #ctx: ProcessContext;

  readonly #store: MonitoredStore;

  readonly #config: ConfigWatcher;

  readonly #gate: CallerGate;

  readonly #route: AcceptanceRoute;

  readonly #onWritten: (row: Row) => void;

  constructor({
    ctx,
    store,
    config,
    gate,
    route,
    onWritten,
  }: {
    ctx: ProcessContext;
    store: MonitoredStore;
    config: ConfigWatcher;
    gate: CallerGate;
    route: AcceptanceRoute;
    /** A row of a job is in the store; its feed may tell of it a second later. */
    onWritten: (row: Row) => void;
  }) {
    this.#ctx = ctx;
    this.#store = store;
    this.#config = config;
    this.#gate = gate;
    this.#route = route;
    this.#onWritten = onWritten;
  }

  /**
   * Accepts on condition that the configuration is still the one that let the call through: no entry can accept under
   * an old one, however long it stood still.
   */
  async accept({ call, admitted: first, id, job, until }: NewJob): Promise<SubmitResult> {
    let admitted = first;
    let maybeDone = false;
    let refusals = 0;
    let detail = 'no time left';
    for (;;) {
      const timeoutMs = this.#tryTimeoutMs(until);
      if (timeoutMs <= 0) break;
      const write = this.#submission(admitted, id, job);
      const isRepeated = maybeDone || refusals > 0;
      const result = await this.#route.write(write, { timeoutMs, isRepeated });
      if (result.outcome === 'done') {
        const { value } = write;
        this.#onWritten({ ...jobRowKey(id, 'submission'), value, version: result.version });
        return { outcome: 'accepted', again: false };
      }
      if (result.outcome === 'conflict') {
        const own = result.rows.find((row) => sameRow(row, jobRowKey(id, 'submission')));
        // It was accepted before: by an earlier try, or by another entry.
        if (own !== undefined) return { outcome: 'accepted', again: true };
        const newer = result.rows.find((row) => sameRow(row, this.#config.key));
        if (newer === undefined) await this.#config.refresh();
        else this.#config.applyRow(newer);
        const next = await this.#gate.admit(call);
        // Earlier tries named the old configuration: they can't be done any more.
        if (next.outcome !== 'admitted') return next;
        admitted = next;
        maybeDone = false;
        continue;
      }
      detail = result.detail;
      if (result.outcome === 'unknown') maybeDone = true;
      else refusals += 1;
      const mayWait = this.#store.isSlow && !this.#store.isUnavailable;
      if (!maybeDone && refusals >= REFUSALS_TO_GIVE_UP && !mayWait) return this.#storeAway(detail);
      if (maybeDone && this.#isStoreAway()) break;
      await pause(this.#retryPauseMs());
    }
    return maybeDone ? this.#unanswered(detail) : this.#storeAway(detail);
  }

  /** Writes the cancellation, or finds it written. */
  async cancel(id: string, until: number): Promise<CancelResult> {
    const key = jobRowKey(id, 'cancellation');
    for (;;) {
      const timeoutMs = this.#tryTimeoutMs(until);
      if (timeoutMs <= 0) return this.#unanswered('no time left');
      const tx = { expected: [{ ...key, version: 0 }], set: [{ ...key, value: CANCELLED }] };
      const result = await this.#store.transact(tx, { timeoutMs });
      if (result.outcome === 'done') {
        this.#onWritten({ ...key, value: CANCELLED, version: result.version });
      }
      const isThere = result.outcome === 'done' || result.outcome === 'conflict';
      if (isThere) return { outcome: 'cancelled' };
      if (this.#isStoreAway()) return this.#unanswered(result.detail);
      await pause(this.#retryPauseMs());
    }
  }

  #tryTimeoutMs(until: number): number {
    const mostMs = this.#store.isSlow ? SLOW_TRY_TIMEOUT_MS : TRY_TIMEOUT_MS;
    return Math.min(mostMs, until - this.#ctx.clock.now());
  }

  #retryPauseMs(): number {
    return this.#store.isSlow ? SLOW_RETRY_PAUSE_MS : RETRY_PAUSE_MS;
  }

  #isStoreAway(): boolean {
    return this.#store.isUnavailable || this.#config.ageMs > STORE_SILENT_MS;
  }

  #storeAway(detail: string): CallRefusal {
    return storeAway(detail, this.#config.ageMs);
  }

  #unanswered(detail: string): CallRefusal {
    return outcomeUnknown(`The store did not answer: ${detail}.`, this.#config.ageMs);
  }

  #submission(
    { queue, account, rowVersion }: Admitted,
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

/** The store can't be used from here; nothing was done. `awayMs`: since it last answered. */
export function storeAway(detail: string, awayMs: number): CallRefusal {
  return {
    outcome: 'not-accepted',
    retryAfterMs: storeRetryMs(awayMs),
    detail: `The store cannot be used from here: ${detail}.`,
  };
}

/** It may have been carried out. `awayMs`: since the store last answered. */
export function outcomeUnknown(detail: string, awayMs: number): CallRefusal {
  return { outcome: 'unknown', retryAfterMs: storeRetryMs(awayMs), detail };
}
