/** Admission at one entry: decides by the newest load summary, and remembers what was accepted and refused here. */
import type { ProcessContext } from '@zincspan/core';
import type { Account, Queue } from '../config/cell-config.js';
import type { JobRequest } from '../job/submission.js';
import { decideAdmission, type AdmissionDecision } from './admission-decision.js';
import type { UsableSummary } from './load-reader.js';
import type { PredictedJob } from './prediction.js';
import { RefusalBook, type Refusal, type RefusalReport } from './refusal-book.js';

/** Shortest time between two log lines about the same job, in ms. */
const MIN_LOG_INTERVAL_MS = 1000;

/** A submission that its entry would write. */
export interface GatedSubmission {
  id: string;
  queue: Queue;
  account: Account | undefined;
  job: JobRequest;
}

/** What a refused caller is told. */
export interface OverloadRefusal {
  retryAfterMs: number;
  detail: string;
}

/** Work that was accepted here. */
interface AcceptedWork {
  service: string;
  work: number;
  width: number;
}

export class AdmissionGate {
  readonly #ctx: ProcessContext;

  readonly #current: () => UsableSummary | undefined;

  readonly #hasFairShares: boolean;

  readonly #book: RefusalBook;

  /** Accepted since the summary in `#sinceSummary` was received. */
  #accepted: AcceptedWork[] = [];

  #sinceSummary: UsableSummary | undefined;

  constructor({
    ctx,
    current,
    hasFairShares,
  }: {
    ctx: ProcessContext;
    /** The summary that may be used now. */
    current: () => UsableSummary | undefined;
    /** The owner orders competing accounts by their shares. */
    hasFairShares: boolean;
  }) {
    this.#ctx = ctx;
    this.#current = current;
    this.#hasFairShares = hasFairShares;
    this.#book = new RefusalBook(() => ctx.clock.now());
  }

  /** True if some submission might be refused now. */
  get mayRefuse(): boolean {
    return this.#current() !== undefined;
  }

  /** The newest refusals, for the owner. */
  reports(): RefusalReport[] {
    return this.#book.reports();
  }

  /** Decides without remembering anything. */
  decide(submission: GatedSubmission): AdmissionDecision {
    const { id, queue, account } = submission;
    const current = this.#refresh();
    const now = this.#ctx.clock.now();
    const refusal = this.#book.get(id);
    const { service, priority } = queue;
    const firstRefusedAt = refusal?.firstRefusedAt ?? now;
    const accepted = this.#accepted.filter((each) => each.service === service);
    return decideAdmission({
      summary: current?.summary,
      summaryAgeMs: now - (current?.computedAt ?? now),
      id,
      job: predictedJob(submission),
      guaranteedAccelerators: account?.guaranteedAccelerators ?? 0,
      refusal,
      accepted: {
        work: accepted.reduce((sum, { work }) => sum + work, 0),
        width: accepted.reduce((sum, { width }) => sum + width, 0),
      },
      refusedHere: this.#book
        .aheadSince(current?.receivedAt ?? now, { service, priority, firstRefusedAt })
        .reduce((sum, { work }) => sum + work, 0),
      hasFairShares: this.#hasFairShares,
      now,
    });
  }

  /** Remembers a refusal and says what its caller is told. */
  refuse(
    { id, queue, account }: GatedSubmission,
    decision: Extract<AdmissionDecision, { outcome: 'refuse' }>,
  ): OverloadRefusal {
    const ctx = this.#ctx;
    const now = ctx.clock.now();
    const { prediction, marginMs, usefulMs, elapsedMs } = decision;
    const retryAfterMs = Math.round(decision.retryAfterMs);
    const { name, service, priority } = queue;
    const { work } = prediction.footprint;
    const dueAt = now + retryAfterMs;
    const lastRefusedAt = this.#book.get(id)?.lastRefusedAt ?? -Infinity;
    const { urgency } = prediction;
    const sinceMs = elapsedMs;
    this.#book.record({ id, queue: name, priority, service, work, urgency, dueAt, sinceMs });
    const predictedMs = Math.round(prediction.completionMs);
    ctx.metrics.count('admission.refused.overload');
    ctx.metrics.timing('admission.predicted-wait', prediction.startMs);
    if (now - lastRefusedAt >= MIN_LOG_INTERVAL_MS) {
      ctx.log.info(
        {
          id,
          queue: name,
          account: account?.name ?? '',
          predictedMs,
          marginMs: Math.round(marginMs),
          usefulMs: Math.round(usefulMs),
          sinceFirstRefusalMs: Math.round(elapsedMs),
          ...this.#summaryFields(),
          retryAfterMs,
        },
        'submission refused',
      );
    }
    const detail =
      `The cell has more work than it can serve in time: this job would take ${predictedMs} ms, ` +
      `and its result is of use for ${Math.max(0, Math.round(usefulMs))} ms. It was not accepted.`;
    return { retryAfterMs, detail };
  }

  /** The submission was accepted after this decision. */
  noteAccepted({ id, queue }: GatedSubmission, decision: AdmissionDecision): void {
    const { metrics } = this.#ctx;
    metrics.count('admission.accepted');
    const refusal = this.#book.get(id);
    if (refusal !== undefined) {
      metrics.count('admission.returned');
      this.#logReturned(refusal, decision);
      this.#book.forget(id);
    }
    if (decision.prediction === undefined) return;
    const { startMs, footprint } = decision.prediction;
    metrics.timing('admission.predicted-wait', startMs);
    const { work, width } = footprint;
    this.#accepted.push({ service: queue.service, work, width });
  }

  #logReturned({ id, queue, firstRefusedAt }: Refusal, decision: AdmissionDecision): void {
    const now = this.#ctx.clock.now();
    const { prediction } = decision;
    this.#ctx.log.info(
      {
        id,
        queue,
        // Not refused if an earlier attempt of it is stored, or may be.
        reason: decision.outcome === 'accept' ? decision.reason : 'may-be-stored',
        predictedMs: prediction && Math.round(prediction.completionMs),
        sinceFirstRefusalMs: Math.round(now - firstRefusedAt),
        errorLow: this.#sinceSummary?.summary.error.low,
        ...this.#summaryFields(),
      },
      'refused submission accepted',
    );
  }

  /** The summary that a decision was based on, for the log. */
  #summaryFields(): { summaryAgeMs: number; term?: number; sequence?: number } {
    if (this.#sinceSummary === undefined) return { summaryAgeMs: 0 };
    const { summary, computedAt } = this.#sinceSummary;
    const summaryAgeMs = Math.round(this.#ctx.clock.now() - computedAt);
    return { summaryAgeMs, term: summary.term, sequence: summary.sequence };
  }

  /** A new summary contains what was accepted before. */
  #refresh(): UsableSummary | undefined {
    const current = this.#current();
    if (current?.summary !== this.#sinceSummary?.summary) {
      this.#sinceSummary = current;
      this.#accepted = [];
    }
    return current;
  }
}

function predictedJob({
  queue,
  account,
  job,
}: GatedSubmission): PredictedJob & { isScheduled: boolean } {
  return {
    queue: queue.name,
    account: account?.name ?? '',
    terms: queue,
    steps: job.steps,
    isScheduled: job.schedule !== undefined,
  };
}
