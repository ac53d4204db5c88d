/** What callers may do with jobs, apart from HTTP. */
import {
  changeJob,
  isFinal,
  jobKey,
  ProblemError,
  problem,
  toProblem,
  type ClientAccount,
  type Clock,
  type JobRow,
  type JobSpec,
  type ProcessContext,
} from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import type { ClaimStore } from '../claim/claim-store.js';
import { isOver } from '../claim/claim-change.js';
import type { Owners } from '../owner/owners.js';
import { notFound, reading } from './body.js';
import { digestOf, idOfKey, newId } from './job-id.js';
import type { JobRecord, JobStore } from './job-store.js';
import { chooseFailureDomain } from './placement-choice.js';
import type { QueueCounts } from './queue-counts.js';

/** Tries at a row that others keep changing. */
const MOST_TRIES = 8;

/** When to come back after the table failed, in ms. */
const RETRY_AFTER_MS = 5000;

/** What the service is made from. */
export interface JobServiceOptions {
  ctx: ProcessContext;
  bundles: BundleSource;
  store: JobStore;
  claims: ClaimStore;
  counts: QueueCounts;
  owners: Owners;
}

/** A submission's answer; `isNew` is false for a repeat of an idempotency key. */
export interface Submitted {
  row: JobRow;
  isNew: boolean;
}

/** Submits, reads and cancels jobs. Every method throws ProblemError. */
export class JobService {
  readonly #options: JobServiceOptions;

  constructor(options: JobServiceOptions) {
    this.#options = options;
  }

  /** Accepts a job once its row is known to be written, or refuses it truthfully. */
  async submit(account: ClientAccount, spec: JobSpec, key?: string): Promise<Submitted> {
    this.#checkKind(spec);
    const id = key === undefined ? newId() : idOfKey(account.name, 'job', key);
    const digest = digestOf(spec);
    if (key !== undefined) {
      const before = await this.#repeated(account.name, id, digest);
      if (before !== undefined) return { row: before, isNew: false };
    }
    const failureDomain = await this.#failureDomain(account.name, id, spec);
    await this.#checkQuota(account);
    const row = newRow({ account: account.name, id, spec, digest, failureDomain }, this.#clock);
    return this.#create(row);
  }

  /** A job of the account. */
  async read(account: string, id: string): Promise<JobRow> {
    return (await this.#record(account, id)).row;
  }

  /** Notes that the account wants the job cancelled, and has its owner act on it. Final jobs stay as they are. */
  async cancel(account: string, id: string): Promise<JobRow> {
    const { owners } = this.#options;
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
      const record = await this.#record(account, id);
      if (isFinal(record.row)) return record.row;
      // One write instead of two where nothing is reserved: cancellations come in waves.
      if (await owners.cancelQueued(record.row)) return this.read(account, id);
      if (record.row.cancelRequested || (await this.#requestCancel(record))) {
        await owners.jobCancelled(record.row);
        return this.read(account, id);
      }
    }
    throw new ProblemError(
      problem('conflict', {
        detail: `Job ${id} kept changing while it was being cancelled.`,
        remedy: 'Cancel it again.',
        ran: 'unknown',
      }),
    );
  }

  async #requestCancel(record: JobRecord): Promise<boolean> {
    const { ctx, store } = this.#options;
    const changed = changeJob(record.row, { type: 'request-cancel' });
    if (!changed.ok) return false;
    const saved = await store.save(record, changed.row);
    if (saved === 'conflict') return false;
    const key = jobKey(record.row.account, record.row.id);
    ctx.metrics.count('job.cancel-requested');
    ctx.timeline.record('job.cancel-requested', key, { job: key });
    return true;
  }

  get #clock(): Clock {
    return this.#options.ctx.clock;
  }

  async #record(account: string, id: string): Promise<JobRecord> {
    const record = await reading(() => this.#options.store.read(account, id));
    if (record === undefined) throw notFound('job', id);
    return record;
  }

  #checkKind({ kind }: JobSpec): void {
    const kinds = this.#options.bundles.current?.bundle.kinds ?? [];
    const known = kinds.find(({ name }) => name === kind);
    if (known?.path === 'job') return;
    throw new ProblemError(
      problem('bad-input', {
        detail: known ? `Kind ${kind} is served as requests.` : `There is no kind ${kind}.`,
        remedy: 'Name a job kind of the bundle in force.',
      }),
    );
  }

  async #repeated(account: string, id: string, digest: string): Promise<JobRow | undefined> {
    const before = await reading(() => this.#options.store.read(account, id));
    if (before === undefined) return undefined;
    if (before.row.digest === digest) return before.row;
    throw new ProblemError(
      problem('key-reused', {
        detail: `This Idempotency-Key belongs to job ${id}, which was submitted with another body.`,
        remedy: 'Send a new key with a new job.',
        facts: { job: id },
      }),
    );
  }

  async #failureDomain(account: string, id: string, spec: JobSpec): Promise<string> {
    const { owners } = this.#options;
    if (spec.claim !== undefined) return this.#claimedDomain(account, spec.claim);
    const { kind, shape } = spec;
    return chooseFailureDomain(id, shape, owners.outlook.view({ account, kind, shape }));
  }

  async #claimedDomain(account: string, id: string): Promise<string> {
    const claim = await this.#options.claims.read(account, id);
    if (claim === undefined) throw notFound('claim', id);
    if (!isOver(claim.row)) return claim.row.failureDomain;
    throw new ProblemError(
      problem('conflict', {
        detail: `Claim ${id} is ${claim.row.state}.`,
        remedy: 'Claim the guarantee again and name the new claim.',
      }),
    );
  }

  async #checkQuota({ name, quota }: ClientAccount): Promise<void> {
    const full = await this.#options.counts.full(name, quota.queuedJobs);
    if (full === undefined) return;
    const { queued, retryAfterMs } = full;
    this.#options.ctx.metrics.count('job.refused', 1, { kind: 'quota-exceeded' });
    throw new ProblemError(
      problem('quota-exceeded', {
        detail: `${queued} jobs of account ${name} wait; its quota is ${quota.queuedJobs}.`,
        remedy: 'Wait until some have started, or cancel some.',
        retryAfterMs,
        facts: { queued, quota: quota.queuedJobs },
      }),
    );
  }

  async #create(row: JobRow): Promise<Submitted> {
    const { ctx, store, counts, owners } = this.#options;
    const created = await this.#write(row);
    if (created === 'conflict') {
      const before = await this.#repeated(row.account, row.id, row.digest);
      return { row: before ?? (await store.read(row.account, row.id))?.row ?? row, isNew: false };
    }
    const key = jobKey(row.account, row.id);
    ctx.metrics.count('job.accepted');
    ctx.timeline.record('job.accepted', key, { job: key, failureDomain: row.failureDomain });
    counts.added(row.account);
    owners.outlook.sent(row.failureDomain, row.spec.shape);
    // Not awaited: the job is safe in its row, and the owner would find it there.
    void owners.jobQueued(row, created.version);
    return { row, isNew: true };
  }

  async #write(row: JobRow): Promise<JobRecord | 'conflict'> {
    try {
      return await this.#options.store.create(row);
    } catch (err) {
      const { ran, detail } = toProblem(err);
      this.#options.ctx.metrics.count('job.refused', 1, { kind: 'store-unavailable' });
      throw new ProblemError(
        problem('store-unavailable', {
          detail,
          ran,
          remedy:
            ran === 'not-run'
              ? 'The job was not accepted: submit it again after the time given.'
              : `It may have been accepted: ask for job ${row.id}, or repeat it with the same Idempotency-Key.`,
          retryAfterMs: RETRY_AFTER_MS,
          facts: { job: row.id },
        }),
      );
    }
  }
}

function newRow(
  base: Pick<JobRow, 'account' | 'id' | 'spec' | 'digest' | 'failureDomain'>,
  clock: Clock,
): JobRow {
  return {
    ...base,
    state: 'queued',
    attempt: 0,
    ranBefore: 'not-run',
    term: 0,
    members: [],
    cancelRequested: false,
    submittedAt: clock.wall(),
  };
}
