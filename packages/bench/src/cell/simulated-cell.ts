/** A cell's owner and its workers in virtual time: the owner's own scheduler decides, everything else is simulated. */
import {
  DEFAULT_CELL_POLICY,
  Evacuations,
  FleetProfile,
  Scheduler,
  ordersFor,
  parseTaskName,
  applyContact,
  type CellPolicy,
  type Demand,
  type OwnedJob,
} from '@zincspan/cell';
import { quietContext } from '@zincspan/core';
import { SIMULATED_SERVICE, type DrawnJob } from './cell-load.js';
import {
  SimulatedWorker,
  spreadFactor,
  stepOf,
  workOf,
  type SimulatedRun,
  type WorkerFault,
} from './simulated-worker.js';

/** One step of virtual time, in ms: what a start takes from its decision to the runner. */
const TICK_MS = 20;

/** A guard is in contact this often, in ms, and as soon as a run ends. */
const CONTACT_EVERY_MS = 400;

/** Pause between passes when nothing happens, in ms. */
const PASS_EVERY_MS = 200;

/** How much longer a slower worker takes. */
const SLOWER_FACTOR = 1.3;

const LEASE_MS = 6000;
const EARLIER_GRANT_MS = 0;

/** The workers of a cell. */
export interface CellShape {
  workers: number;
  workersPerRack: number;
  capacity: Demand;
  /** One worker in so many takes `SLOWER_FACTOR` times as long for everything; none by default. */
  slowerEvery?: number;
  /** Racks are spread over so many; 1 by default. */
  failureDomains?: number;
  reclaim: { reclaimMs: number; stopMs: number };
}

/** What came of a job. Time from acceptance, in ms; undefined: not done. */
export interface PlayedJob {
  job: DrawnJob;
  tookMs: number | undefined;
}

/** What came of a day. */
export interface DayResult {
  jobs: PlayedJob[];
  /** Accelerator-seconds of work that was done and lost. */
  thrownAway: number;
  /** What each pass took on this machine, in ms. */
  passMs: number[];
}

/** Nothing is evacuated on any day. */
function noEvacuations(): Evacuations {
  const source = { table: 'operator', part: '', keyPrefix: 'evacuation/' };
  const evacuations = new Evacuations({ source, staleAfterMs: Infinity });
  evacuations.applyRead([], 0);
  return evacuations;
}

/** One day. */
export class SimulatedCell {
  readonly #workers: SimulatedWorker[];

  readonly #scheduler: Scheduler;

  readonly #jobs = new Map<string, DrawnJob>();

  readonly #doneAt = new Map<string, number>();

  readonly #dirty = new Set<OwnedJob>();

  readonly #news = new Set<string>();

  readonly #contactAt = new Map<string, number>();

  #now = 0;

  #version = 1;

  #thrownAway = 0;

  readonly #passMs: number[] = [];

  readonly #profile: FleetProfile;

  constructor({
    workers,
    workersPerRack,
    capacity,
    slowerEvery = Infinity,
    failureDomains = 1,
    reclaim,
    policy = DEFAULT_CELL_POLICY,
  }: CellShape & { policy?: CellPolicy }) {
    this.#profile = new FleetProfile([{ service: SIMULATED_SERVICE, capacity }]);
    this.#workers = Array.from(
      { length: workers },
      (_, index) =>
        new SimulatedWorker({
          vm: `vm-${index}`,
          rack: `rack-${Math.floor(index / workersPerRack)}`,
          capacity,
          failureDomain: `hall-${Math.floor(index / workersPerRack) % failureDomains}`,
          usualSpeed: index % slowerEvery === 0 && index > 0 ? 1 / SLOWER_FACTOR : 1,
        }),
    );
    const now = (): number => this.#now;
    this.#scheduler = new Scheduler({
      ctx: quietContext({ id: 'entry-1', clock: { now, wall: now } }),
      leaseMs: LEASE_MS,
      previousOwnerGrantMs: EARLIER_GRANT_MS,
      reclaim,
      evacuations: noEvacuations(),
      config: () => undefined,
      policy,
      events: {
        onProgressChanged: (job) => this.#dirty.add(job),
        onOrdersChanged: (vm) => this.#news.add(vm),
      },
    });
  }

  /** Plays a day. `faults`: by worker. */
  play(
    jobs: readonly DrawnJob[],
    faults: ReadonlyMap<number, readonly WorkerFault[]>,
    lengthMs: number,
  ): DayResult {
    faults.forEach((each, index) => this.#workers[index]?.faults.push(...each));
    const waiting = [...jobs];
    let passDue = 0;
    for (; this.#now < lengthMs; this.#now += TICK_MS) {
      if (this.#doneAt.size === jobs.length) break;
      while (waiting[0] !== undefined && waiting[0].atMs <= this.#now) {
        this.#accept(waiting.shift());
      }
      this.#work();
      const hadNews = this.#contacts();
      if (hadNews || this.#now >= passDue) {
        this.#pass();
        passDue = this.#now + PASS_EVERY_MS;
      }
      this.#write();
    }
    return {
      jobs: jobs.map((job) => {
        const doneAt = this.#doneAt.get(job.submission.id);
        return { job, tookMs: doneAt === undefined ? undefined : doneAt - job.atMs };
      }),
      thrownAway: this.#thrownAway,
      passMs: this.#passMs,
    };
  }

  #accept(job: DrawnJob | undefined): void {
    if (job === undefined) return;
    const { submission } = job;
    this.#jobs.set(submission.id, job);
    const versions = { submissionVersion: 1, progressVersion: 0 };
    this.#scheduler.add({ id: submission.id, submission, ...versions, cancelled: false });
    this.#pass();
  }

  #pass(): void {
    const startedAt = performance.now();
    this.#scheduler.runPass();
    this.#passMs.push(performance.now() - startedAt);
  }

  /** Lets all runs work for one tick; sets that work together begin and end together. */
  #work(): void {
    this.#workers.forEach((worker) => {
      worker.endStopped(this.#now).forEach((run) => this.#throwAway(run));
      const leaving = worker.faults.find(({ kind }) => kind === 'leaving');
      if (leaving !== undefined && this.#now >= leaving.fromMs + leaving.forMs) {
        worker.faults.splice(worker.faults.indexOf(leaving), 1);
        worker.replace().forEach((run) => this.#throwAway(run));
        this.#news.add(worker.vm);
      }
    });
    this.#sets().forEach((set) => this.#workTogether(set));
  }

  #sets(): SimulatedRun[][] {
    const sets = new Map<string, SimulatedRun[]>();
    this.#workers.forEach(({ runs }) =>
      runs.forEach((run) => {
        const { id } = run.job.submission;
        const key = stepOf(run)?.gang ? `${id}.${run.step}#${run.run}` : run.task;
        sets.set(key, [...(sets.get(key) ?? []), run]);
      }),
    );
    return [...sets.values()];
  }

  #workTogether(set: readonly SimulatedRun[]): void {
    const [first] = set;
    if (first === undefined) return;
    const failingRuns = first.job.steps[first.step]?.failingRuns;
    const step = stepOf(first);
    const isWhole = !step?.gang || set.length === step.tasks;
    if (!isWhole || set.some(({ beginsAt }) => beginsAt > this.#now)) return;
    const speed = Math.min(...set.map(({ worker }) => worker.speed(this.#now)));
    set.forEach((run) =>
      Object.assign(run, { doneMs: run.doneMs + (TICK_MS * speed) / spreadFactor(set) }),
    );
    if (
      set.some(({ worker }) => worker.faultsAt(this.#now).some(({ kind }) => kind === 'failing'))
    ) {
      this.#endAll(set, 'failed');
    } else if (set.every((run) => run.doneMs >= workOf(run))) {
      const fails = set.some(({ run, index }) => run <= (failingRuns?.[index] ?? 0));
      this.#endAll(set, fails ? 'failed' : 'done');
    }
  }

  #endAll(set: readonly SimulatedRun[], how: 'done' | 'failed'): void {
    set.forEach((run) => {
      run.worker.end(run, how);
      this.#news.add(run.worker.vm);
    });
  }

  /** Contacts that are due; true if there were any. */
  #contacts(): boolean {
    const due = this.#workers.filter(
      ({ vm }) => this.#news.has(vm) || this.#now >= (this.#contactAt.get(vm) ?? 0),
    );
    this.#news.clear();
    due.forEach((worker) => this.#contact(worker));
    return due.length > 0;
  }

  #contact(worker: SimulatedWorker): void {
    const { registry } = this.#scheduler;
    this.#contactAt.set(worker.vm, this.#now + CONTACT_EVERY_MS);
    const known = registry.fleet.get(worker.vm);
    const contact = worker.contact(this.#now);
    applyContact(registry, known, contact);
    const orders = ordersFor(registry, known, contact);
    known.grantLease(this.#now, LEASE_MS);
    worker.confirm(orders.confirmedEnd);
    orders.stops.forEach((run) => worker.stop(run, this.#now));
    orders.starts.forEach((order) => {
      const parsed = parseTaskName(order.task);
      const job = this.#jobs.get(parsed?.jobId ?? '');
      if (parsed === undefined || job === undefined) return;
      worker.start(order, { job, step: parsed.ref.step, index: parsed.ref.index }, this.#now);
    });
    this.#noteDone(contact.ends);
  }

  #noteDone(ends: readonly { task: string }[]): void {
    ends.forEach(({ task }) => {
      const id = parseTaskName(task)?.jobId ?? '';
      const job = this.#scheduler.registry.jobs.get(id);
      if (job?.progress.outcome === 'completed' && !this.#doneAt.has(id)) {
        this.#doneAt.set(id, this.#now);
      }
    });
  }

  /** What was decided is durable one tick later; the guards concerned come for it. */
  #write(): void {
    const dirty = [...this.#dirty];
    this.#dirty.clear();
    dirty.forEach((job) => {
      this.#version += 1;
      job.markWritten(job.lastChange, this.#version);
    });
    const ids = new Set(dirty.map(({ id }) => id));
    this.#scheduler.registry.fleet.workersOfJobs(ids).forEach(({ vm }) => this.#news.add(vm));
  }

  #throwAway(run: SimulatedRun): void {
    const step = stepOf(run);
    if (step === undefined || step.checkpointing) return;
    const equivalents = this.#profile.acceleratorEquivalents(SIMULATED_SERVICE, step.demand);
    this.#thrownAway += (equivalents * run.doneMs) / 1000;
  }
}
