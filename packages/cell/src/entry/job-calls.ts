/** Callers' calls: a job is accepted, shown and cancelled here, by any entry. */
import type { ForwardedCall, ForwardedResult, ProcessContext } from '@zincspan/core';
import type * as z from 'zod';
import type { ConfigWatcher } from '../config/config-watcher.js';
import { jobState } from '../job/job-view.js';
import { graphFault, jobRequestSchema, type JobRequest } from '../job/submission.js';
import type { Row } from '../store/row-store.js';
import type { MonitoredStore } from '../store/monitored-store.js';
import { Acceptance, outcomeUnknown, storeAway } from './acceptance.js';
import type { AcceptanceRoute } from './acceptance-route.js';
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
import type { Admitted, CallerCall, CallerGate } from './caller-gate.js';
import type { FindResult, JobLookup } from './job-lookup.js';
import { isOutOfReach, settleCall } from './settled-call.js';

/** Kept back from a caller's time for the answer's way, in ms. */
const ANSWER_RESERVE_MS = 150;

/** A caller that names no deadline is given this long, in ms. */
const DEFAULT_BUDGET_MS = 2500;

/**
 * A configuration that wasn't confirmed for this long says that the store is out of reach from here, in ms: longer than
 * a pause between two reads with a store that is sixty times slower than usual.
 */
export const STORE_AWAY_MS = 1200;

/** Told to callers of a queue that needs advice where there is no advisor, in ms: only other settings help. */
const ADVICE_RETRY_MS = 60_000;

/** Job ids, as callers choose them. */
const ID_PATTERN = /^[0-9a-f]{16}$/;

/** The body, decoded only once the call is let through. */
export type DecodeJob = () => { job: JobRequest } | { fault: string };

/** Has other entries serve a call: one answer each, none if none is linked. A link that fails rejects. */
export type Forward = (call: ForwardedCall) => Promise<ForwardedResult>[];

/** What the calls are made of. */
export interface JobCallsOptions {
  ctx: ProcessContext;
  store: MonitoredStore;
  config: ConfigWatcher;
  gate: CallerGate;
  jobs: JobLookup;
  /** How many jobs of a queue wait; undefined if nobody could tell in time. */
  countWaiting: (queue: string, options: { timeoutMs: number }) => Promise<number | undefined>;
  /** A placement advisor is known. */
  canAskAdvice: boolean;
  forward: Forward;
  /** Takes submissions into the store. */
  route: AcceptanceRoute;
  /** A row of a job was written here. */
  onWritten: (row: Row) => void;
}

/** How long the caller waits, in ms, and whether another entry passed the call on. */
interface CallOptions {
  budgetMs?: number;
  isForwarded?: boolean;
}

/** Serves callers. */
export class JobCalls {
  readonly #options: JobCallsOptions;

  readonly #acceptance: Acceptance;

  constructor(options: JobCallsOptions) {
    this.#options = options;
    this.#acceptance = new Acceptance(options);
  }

  /** Hands a job in. */
  async submit(
    call: CallerCall,
    {
      decode,
      budgetMs = DEFAULT_BUDGET_MS,
      isForwarded = false,
    }: CallOptions & { decode: DecodeJob },
  ): Promise<SubmitResult> {
    const until = this.#now() + budgetMs - ANSWER_RESERVE_MS;
    const own = this.#trySubmit(call, decode, until);
    if (isForwarded) return this.#log('submit', call, await own);
    const result = await settleCall({
      own,
      isStoreSlow: this.#options.store.isSlow,
      askOthers: () => {
        const decoded = decode();
        if ('fault' in decoded) return [];
        const { job } = decoded;
        return this.#forward(submitResultSchema, { call: 'submit', ...call, job, until });
      },
    });
    return this.#log('submit', call, result);
  }

  /** What has become of a job. */
  async state(
    call: CallerCall,
    { budgetMs = DEFAULT_BUDGET_MS, isForwarded = false }: CallOptions = {},
  ): Promise<StateResult> {
    const until = this.#now() + budgetMs - ANSWER_RESERVE_MS;
    const own = this.#tryState(call, until);
    if (isForwarded) return own;
    let isPassedOn = false;
    const settled = await settleCall({
      own,
      isStoreSlow: this.#options.store.isSlow,
      askOthers: () => {
        isPassedOn = true;
        return this.#forward(stateResultSchema, { call: 'state', ...call, until });
      },
    });
    // Where nobody knows better, what was known here last is told.
    const result = isOutOfReach(settled) ? await this.#lastKnown(call, settled) : settled;
    return isPassedOn ? this.#log('state', call, result) : result;
  }

  /** Stops a job for good. */
  async cancel(
    call: CallerCall,
    { budgetMs = DEFAULT_BUDGET_MS, isForwarded = false }: CallOptions = {},
  ): Promise<CancelResult> {
    const until = this.#now() + budgetMs - ANSWER_RESERVE_MS;
    const own = this.#tryCancel(call, until);
    if (isForwarded) return this.#log('cancel', call, await own);
    const result = await settleCall({
      own,
      isStoreSlow: this.#options.store.isSlow,
      askOthers: () => this.#forward(cancelResultSchema, { call: 'cancel', ...call, until }),
    });
    return this.#log('cancel', call, result);
  }

  /** How many of a queue's jobs wait. */
  async waiting(call: CallerCall): Promise<WaitingResult> {
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const timeoutMs = DEFAULT_BUDGET_MS - ANSWER_RESERVE_MS;
    const count = await this.#options.countWaiting(admitted.queue.name, { timeoutMs });
    if (count === undefined) return storeAway('a read failed', this.#options.config.ageMs);
    return { outcome: 'waiting', count };
  }

  /** Serves a call that another entry passed on, and says by which configuration. */
  async serveForwarded(call: ForwardedCall): Promise<ForwardedResult> {
    const result = await this.#serveForwarded(call);
    const configVersion = this.#options.config.current?.config.version;
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

  async #trySubmit(call: CallerCall, decode: DecodeJob, until: number): Promise<SubmitResult> {
    const { gate, jobs, config, store, canAskAdvice } = this.#options;
    const admitted = await gate.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const { rest: id } = admitted;
    if (!ID_PATTERN.test(id)) {
      return badInput(`"${id}" is no job id: expected 16 hexadecimal digits.`);
    }
    if (jobs.known(id) !== undefined) return { outcome: 'accepted', again: true };
    const decoded = decode();
    if ('fault' in decoded) return badInput(decoded.fault);
    const fault = graphFault(decoded.job.steps);
    if (fault !== undefined) return badInput(fault);
    if (admitted.queue.needsAdvice && !canAskAdvice) return adviceMissing(admitted.queue.name);
    const { ageMs } = config;
    if (ageMs > STORE_AWAY_MS) return storeAway('no read was answered lately', ageMs);
    // Nothing is sent that might be carried out unseen; the reads of the configuration go on and find it again.
    if (store.isUnavailable) return storeAway('its last calls all failed', ageMs);
    return this.#acceptance.accept({ call, admitted, id, job: decoded.job, until });
  }

  async #tryState(call: CallerCall, until: number): Promise<StateResult> {
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const job = await this.#find(admitted, until);
    if (job === 'absent') return { outcome: 'no-such-job' };
    if (job === 'unknown') return storeAway('a read failed', this.#options.config.ageMs);
    return { outcome: 'state', state: jobState(job) };
  }

  /** The state that was last read or written here, or else `refusal`. */
  async #lastKnown(call: CallerCall, refusal: StateResult): Promise<StateResult> {
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return refusal;
    const job = ownedBy(admitted, this.#options.jobs.known(admitted.rest) ?? 'absent');
    return typeof job === 'string' ? refusal : { outcome: 'state', state: jobState(job) };
  }

  async #tryCancel(call: CallerCall, until: number): Promise<CancelResult> {
    const admitted = await this.#options.gate.admit(call);
    if (admitted.outcome !== 'admitted') return admitted;
    const job = await this.#find(admitted, until);
    if (job === 'absent') return { outcome: 'no-such-job' };
    if (job === 'unknown') return storeAway('a read failed', this.#options.config.ageMs);
    if (job.cancelled) return { outcome: 'cancelled' };
    return this.#acceptance.cancel(job.id, until);
  }

  /** The job, unless it is another account's. */
  async #find(admitted: Admitted, until: number): Promise<FindResult> {
    const { rest: id } = admitted;
    if (!ID_PATTERN.test(id)) return 'absent';
    const timeoutMs = Math.max(1, until - this.#now());
    return ownedBy(admitted, await this.#options.jobs.find(id, { timeoutMs }));
  }

  /** Other entries' answers. One that doesn't come, or can't be read, may have been carried out all the same. */
  #forward<T>(
    schema: z.ZodType<T | CallRefusal>,
    { until, ...call }: Omit<ForwardedCall, 'budgetMs'> & { until: number },
  ): Promise<T | CallRefusal>[] {
    const budgetMs = until - this.#now();
    if (budgetMs <= 0) return [];
    return this.#options
      .forward({ ...call, budgetMs })
      .map(async (answer): Promise<T | CallRefusal> => {
        try {
          const { configVersion, ...result } = await answer;
          const parsed = schema.parse(result);
          // What this one answers later mustn't be by an older one.
          if (configVersion !== undefined) this.#options.config.noteSeenVersion(configVersion);
          return parsed;
        } catch (err) {
          const { ctx, config } = this.#options;
          ctx.metrics.count('call.forward-failed');
          ctx.log.warn({ path: call.path, err: String(err) }, 'forwarding a call failed');
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

/** Another account's job is none. */
function ownedBy({ account }: Admitted, job: FindResult): FindResult {
  if (typeof job === 'string') return job;
  return job.submission.account === (account?.name ?? '') ? job : 'absent';
}

/** Its tasks would need tickets of a placement advisor, and the settings name none. */
function adviceMissing(queue: string): CallRefusal {
  return {
    outcome: 'not-accepted',
    retryAfterMs: ADVICE_RETRY_MS,
    detail: `Queue ${queue} runs only where a placement advisor approves, and the settings of this entry name none.`,
  };
}

function badInput(detail: string): CallRefusal {
  return { outcome: 'bad-input', detail };
}
