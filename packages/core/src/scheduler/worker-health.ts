/**
 * Finds workers that fail what others finish. A failure counts against its worker only once the same job, or
 * work of the same account and kind, has finished elsewhere; a job that fails on two workers is itself suspect
 * and counts against none.
 */
import { JobFailures } from './job-failures.js';
import { KindRecord } from './kind-record.js';

/** How a task ended on a worker. Stops, losses and cancellations aren't told: they are nobody's failure. */
export interface TaskVerdict {
  worker: string;
  job: string;
  account: string;
  kind: string;
  succeeded: boolean;
}

/** Work that might go to a worker on probation. */
export interface ProbationTask {
  idempotent: boolean;
  accelerators: number;
}

/** A quarantine to announce, or to lift: then `until` is now. Times in ms of the clock passed in. */
export interface Quarantine {
  worker: string;
  until: number;
  why: string;
}

export type HealthState = 'healthy' | 'quarantined' | 'probation';

interface Record {
  /** Distinct jobs that count against the worker, by job key. */
  evidence: Map<string, { group: string; at: number }>;
  until: number;
  durationMs: number;
  state: HealthState;
  /** Job on probation, and successes so far. */
  trial: string | undefined;
  passed: number;
}

const PROBATION_SUCCESSES = 2;
const SMALL_TASK_ACCELERATORS = 1;
const LONGEST_QUARANTINE_MS = 86_400_000;
const EVIDENCE_MS = 3_600_000;

/** Health of the workers of one failure domain. */
export class WorkerHealth {
  readonly #quarantineAfter: number;

  readonly #probationMs: number;

  readonly #maxShare: number;

  readonly #workers = new Map<string, Record>();

  readonly #jobs = new JobFailures();

  readonly #kinds = new KindRecord();

  constructor({
    quarantineAfter = 3,
    probationMs = 300_000,
    maxQuarantinedShare = 0.2,
  }: { quarantineAfter?: number; probationMs?: number; maxQuarantinedShare?: number } = {}) {
    this.#quarantineAfter = quarantineAfter;
    this.#probationMs = probationMs;
    this.#maxShare = maxQuarantinedShare;
  }

  /** A worker is there; the bound on quarantines is a share of the known ones. */
  add(worker: string): void {
    if (this.#workers.has(worker)) return;
    this.#workers.set(worker, {
      evidence: new Map(),
      until: 0,
      durationMs: this.#probationMs,
      state: 'healthy',
      trial: undefined,
      passed: 0,
    });
  }

  /** A worker is gone for good. Keep those that only restart: their record should last. */
  remove(worker: string): void {
    this.#workers.delete(worker);
  }

  /** Notes a task's end; returns the quarantines that follow from it, or are lifted by it. */
  taskEnded(verdict: TaskVerdict, now: number): Quarantine[] {
    this.add(verdict.worker);
    this.#kinds.note(verdict, now);
    if (verdict.succeeded) return this.#succeeded(verdict, now);
    return this.#failed(verdict, now);
  }

  /** State at `now`; a quarantine that has run out becomes probation. */
  state(worker: string, now: number): HealthState {
    const record = this.#workers.get(worker);
    if (record === undefined) return 'healthy';
    if (record.state === 'quarantined' && record.until <= now) {
      record.state = 'probation';
      record.passed = 0;
      record.trial = undefined;
    }
    return record.state;
  }

  /** May this task be placed there now? On probation: one small idempotent task at a time. */
  mayUse(worker: string, task: ProbationTask, now: number): boolean {
    const state = this.state(worker, now);
    if (state === 'healthy') return true;
    if (state === 'quarantined') return false;
    if (this.#workers.get(worker)?.trial !== undefined) return false;
    return task.idempotent && task.accelerators <= SMALL_TASK_ACCELERATORS;
  }

  /** A task was placed on a worker: if that is on probation, this is its trial. */
  placed(worker: string, job: string, now: number): void {
    if (this.state(worker, now) !== 'probation') return;
    const record = this.#workers.get(worker);
    if (record) record.trial = job;
  }

  /** A placed task ended without a verdict (stopped, lost, cancelled): another may be tried. */
  released(worker: string, job: string): void {
    const record = this.#workers.get(worker);
    if (record?.trial === job) record.trial = undefined;
  }

  /** Workers in quarantine now. */
  quarantined(now: number): string[] {
    return [...this.#workers.keys()].filter((id) => this.state(id, now) === 'quarantined');
  }

  /** When the next quarantine runs out, if any. */
  nextChangeAt(now: number): number | undefined {
    const ends = this.quarantined(now).map((id) => this.#workers.get(id)?.until ?? now);
    return ends.length === 0 ? undefined : Math.min(...ends);
  }

  /** Workers that a retry of this job should keep off, to tell whose fault its failure was; none if it's suspect. */
  failedOn(job: string): string[] {
    return this.isSuspect(job) ? [] : this.#jobs.workersOf(job);
  }

  /** Is this job failing wherever it runs? */
  isSuspect(job: string): boolean {
    return this.#jobs.isSuspect(job);
  }

  #succeeded({ worker, job, account, kind }: TaskVerdict, now: number): Quarantine[] {
    this.#forgive(worker, `${account}/${kind}`);
    this.#passTrial(worker, job);
    const blamed = this.#jobs.succeeded(job, worker);
    // Its failures elsewhere were the workers' fault after all; so may be others of this kind.
    blamed.forEach(({ worker: id, group }) => this.#blame(id, job, group, now));
    const waiting = this.#jobs.waitingIn(`${account}/${kind}`, worker);
    waiting
      .filter(({ worker: id }) => this.#kinds.finishesElsewhere({ account, kind, worker: id }, now))
      .forEach((failure) => this.#blame(failure.worker, failure.job, failure.group, now));
    const touched = new Set([...blamed, ...waiting].map(({ worker: id }) => id));
    return [...touched].flatMap((id) => this.#judge(id, now));
  }

  #failed({ worker, job, account, kind }: TaskVerdict, now: number): Quarantine[] {
    const group = `${account}/${kind}`;
    const cleared = this.#jobs.failed({ job, worker, group, at: now });
    const lifted = cleared.filter((id) => this.#clear(id, job, now));
    if (this.#jobs.isSuspect(job)) {
      this.released(worker, job);
      return lifted.map((id) => ({ worker: id, until: now, why: `${job} fails elsewhere too` }));
    }
    if (this.#relapsed(worker, job)) return [this.#quarantine(worker, now, 'failed on probation')];
    if (!this.#kinds.finishesElsewhere({ account, kind, worker }, now)) return [];
    this.#blame(worker, job, group, now);
    return this.#judge(worker, now);
  }

  #blame(worker: string, job: string, group: string, now: number): void {
    this.#workers.get(worker)?.evidence.set(job, { group, at: now });
    this.#jobs.count(job, worker);
  }

  /** Work of one kind done well takes back one failure of it. */
  #forgive(worker: string, group: string): void {
    const evidence = this.#workers.get(worker)?.evidence;
    const found = [...(evidence ?? [])].find(([, failure]) => failure.group === group);
    if (found) evidence?.delete(found[0]);
  }

  /** The job turned out to be at fault: what it counted against a worker is taken back. True if that frees it. */
  #clear(worker: string, job: string, now: number): boolean {
    const record = this.#workers.get(worker);
    if (record === undefined) return false;
    const counted = record.evidence.delete(job);
    const relapse = record.trial === job;
    if (record.state !== 'quarantined' || (!counted && !relapse)) return false;
    if (!relapse && record.evidence.size >= this.#quarantineAfter) return false;
    record.until = now;
    record.trial = undefined;
    if (relapse) record.durationMs = Math.max(this.#probationMs, record.durationMs / 2);
    if (!relapse) record.state = 'healthy';
    return true;
  }

  #passTrial(worker: string, job: string): void {
    const record = this.#workers.get(worker);
    if (record?.state !== 'probation' || record.trial !== job) return;
    record.trial = undefined;
    record.passed += 1;
    if (record.passed < PROBATION_SUCCESSES) return;
    record.state = 'healthy';
    record.evidence.clear();
  }

  #relapsed(worker: string, job: string): boolean {
    const record = this.#workers.get(worker);
    return record?.state === 'probation' && record.trial === job;
  }

  #judge(worker: string, now: number): Quarantine[] {
    const record = this.#workers.get(worker);
    if (record === undefined || this.state(worker, now) !== 'healthy') return [];
    [...record.evidence]
      .filter(([, { at }]) => now - at > EVIDENCE_MS)
      .forEach(([job]) => record.evidence.delete(job));
    if (record.evidence.size < this.#quarantineAfter) return [];
    if (!this.#hasRoom(now)) return [];
    const why = `failed ${record.evidence.size} jobs of a kind that others finish`;
    return [this.#quarantine(worker, now, why)];
  }

  /** Quarantining most of a failure domain would be worse than any single bad worker. */
  #hasRoom(now: number): boolean {
    const bound = Math.max(1, Math.floor(this.#workers.size * this.#maxShare));
    return this.quarantined(now).length < bound;
  }

  #quarantine(worker: string, now: number, why: string): Quarantine {
    const record = this.#workers.get(worker) as Record;
    const again = record.state === 'probation';
    if (again) record.durationMs = Math.min(record.durationMs * 2, LONGEST_QUARANTINE_MS);
    record.state = 'quarantined';
    record.until = now + record.durationMs;
    return { worker, until: record.until, why };
  }
}
