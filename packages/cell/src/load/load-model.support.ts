/**
 * Queue model of a cell in virtual time: entries with the real admission, an owner with the real summary and a simple order of
 * placement, and callers that return when they are told to. Tells what became of each job.
 */
import { ManualClock, quietContext } from '@zincspan/core';
import type { Demand } from '../job/submission.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import { LATE_LIMIT_OBJECTIVES, urgencyOf } from '../placing/job-urgency.js';
import { TEST_QUEUE } from '../testing/test-jobs.support.js';
import { AdmissionGate } from './admission-gate.js';
import { footprintOf } from './job-footprint.js';
import type { UsableSummary } from './load-reader.js';
import { ArrivalRate } from './arrival-rate.js';
import { buildLoadSummary } from './load-summary-builder.js';
import type { LoadSummary } from './load-summary.js';
import { changeFree, objectiveMs, tasksFitting, type ModelJob } from './model-job.support.js';
import { predict } from './prediction.js';
import { PredictionError, type PredictedTime } from './prediction-error.js';
import { RefusalRegister } from './refusal-register.js';
import { urgencyOfLog } from './urgency-rungs.js';

export const MODEL_WORKERS = 20;
const CAPACITY: Demand = { milliCores: 128_000, memoryMb: 512_000, accelerators: 8 };
const TICK_MS = 50;
const SUMMARY_MS = 400;
const HEARTBEAT_MS = 800;
const ENTRIES = 4;
const MAX_RETRIES = 4;

interface ModelRun {
  job: ModelJob;
  endsAt: number;
}

interface ModelWorker {
  runs: ModelRun[];
  free: Demand;
}

export class LoadModel {
  readonly clock = new ManualClock({ start: 1000 });

  readonly jobs: ModelJob[] = [];

  summary: LoadSummary | undefined;

  readonly #workers: ModelWorker[] = Array.from({ length: MODEL_WORKERS }, () => ({
    runs: [],
    free: { ...CAPACITY },
  }));

  readonly #gates: AdmissionGate[];

  readonly #received: (UsableSummary | undefined)[] = [];

  readonly #register = new RefusalRegister();

  readonly #error = new PredictionError();

  readonly #arrivals = new ArrivalRate();

  readonly #profile = new FleetProfile([{ service: TEST_QUEUE.service, capacity: CAPACITY }]);

  readonly #isOn: boolean;

  readonly #random: () => number;

  #returns: { job: ModelJob; at: number }[] = [];

  #waiting: ModelJob[] = [];

  #sequence = 0;

  constructor({ isOn, random }: { isOn: boolean; random: () => number }) {
    this.#isOn = isOn;
    this.#random = random;
    this.#gates = Array.from({ length: ENTRIES }, (_, index) => {
      const ctx = quietContext({ id: `entry-${index}`, clock: this.clock });
      return new AdmissionGate({
        ctx,
        current: () => this.#received[index],
        hasFairShares: true,
      });
    });
  }

  /** A caller submits a job for the first time now. */
  arrive(job: Pick<ModelJob, 'account' | 'queue' | 'step' | 'taskMs'>): void {
    const id = (this.jobs.length * 0x1_0001 + 1).toString(16).padStart(8, '0').padEnd(16, '0');
    const arrived: ModelJob = {
      ...job,
      id,
      firstAttemptAt: this.clock.now(),
      attempts: 0,
      refusals: [],
      acceptedAt: undefined,
      refusedForMs: 0,
      predictedMs: undefined,
      started: 0,
      done: 0,
      startedAt: undefined,
      completedAt: undefined,
    };
    this.jobs.push(arrived);
    this.#submit(arrived);
  }

  /** Lets one tick pass. */
  tick(): void {
    this.clock.advance(TICK_MS);
    const now = this.clock.now();
    this.#workers.forEach((worker) => this.#endRuns(worker, now));
    const due = this.#returns.filter(({ at }) => at <= now);
    this.#returns = this.#returns.filter(({ at }) => at > now);
    due.forEach(({ job }) => this.#submit(job));
    this.#place(now);
    if (now % SUMMARY_MS === 0) this.#summarise(now);
    this.#gates.forEach((gate, index) => {
      if ((now + index * 200) % HEARTBEAT_MS !== 0) return;
      this.#register.add(gate.reports(), now).forEach(({ work = 0, urgency = 0, firstRefusedAt }) =>
        this.#arrivals.add({
          service: TEST_QUEUE.service,
          urgency: urgencyOfLog(urgency),
          work,
          at: firstRefusedAt,
        }),
      );
      const computedAt = now - (now % SUMMARY_MS);
      this.#received[index] = this.summary && {
        summary: this.summary,
        computedAt,
        receivedAt: now,
      };
    });
  }

  /** True while a job runs or waits, or its caller will return. */
  get isBusy(): boolean {
    const isRunning = this.#workers.some(({ runs }) => runs.length > 0);
    return isRunning || this.#waiting.length > 0 || this.#returns.length > 0;
  }

  #submit(job: ModelJob): void {
    const now = this.clock.now();
    Object.assign(job, { attempts: job.attempts + 1 });
    const gate = this.#gates[Math.floor(this.#random() * ENTRIES)]!;
    const { id, queue, account: name, step } = job;
    const account = { name, keys: [], guaranteedAccelerators: 0 };
    const submission = { id, queue, account, job: { spec: '', steps: [step] } };
    const decision = this.#isOn ? gate.decide(submission) : undefined;
    if (decision?.outcome === 'refuse') {
      const { retryAfterMs } = gate.refuse(submission, decision);
      job.refusals.push({ at: now, retryAfterMs });
      const returnMs = Math.ceil(retryAfterMs / 1000) * 1000;
      if (job.attempts <= MAX_RETRIES) this.#returns.push({ job, at: now + returnMs });
      return;
    }
    if (decision !== undefined) gate.noteAccepted(submission, decision);
    const { account: owner } = job;
    const predicted =
      this.summary &&
      predict(
        this.summary,
        { queue: queue.name, account: owner, terms: queue, steps: [step] },
        { elapsedMs: 0, hasFairShares: true },
      );
    Object.assign(job, {
      acceptedAt: now,
      refusedForMs: this.#register.sinceFirstRefusalMs(id, now),
      predictedMs:
        predicted && predicted.completionMs <= LATE_LIMIT_OBJECTIVES * predicted.objectiveMs
          ? predicted.completionMs
          : undefined,
    });
    const work =
      ((step.tasks * step.demand.accelerators) / CAPACITY.accelerators) * step.estimateMs;
    if (job.refusedForMs === 0) {
      this.#arrivals.add({
        service: queue.service,
        urgency: this.#urgency(job, now),
        work,
        at: now,
      });
    }
    this.#waiting.push(job);
  }

  #endRuns(worker: ModelWorker, now: number): void {
    worker.runs
      .filter(({ endsAt }) => endsAt <= now)
      .forEach(({ job }) => {
        changeFree(worker.free, job.step.demand, 1);
        Object.assign(job, { done: job.done + 1 });
        if (job.done < job.step.tasks) return;
        Object.assign(job, { completedAt: now });
        const actualMs = now - (job.acceptedAt ?? now);
        const { predictedMs } = job;
        if (predictedMs !== undefined) this.#error.record({ predictedMs, actualMs });
      });
    Object.assign(worker, { runs: worker.runs.filter(({ endsAt }) => endsAt > now) });
  }

  #urgency(job: ModelJob, now: number): number {
    const { step, queue } = job;
    const taskWork = this.#profile.acceleratorEquivalents(queue.service, step.demand);
    const work = taskWork * step.estimateMs;
    return urgencyOf({
      priority: queue.priority,
      claim: false,
      totalWork: work * step.tasks,
      remainingWork: work * (step.tasks - job.done),
      meanWork: this.#meanWork(),
      ageMs: now - (job.acceptedAt ?? now) + job.refusedForMs,
      objectiveMs: objectiveMs(job),
      remainingCriticalPathMs: step.estimateMs,
    });
  }

  #meanWork(): number {
    const [first] = this.jobs;
    if (first === undefined) return 0;
    const { step, queue } = first;
    return (
      this.#profile.acceleratorEquivalents(queue.service, step.demand) *
      step.estimateMs *
      step.tasks
    );
  }

  /** Accounts within their share first, then the most urgent; a gang that doesn't fit keeps what becomes free. */
  #place(now: number): void {
    const used = new Map<string, number>();
    this.#workers.forEach(({ runs }) =>
      runs.forEach(({ job }) =>
        used.set(job.account, (used.get(job.account) ?? 0) + job.step.demand.accelerators),
      ),
    );
    const accounts = new Set([...this.#waiting.map(({ account }) => account), ...used.keys()]);
    const share = (MODEL_WORKERS * CAPACITY.accelerators) / Math.max(1, accounts.size);
    const isOver = (job: ModelJob): number => Number((used.get(job.account) ?? 0) >= share);
    const ranked = this.#waiting
      .map((job) => ({ job, urgency: this.#urgency(job, now) }))
      .sort((a, b) => isOver(a.job) - isOver(b.job) || b.urgency - a.urgency)
      .map(({ job }) => job);
    const kept = new Set<ModelWorker>();
    ranked.forEach((job) => this.#placeJob(job, now, kept));
    this.#waiting = this.#waiting.filter(({ step, started }) => started < step.tasks);
  }

  #placeJob(job: ModelJob, now: number, kept: Set<ModelWorker>): void {
    const { step } = job;
    const open = step.tasks - job.started;
    const places = this.#workers
      .filter((worker) => !kept.has(worker))
      .sort((a, b) => a.free.accelerators - b.free.accelerators)
      .flatMap((worker) =>
        Array.from({ length: tasksFitting(worker.free, step.demand) }, () => worker),
      )
      .slice(0, open);
    if (step.gang && places.length < step.tasks) {
      [...this.#workers]
        .filter((worker) => !kept.has(worker))
        .sort((a, b) => b.free.accelerators - a.free.accelerators)
        .slice(0, Math.ceil((step.tasks * step.demand.accelerators) / CAPACITY.accelerators))
        .forEach((worker) => kept.add(worker));
      return;
    }
    places.forEach((worker) => {
      changeFree(worker.free, step.demand, -1);
      worker.runs.push({ job, endsAt: now + job.taskMs });
    });
    if (places.length > 0) Object.assign(job, { startedAt: job.startedAt ?? now });
    Object.assign(job, { started: job.started + places.length });
  }

  #pending(now: number): PredictedTime[] {
    return this.jobs.flatMap(({ acceptedAt, completedAt, predictedMs }) =>
      acceptedAt === undefined || completedAt !== undefined || predictedMs === undefined
        ? []
        : { predictedMs, actualMs: now - acceptedAt },
    );
  }

  #summarise(now: number): void {
    const { service, name } = TEST_QUEUE;
    const expectedMs = ({ estimateMs }: { estimateMs: number }): number => estimateMs;
    this.#sequence += 1;
    this.summary = buildLoadSummary({
      term: 1,
      sequence: this.#sequence,
      workers: this.#workers.map(({ runs }) => ({
        service,
        capacity: CAPACITY,
        runs: runs.map(({ job, endsAt }) => ({
          isUrgent: false,
          demand: job.step.demand,
          // The owner knows estimates only.
          endsInMs: Math.max(
            job.step.estimateMs / 4,
            endsAt - job.taskMs + job.step.estimateMs - now,
          ),
        })),
      })),
      waiting: this.#waiting.map((job) => ({
        ...footprintOf([{ step: job.step, count: job.step.tasks - job.started }], {
          typical: CAPACITY,
          expectedMs,
        }),
        queue: name,
        account: job.account,
        service,
        urgency: this.#urgency(job, now),
      })),
      refused: this.#register
        .expected(now, (id) =>
          this.jobs.some((job) => job.id === id && job.acceptedAt !== undefined),
        )
        .map(({ id, firstRefusedAt, work = 0, urgency = 0 }) => ({
          id,
          service,
          priority: TEST_QUEUE.priority,
          work,
          urgency: urgencyOfLog(urgency),
          ageMs: now - firstRefusedAt,
        })),
      arriving: (own) => this.#arrivals.of(own, now),
      queues: [{ name, meanWork: this.#meanWork(), expectedMs: (ms) => ms }],
      urgentAccelerators: new Map(),
      error: this.#error.quantiles(this.#pending(now)),
    });
  }
}
