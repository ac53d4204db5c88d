/** Callers' calls: a job is accepted, shown and cancelled here, by any entry. */
import type { ProcessContext } from '@zincspan/core';
import type { ConfigWatch } from '../config/config-watch.js';
import { jobRowKey, packSubmission } from '../job/job-rows.js';
import { jobState, type JobView } from '../job/job-view.js';
import { graphFault, type Step, type Submission } from '../job/submission.js';
import { sameRow, type RowStore, type Transaction } from '../store/row-store.js';
import type {
  CancelResult,
  CallRefusal,
  StateResult,
  SubmitResult,
  WaitingResult,
} from './call-result.js';
import type { Admitted, CallerCall, CallerGate } from './caller-gate.js';

/** One try at the store within a caller's time, in ms. */
const TRY_TIMEOUT_MS = 900;

/** Kept back from a caller's time for the answer's way, in ms. */
const ANSWER_RESERVE_MS = 150;

/** A caller that names no deadline is given this long, in ms. */
const DEFAULT_BUDGET_MS = 2500;

/** Pause between tries, in ms. */
const RETRY_PAUSE_MS = 60;

/** Told to callers when the store refuses or is out of reach, in ms: outages last seconds. */
const STORE_RETRY_MS = 1000;

/**
 * A configuration that wasn't confirmed for this long says that the store is out of reach from here, in ms: longer than
 * a pause between two reads with a store that is sixty times slower than usual. Nothing is sent to it then.
 */
const STORE_AWAY_MS = 1200;

/** The same while a try has already gone without an answer, in ms: two reads in a row have failed as well. */
const STORE_SILENT_MS = 900;

/** Refusals in a row, without any sign that the store acted, after which a caller is told at once. */
const REFUSALS_TO_GIVE_UP = 2;

/** Job ids, as callers choose them. */
const ID_PATTERN = /^[0-9a-f]{16}$/;

/** What a caller hands in, decoded. */
export interface JobRequest {
  spec: string;
  steps: Step[];
  schedule: Submission['schedule'];
}

/** The body, decoded only once the call is let through. */
export type DecodeJob = () => { job: JobRequest } | { fault: string };

/** What the calls are made of. */
export interface JobCallsOptions {
  ctx: ProcessContext;
  store: RowStore;
  config: ConfigWatch;
  gate: CallerGate;
  view: JobView;
}

/** Serves callers. */
export class JobCalls {
  readonly #options: JobCallsOptions;

  constructor(options: JobCallsOptions) {
    this.#options = options;
  }

  /** Hands a job in. `budgetMs`: how long the caller waits. */
  async submit(
    call: CallerCall,
    { decode, budgetMs = DEFAULT_BUDGET_MS }: { decode: DecodeJob; budgetMs?: number },
  ): Promise<SubmitResult> {
    const until = this.#now() + budgetMs - ANSWER_RESERVE_MS;
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return this.#log('submit', call.path, admitted);
    const { rest: id } = admitted;
    if (!ID_PATTERN.test(id)) {
      return this.#log(
        'submit',
        id,
        badInput(`"${id}" is no job id: expected 16 hexadecimal digits.`),
      );
    }
    if (this.#options.view.get(id) !== undefined) {
      return this.#log('submit', id, { outcome: 'accepted', again: true });
    }
    if (this.#options.config.ageMs > STORE_AWAY_MS) {
      return this.#log('submit', id, storeAway('no read was answered lately'));
    }
    const decoded = decode();
    if ('fault' in decoded) return this.#log('submit', id, badInput(decoded.fault));
    const fault = graphFault(decoded.job.steps);
    if (fault !== undefined) return this.#log('submit', id, badInput(fault));
    const result = await this.#store({ call, admitted, id, job: decoded.job, until });
    return this.#log('submit', id, result);
  }

  /** What has become of a job. */
  async state(call: CallerCall, { budgetMs = DEFAULT_BUDGET_MS } = {}): Promise<StateResult> {
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return this.#log('state', call.path, admitted);
    const job = await this.#find(admitted, budgetMs);
    if (job === 'absent') return this.#log('state', admitted.rest, { outcome: 'no-such-job' });
    if (job === 'unknown') return this.#log('state', admitted.rest, storeAway('a read failed'));
    return { outcome: 'state', state: jobState(job) };
  }

  /** Stops a job for good. */
  async cancel(call: CallerCall, { budgetMs = DEFAULT_BUDGET_MS } = {}): Promise<CancelResult> {
    const until = this.#now() + budgetMs - ANSWER_RESERVE_MS;
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return this.#log('cancel', call.path, admitted);
    const id = admitted.rest;
    const job = await this.#find(admitted, budgetMs);
    if (job === 'absent') return this.#log('cancel', id, { outcome: 'no-such-job' });
    if (job === 'unknown') return this.#log('cancel', id, storeAway('a read failed'));
    const result = job.cancelled
      ? ({ outcome: 'cancelled' } as const)
      : await this.#storeCancellation(id, until);
    return this.#log('cancel', id, result);
  }

  /** How many of a queue's jobs wait. */
  async waiting(call: CallerCall): Promise<WaitingResult> {
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    return { outcome: 'waiting', count: this.#options.view.waiting(admitted.queue.name) };
  }

  /** The job, unless it is another account's. */
  async #find({ rest: id, account }: Admitted, budgetMs: number): ReturnType<JobView['find']> {
    if (!ID_PATTERN.test(id)) return 'absent';
    const timeoutMs = Math.max(1, budgetMs - ANSWER_RESERVE_MS);
    const job = await this.#options.view.find(id, { timeoutMs });
    if (typeof job === 'string') return job;
    return job.submission.account === (account?.name ?? '') ? job : 'absent';
  }

  /**
   * Accepts by one transaction, on condition that the configuration is still the one that let the call through: no
   * entry can accept under an old one, however long it stood still.
   */
  async #store({
    call,
    admitted: first,
    id,
    job,
    until,
  }: {
    call: CallerCall;
    admitted: Admitted;
    id: string;
    job: JobRequest;
    until: number;
  }): Promise<SubmitResult> {
    const { config, gate, store } = this.#options;
    let admitted = first;
    let maybeDone = false;
    let detail = 'no time left';
    let refusals = 0;
    for (;;) {
      const timeoutMs = Math.min(TRY_TIMEOUT_MS, until - this.#now());
      if (timeoutMs <= 0) break;
      const result = await store.transact(this.#submission(admitted, id, job), { timeoutMs });
      if (result.outcome === 'done') return { outcome: 'accepted', again: false };
      if (result.outcome === 'conflict') {
        const own = result.rows.find((row) => sameRow(row, jobRowKey(id, 'submission')));
        // It was accepted before: by an earlier try, or by another entry.
        if (own !== undefined) return { outcome: 'accepted', again: true };
        const newer = result.rows.find((row) => sameRow(row, config.key));
        if (newer !== undefined) config.adopt(newer);
        else await config.refresh();
        const next = await gate.admit(call);
        // Earlier tries named the old configuration: they can't be done any more.
        if (next.outcome !== 'admitted') return next;
        admitted = next;
        continue;
      }
      detail = result.detail;
      if (result.outcome === 'unknown') maybeDone = true;
      else refusals += 1;
      if (!maybeDone && refusals >= REFUSALS_TO_GIVE_UP) return storeAway(detail);
      if (maybeDone && config.ageMs > STORE_SILENT_MS) break;
      await pause(RETRY_PAUSE_MS);
    }
    if (maybeDone) return { outcome: 'unknown', detail: `The store did not answer: ${detail}.` };
    return storeAway(detail);
  }

  #submission({ queue, account, rowVersion }: Admitted, id: string, job: JobRequest): Transaction {
    const { service, priority, maxAttempts, stretch, targetLatencyMs, needsAdvice } = queue;
    const submission: Submission = {
      id,
      queue: queue.name,
      terms: { service, priority, maxAttempts, stretch, targetLatencyMs, needsAdvice },
      account: account?.name ?? '',
      ...job,
      acceptedAtMs: this.#options.ctx.clock.wall(),
    };
    const key = jobRowKey(id, 'submission');
    return {
      expected: [
        { ...key, version: 0 },
        { ...this.#options.config.key, version: rowVersion },
      ],
      set: [{ ...key, value: packSubmission(submission) }],
    };
  }

  async #storeCancellation(id: string, until: number): Promise<CancelResult> {
    const key = jobRowKey(id, 'cancellation');
    for (;;) {
      const timeoutMs = Math.min(TRY_TIMEOUT_MS, until - this.#now());
      if (timeoutMs <= 0) {
        return { outcome: 'unknown', detail: 'The store did not answer in time.' };
      }
      const result = await this.#options.store.transact(
        { expected: [{ ...key, version: 0 }], set: [{ ...key, value: Buffer.from('1') }] },
        { timeoutMs },
      );
      if (result.outcome === 'done' || result.outcome === 'conflict') {
        return { outcome: 'cancelled' };
      }
      await pause(RETRY_PAUSE_MS);
    }
  }

  #now(): number {
    return this.#options.ctx.clock.now();
  }

  #log<const T extends { outcome: string }>(what: string, id: string, result: T): T {
    const { ctx, config } = this.#options;
    ctx.metrics.count(`call.${what}.${result.outcome}`);
    const version = config.known?.config.version;
    const configAgeMs = Math.round(Math.min(config.ageMs, Number.MAX_SAFE_INTEGER));
    ctx.log.info({ call: what, id, ...result, config: version, configAgeMs }, 'call answered');
    return result;
  }
}

function badInput(detail: string): CallRefusal {
  return { outcome: 'bad-input', detail };
}

function storeAway(detail: string): CallRefusal {
  return {
    outcome: 'not-accepted',
    retryAfterMs: STORE_RETRY_MS,
    detail: `The store cannot be used from here: ${detail}.`,
  };
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
