/** Gauges and log lines about free, stranded and kept capacity, and about small tasks that were deferred. */
import type { ProcessContext } from '@zincspan/core';
import type { FitSummary, SmallTaskDeferral } from './capacity-fit.js';

/** The gauges are set, and a job is logged and counted, at most this often, in ms. */
const REPORT_INTERVAL_MS = 1000;

/** One instance per ownership term. */
export class FitReport {
  #gaugesAt = -Infinity;

  /** When each job was last reported. */
  readonly #reportedAt = new Map<string, number>();

  /** Reports the state before a pass and what it deferred; does nothing if the part is off. */
  report(
    { metrics, clock }: Pick<ProcessContext, 'metrics' | 'clock'>,
    summary: FitSummary | undefined,
    log: (msg: string, fields: object) => void,
  ): void {
    if (summary === undefined) return;
    const now = clock.now();
    if (now - this.#gaugesAt >= REPORT_INTERVAL_MS) {
      this.#gaugesAt = now;
      const state = summary.state();
      metrics.gauge('fit.free-accelerators', state.freeAccelerators);
      metrics.gauge('fit.stranded-accelerators', state.strandedAccelerators);
      metrics.gauge('fit.whole-workers-free', state.wholeWorkersFree);
      metrics.gauge('fit.whole-workers-kept', state.wholeWorkersKept);
    }
    this.#reportedAt.forEach((at, id) => {
      if (now - at >= REPORT_INTERVAL_MS) this.#reportedAt.delete(id);
    });
    summary.deferrals.forEach((deferral) => {
      const { id } = deferral.job;
      if (this.#reportedAt.has(id)) return;
      this.#reportedAt.set(id, now);
      metrics.count('fit.small-task-deferred');
      log('small tasks deferred', fieldsOf(deferral));
    });
  }
}

function fieldsOf({ job, started, deferred, keep, slackMs }: SmallTaskDeferral): object {
  return {
    job: job.id,
    account: job.submission.account,
    queue: job.submission.queue,
    started,
    deferred,
    keep,
    slackMs: Math.round(slackMs),
  };
}
