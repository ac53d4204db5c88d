/** API for callers: submits, shows and cancels jobs. Any entry serves any job. */
import type { ForwardedCall, ForwardedResult, ProcessContext } from '@zincspan/core';
import type * as z from 'zod';
import type { ConfigWatcher } from '../config/config-watcher.js';
import { jobState } from '../job/job-view.js';
import { findGraphError, jobRequestSchema } from '../job/submission.js';
import type { AdmissionGate } from '../load/admission-gate.js';
import type { Row } from '../store/row-store.js';
import type { MonitoredStore } from '../store/monitored-store.js';
import { JobWriter, outcomeUnknown, storeUnavailable } from './job-writer.js';
import type { SubmissionRouter } from './submission-router.js';
import {
  cancelResultSchema,
  stateResultSchema,
  submitResultSchema,
  type CallRefusal,
  type CancelResult,
  type StateResult,
  type SubmitResult,
  type WaitingResult,
} from './call-result.js';
import type { AdmittedCall, CallerCall, CallAdmission } from './call-admission.js';
import { checkLoad, type DecodeJob } from './load-check.js';
import { JOB_ID_PATTERN } from './job-id.js';
import type { FindResult, JobLookup } from './job-lookup.js';
import { isInconclusive, hedgeCall } from './hedged-call.js';

/** Part of a caller's deadline that is reserved for sending the answer, in ms. */
const RESPONSE_MARGIN_MS = 150;

/** Time for a call without a deadline, in ms. */
const DEFAULT_BUDGET_MS = 2500;

/**
 * The store counts as unavailable from this entry if the configuration was not confirmed for this long, in ms. Longer than the
 * interval between two reads of a store that is sixty times slower than usual.
 */
export const STORE_DOWN_AFTER_MS = 1200;

/** Retry delay for callers of a queue that needs advice if there is no advisor, in ms. Long, because only other settings help. */
const NO_ADVISOR_RETRY_AFTER_MS = 60_000;

/** Forwards a call to other entries; one promise per entry, none if none is linked. Rejects if the link fails. */
export type Forward = (call: ForwardedCall) => Promise<ForwardedResult>[];

export interface JobApiOptions {
  ctx: ProcessContext;
  store: MonitoredStore;
  config: ConfigWatcher;
  admission: CallAdmission;
  jobs: JobLookup;
  /** Refuses submissions that can't be served in time; undefined if admission is switched off. */
  gate?: AdmissionGate | undefined;
  /** Counts the waiting jobs of a queue; undefined if neither the owner nor the store answered in time. */
  countWaiting: (queue: string, options: { timeoutMs: number }) => Promise<number | undefined>;
  /** True if a placement advisor is configured. */
  hasAdvisor: boolean;
  forward: Forward;
  /** Writes submissions to the store. */
  router: SubmissionRouter;
  /** Called when this entry has written a row of a job. */
  onRowWritten: (row: Row) => void;
}

/** `budgetMs`: how long the caller waits. `isForwarded`: another entry forwarded the call. */
interface CallOptions {
  budgetMs?: number;
  isForwarded?: boolean;
}

/** Serves callers' calls at one entry. */
export class JobApi {
  readonly #options: JobApiOptions;

  readonly #writer: JobWriter;

  constructor(options: JobApiOptions) {
    this.#options = options;
    this.#writer = new JobWriter(options);
  }

  /** Submits a job. */
  async submit(
    call: CallerCall,
    {
      decode,
      budgetMs = DEFAULT_BUDGET_MS,
      isForwarded = false,
    }: CallOptions & { decode: DecodeJob },
  ): Promise<SubmitResult> {
    const { ctx } = this.#options;
    const deadline = this.#now() + budgetMs - RESPONSE_MARGIN_MS;
    // The load was considered by the entry that forwarded the call. Here a refusal could contradict an acceptance in progress there.
    const load = isForwarded ? {} : await checkLoad(this.#options, { call, decode, deadline });
    if (load.refusal !== undefined) return this.#log('submit', call, load.refusal);
    const local = this.#submitLocally(call, decode, deadline);
    if (isForwarded) return this.#log('submit', call, await local);
    const result = await hedgeCall({
      local,
      isWrite: true,
      isStoreSlow: this.#options.store.isSlow,
      callOthers: () => {
        const decoded = decode();
        if ('fault' in decoded) return [];
        const { job } = decoded;
        return this.#forward(submitResultSchema, { call: 'submit', ...call, job, deadline });
      },
    });
    if (result.outcome === 'accepted' && !result.again) load.onAccepted?.();
    // Refusals because of the load are counted where they are decided.
    if (result.outcome === 'not-accepted') {
      ctx.metrics.count(`admission.refused.${result.reason ?? 'store'}`);
    }
    return this.#log('submit', call, result);
  }

  /** Returns the state of a job. */
  async state(
    call: CallerCall,
    { budgetMs = DEFAULT_BUDGET_MS, isForwarded = false }: CallOptions = {},
  ): Promise<StateResult> {
    const deadline = this.#now() + budgetMs - RESPONSE_MARGIN_MS;
    const local = this.#stateLocally(call, deadline);
    if (isForwarded) return local;
    let wasForwarded = false;
    const answered = await hedgeCall({
      local,
      isStoreSlow: this.#options.store.isSlow,
      callOthers: () => {
        wasForwarded = true;
        return this.#forward(stateResultSchema, { call: 'state', ...call, deadline });
      },
    });
    // If no entry has a newer state, return the last one known here.
    const result = isInconclusive(answered) ? await this.#lastKnownState(call, answered) : answered;
    return wasForwarded ? this.#log('state', call, result) : result;
  }

  /** Cancels a job. */
  async cancel(
    call: CallerCall,
    { budgetMs = DEFAULT_BUDGET_MS, isForwarded = false }: CallOptions = {},
  ): Promise<CancelResult> {
    const deadline = this.#now() + budgetMs - RESPONSE_MARGIN_MS;
    const local = this.#cancelLocally(call, deadline);
    if (isForwarded) return this.#log('cancel', call, await local);
    const result = await hedgeCall({
      local,
      isWrite: true,
      isStoreSlow: this.#options.store.isSlow,
      callOthers: () => this.#forward(cancelResultSchema, { call: 'cancel', ...call, deadline }),
    });
    return this.#log('cancel', call, result);
  }

  /** Counts the waiting jobs of a queue. */
  async waiting(call: CallerCall): Promise<WaitingResult> {
    const admitted = await this.#options.admission.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const timeoutMs = DEFAULT_BUDGET_MS - RESPONSE_MARGIN_MS;
    const count = await this.#options.countWaiting(admitted.queue.name, { timeoutMs });
    if (count === undefined) return storeUnavailable('a read failed', this.#options.config.ageMs);
    return { outcome: 'waiting', count };
  }

  /** Serves a call that another entry forwarded; the result names the configuration version used. */
  async serveForwarded(call: ForwardedCall): Promise<ForwardedResult> {
    const result = await this.#serveForwarded(call);
    const configVersion = this.#options.config.current?.config.version;
    // An entry of an earlier version, which may have forwarded the call, can't read a result that has a reason.
    delete result.reason;
    return { ...result, ...(configVersion === undefined ? {} : { configVersion }) };
  }

  async #serveForwarded({
    call,
    job,
    budgetMs,
    host,
    path,
    key,
  }: ForwardedCall): Promise<ForwardedResult> {
    const caller = { host, path, key };
    const options = { budgetMs, isForwarded: true };
    if (call === 'state') return this.state(caller, options);
    if (call === 'cancel') return this.cancel(caller, options);
    const decode: DecodeJob = () => {
      const parsed = jobRequestSchema.safeParse(job);
      return parsed.success ? { job: parsed.data } : { fault: parsed.error.message };
    };
    return this.submit(caller, { decode, ...options });
  }

  async #submitLocally(
    call: CallerCall,
    decode: DecodeJob,
    deadline: number,
  ): Promise<SubmitResult> {
    const { admission, jobs, config, store, hasAdvisor } = this.#options;
    const admitted = await admission.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const { rest: id } = admitted;
    if (!JOB_ID_PATTERN.test(id)) {
      return badInput(`Invalid job id "${id}": expected 16 lowercase hexadecimal digits.`);
    }
    if (jobs.cached(id) !== undefined) return { outcome: 'accepted', again: true };
    const decoded = decode();
    if ('fault' in decoded) return badInput(decoded.fault);
    const fault = findGraphError(decoded.job.steps);
    if (fault !== undefined) return badInput(fault);
    if (admitted.queue.needsAdvice && !hasAdvisor) return noAdvisor(admitted.queue.name);
    const { ageMs } = config;
    if (ageMs > STORE_DOWN_AFTER_MS) return storeUnavailable('no recent read was answered', ageMs);
    // Sends no write whose result might be lost. The reads of the configuration go on and detect the store's return.
    if (store.isUnavailable) return storeUnavailable('all recent calls failed', ageMs);
    return this.#writer.accept({ call, admitted, id, job: decoded.job, deadline });
  }

  async #stateLocally(call: CallerCall, deadline: number): Promise<StateResult> {
    const admitted = await this.#options.admission.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const job = await this.#find(admitted, deadline);
    if (job === 'absent') return { outcome: 'no-such-job' };
    if (job === 'unknown') return storeUnavailable('a read failed', this.#options.config.ageMs);
    return { outcome: 'state', state: jobState(job) };
  }

  /** The state that was last read or written here, or `refusal` if there is none. */
  async #lastKnownState(call: CallerCall, refusal: StateResult): Promise<StateResult> {
    const admitted = await this.#options.admission.admit(call);
    if (admitted.outcome !== 'admitted') return refusal;
    const job = hideFromOtherAccounts(
      admitted,
      this.#options.jobs.cached(admitted.rest) ?? 'absent',
    );
    return typeof job === 'string' ? refusal : { outcome: 'state', state: jobState(job) };
  }

  async #cancelLocally(call: CallerCall, deadline: number): Promise<CancelResult> {
    const admitted = await this.#options.admission.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const job = await this.#find(admitted, deadline);
    if (job === 'absent') return { outcome: 'no-such-job' };
    if (job === 'unknown') return storeUnavailable('a read failed', this.#options.config.ageMs);
    if (job.cancelled) return { outcome: 'cancelled' };
    return this.#writer.cancel(job.id, deadline);
  }

  /** Looks the job up; jobs of other accounts count as absent. */
  async #find(admitted: AdmittedCall, deadline: number): Promise<FindResult> {
    const { rest: id } = admitted;
    if (!JOB_ID_PATTERN.test(id)) return 'absent';
    const timeoutMs = Math.max(1, deadline - this.#now());
    return hideFromOtherAccounts(admitted, await this.#options.jobs.find(id, { timeoutMs }));
  }

  /** Forwards the call to other entries. If an answer is missing or cannot be parsed, the call may still have taken effect. */
  #forward<T>(
    schema: z.ZodType<T | CallRefusal>,
    { deadline, ...call }: Omit<ForwardedCall, 'budgetMs'> & { deadline: number },
  ): Promise<T | CallRefusal>[] {
    const budgetMs = deadline - this.#now();
    if (budgetMs <= 0) return [];
    return this.#options
      .forward({ ...call, budgetMs })
      .map(async (answer): Promise<T | CallRefusal> => {
        try {
          const { configVersion, ...result } = await answer;
          const parsed = schema.parse(result);
          // Later answers of this entry must not be based on an older configuration.
          if (configVersion !== undefined) this.#options.config.noteSeenVersion(configVersion);
          return parsed;
        } catch (err) {
          const { ctx, config } = this.#options;
          ctx.metrics.count('call.forward-failed');
          ctx.log.warn(
            { path: call.path, err: String(err) },
            'forwarding a call to another entry failed',
          );
          return outcomeUnknown('Another entry did not answer.', config.ageMs);
        }
      });
  }

  #now(): number {
    return this.#options.ctx.clock.now();
  }

  #log<const T extends { outcome: string }>(what: string, { path }: CallerCall, result: T): T {
    const { ctx, config } = this.#options;
    ctx.metrics.count(`call.${what}.${result.outcome}`);
    const version = config.current?.config.version;
    const configAgeMs = Math.round(Math.min(config.ageMs, Number.MAX_SAFE_INTEGER));
    const id = path.slice(path.lastIndexOf('/') + 1);
    ctx.log.info(
      { call: what, id, path, ...result, config: version, configAgeMs },
      'call answered',
    );
    return result;
  }
}

/** Treats another account's job as absent. */
function hideFromOtherAccounts({ account }: AdmittedCall, job: FindResult): FindResult {
  if (typeof job === 'string') return job;
  return job.submission.account === (account?.name ?? '') ? job : 'absent';
}

/** Refusal because the queue's tasks need tickets from a placement advisor, and none is configured. */
function noAdvisor(queue: string): CallRefusal {
  return {
    outcome: 'not-accepted',
    reason: 'configuration',
    retryAfterMs: NO_ADVISOR_RETRY_AFTER_MS,
    detail: `Queue ${queue} requires a placement advisor, but this entry's settings configure none.`,
  };
}

function badInput(detail: string): CallRefusal {
  return { outcome: 'bad-input', detail };
}
