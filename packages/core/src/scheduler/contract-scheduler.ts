/** The scheduler of one failure domain: guarantees, contracts, fair share, reservations, and all-or-nothing gangs. */
import type { Bundle } from '../bundle/bundle.js';
import { ClaimBook } from '../guarantee/claim-book.js';
import type { Shape } from '../gang/shape.js';
import { Admissions } from './admissions.js';
import { DomainState, estimateQuery } from './domain-state.js';
import { summarize } from './fragmentation.js';
import { Overruns } from './overruns.js';
import { sizeOf } from './placer.js';
import { QueuePass, type Cleared, type Placed } from './queue-pass.js';
import { QueuedWork } from './queued-work.js';
import { Reservations } from './reservations.js';
import { RoomMaking } from './room-making.js';
import type { RunningJob } from './running-jobs.js';
import type {
  Decision,
  DomainScheduler,
  QueuedJob,
  QuotaDemand,
  SchedulerEvent,
  SchedulerSummary,
} from './scheduler.js';
import { Waits } from './waits.js';
import { WorkerWatch } from './worker-watch.js';

type Ended = Extract<SchedulerEvent, { type: 'job-ended' }>;
type Found = Extract<SchedulerEvent, { type: 'job-found' }>;

/** While jobs are blocked the queue is gone through again after this long, though nothing happened. */
const RETRY_MS = 1000;

/** Expected wait told of a job that could start only where a gang has a reservation. */
const IN_THE_WAY_MS = 1000;

/** Decides by contracts, guarantees and fair share. */
export class ContractScheduler implements DomainScheduler {
  readonly #state: DomainState;

  readonly #claims: ClaimBook;

  readonly #reservations: Reservations;

  readonly #queued = new QueuedWork();

  readonly #waits: Waits;

  readonly #pass: QueuePass;

  readonly #watch: WorkerWatch;

  readonly #overruns: Overruns;

  readonly #admissions: Admissions;

  /** Jobs whose place is being cleared: no longer in the queue. */
  readonly #clearing = new Map<string, Cleared>();

  /** Jobs queued since the last pass. */
  #fresh: QueuedJob[] = [];

  /** Capacity changes that the last full pass had seen, and when it was. */
  #passedReleases = -1;

  #passedAt = -Infinity;

  constructor({ failureDomain, bundle }: { failureDomain: string; bundle: Bundle }) {
    const state = new DomainState({ failureDomain, bundle });
    this.#state = state;
    this.#claims = new ClaimBook({ state });
    this.#reservations = new Reservations({ state });
    this.#waits = new Waits({ state, queued: this.#queued });
    this.#watch = new WorkerWatch({ state });
    this.#overruns = new Overruns({ state, reservations: this.#reservations });
    this.#admissions = new Admissions({
      state,
      claims: this.#claims,
      queued: this.#queued,
      waits: this.#waits,
    });
    this.#pass = new QueuePass({
      state,
      claims: this.#claims,
      reservations: this.#reservations,
      rooms: new RoomMaking({ state }),
      waits: this.#waits,
      queued: this.#queued,
    });
  }

  apply(event: SchedulerEvent, now: number): void {
    switch (event.type) {
      case 'bundle':
        this.#state.setBundle(event.bundle);
        this.#passedReleases = -1;
        break;
      case 'guarantee-copies':
        this.#state.setCopies(event.counts);
        this.#passedReleases = -1;
        break;
      case 'allotment':
        this.#state.fairShare.setAllotment(event.account, event.accelerators);
        this.#passedReleases = -1;
        break;
      case 'worker-ready':
        this.#state.addWorker(event.worker, now);
        break;
      case 'worker-left':
        if (event.how === 'lost') this.#loseWorker(event.worker);
        else this.#state.workers.drain(event.worker);
        break;
      case 'job-queued':
        this.#enqueue(event.job, now);
        break;
      case 'job-found':
        this.#found(event, now);
        break;
      case 'job-started':
        this.#started(event.key, now);
        break;
      case 'job-unplaced':
        this.#unplaced(event.key, event.worker, now);
        break;
      case 'job-ended':
        this.#ended(event, now);
        break;
      case 'job-cancelled':
        this.#cancelled(event.key, now);
        break;
      case 'job-usage':
        this.#overruns.usage(event);
        break;
      default:
        this.#applyClaim(event, now);
    }
  }

  decide(now: number): Decision[] {
    this.#state.workers.advance(now);
    const decisions = [...this.#watch.decide(now), ...this.#refuse(now)];
    decisions.push(...this.#settleClearings(now), ...this.#claims.decide(now));
    if (now >= this.#state.workers.settledAt()) decisions.push(...this.#repack());
    decisions.push(...this.#passQueue(now));
    decisions.push(...this.#overruns.decide(now));
    return decisions;
  }

  nextDecisionAt(now: number): number | undefined {
    const { workers } = this.#state;
    const times = [workers.nextChangeAt()];
    if (this.#pass.blocked > 0 || this.#claims.waiting > 0) times.push(this.#passedAt + RETRY_MS);
    if (now < workers.settledAt()) times.push(workers.settledAt());
    const due = times.filter((at) => at !== undefined);
    return due.length === 0 ? undefined : Math.max(now, Math.min(...due));
  }

  summary(): SchedulerSummary {
    const queuedShapes = [...this.#queued.shapes.values()];
    return {
      ...summarize({
        capacity: this.#state.capacity,
        bundle: this.#state.view.bundle,
        queued: queuedShapes,
      }),
      quarantined: this.#watch.quarantined(),
      queued: this.#state.queue.size + this.#clearing.size,
      queuedUrgent: this.#queued.urgentJobs,
      running: this.#state.running.size,
      claimsHeld: this.#claims.held,
    };
  }

  expectedWaitMs(account: string, kind: string, shape: Shape, now: number): number {
    const spec = { kind, shape, params: {} };
    const probe = { key: '', account, spec, submittedAt: now, attempt: 0 };
    const fit = this.#pass.fitOf(probe, now);
    if (fit === 'fits') return 0;
    // Enough for the caller's entry to prefer a failure domain where nobody is in a gang's way.
    if (fit === 'in-the-way') return IN_THE_WAY_MS;
    const urgent = this.#state.view.kind(kind).urgency === 'urgent';
    return this.#waits.expected(sizeOf(shape), urgent, now);
  }

  quotaDemand(account: string): QuotaDemand {
    return { inUse: this.#state.fairShare.counted(account), ...this.#queued.demand(account) };
  }

  #applyClaim(event: SchedulerEvent, now: number): void {
    if (event.type === 'claim-asked') this.#claims.ask(event);
    if (event.type === 'claim-found') this.#claims.found(event);
    if (event.type === 'claim-held') this.#claims.confirm(event.key);
    if (event.type === 'claim-released') {
      this.#claims.release(event.key);
      this.#admissions.claimReleased(event.key);
    }
    if (event.type === 'claim-unplaced') {
      this.#claims.unplaced(event.key);
      if (event.worker !== undefined) this.#watch.suspend(event.worker, now);
    }
    this.#passedReleases = -1;
  }

  #refuse(now: number): Decision[] {
    const refusals = this.#admissions.decide(now);
    refusals.forEach((refusal) => {
      if (refusal.type === 'refuse') this.#cancelled(refusal.key, now);
    });
    return refusals;
  }

  #loseWorker(worker: string): void {
    this.#state.loseWorker(worker);
    this.#claims.dropWorker(worker);
    this.#reservations.dropWorker(worker);
  }

  #enqueue(job: QueuedJob, now: number): void {
    if (this.#state.running.get(job.key) !== undefined || this.#clearing.has(job.key)) return;
    if (this.#state.queue.has(job.key)) return;
    if (!this.#admissions.accept(job, now)) return;
    this.#wait(job);
  }

  #wait(job: QueuedJob): void {
    this.#state.queue.add(job);
    this.#queued.change(job, this.#state.view.isUrgent(job), 1);
    this.#fresh.push(job);
  }

  /** Takes a job out of the queue. */
  #leaveQueue(job: QueuedJob): void {
    this.#state.queue.remove([job.key]);
    this.#queued.change(job, this.#state.view.isUrgent(job), -1);
    this.#pass.forget(job.key);
  }

  #cancelled(key: string, now: number): void {
    const queued = this.#state.queue.get(key);
    if (queued !== undefined) this.#leaveQueue(queued);
    const cleared = this.#clearing.get(key);
    const left = queued ?? cleared?.job;
    if (left !== undefined) this.#admissions.left(left, now);
    if (cleared === undefined) return;
    this.#clearing.delete(key);
    this.#queued.change(cleared.job, this.#state.view.isUrgent(cleared.job), -1);
    this.#state.clearings.remove(this.#state.capacity, key);
  }

  #found({ job, members, startedAt, within }: Found, now: number): void {
    const queued = this.#state.queue.get(job.key);
    if (queued !== undefined) this.#leaveQueue(queued);
    if (this.#state.running.get(job.key) !== undefined) return;
    const kind = this.#state.view.kind(job.spec.kind);
    const firm = !kind.idempotent && !kind.checkpointable;
    const place = { members, firm, inside: within !== undefined };
    this.#run({ job, place, ...(within === undefined ? {} : { within }) }, now);
    this.#started(job.key, startedAt);
  }

  #started(key: string, now: number): void {
    const running = this.#state.running.get(key);
    if (running !== undefined) running.startedAt ??= now;
  }

  #unplaced(key: string, worker: string | undefined, now: number): void {
    if (worker !== undefined) this.#watch.suspend(worker, now);
    const running = this.#remove(key, now);
    if (running !== undefined) this.#wait(running.job);
  }

  #ended(event: Ended, now: number): void {
    const running = this.#remove(event.key, now);
    if (running === undefined) return;
    this.#overruns.ended(running);
    this.#watch.ended(running, event.end, event.worker, now);
    this.#learn(running, event);
    if (!event.requeue) return;
    this.#wait({
      ...running.job,
      attempt: running.job.attempt + 1,
      savedMs: event.savedMs ?? running.job.savedMs ?? 0,
      evictions: (running.job.evictions ?? 0) + (running.leaving ? 1 : 0),
    });
  }

  #learn({ job }: RunningJob, { end, ranMs }: Ended): void {
    if (end === 'lost' || ranMs <= 0) return;
    this.#state.observe({
      ...estimateQuery(job),
      key: job.key,
      ranMs: ranMs + (job.savedMs ?? 0),
      outcome: end === 'succeeded' ? 'succeeded' : 'cut',
    });
  }

  #remove(key: string, now: number): RunningJob | undefined {
    const running = this.#state.unplace(key, now);
    if (running?.within !== undefined) {
      this.#claims.get(running.within)?.release(running.members);
    }
    return running;
  }

  #run({ job, place, within }: Placed, now: number): Decision {
    const { members, firm, inside } = place;
    const running = {
      job,
      kind: this.#state.view.kind(job.spec.kind),
      members,
      placedAt: now,
      startedAt: undefined,
      expectedEndAt: now + this.#state.runMs(job).p50Ms,
      inside,
      within,
      leaving: false,
    };
    this.#state.place(running, { firm, now });
    if (within !== undefined) this.#claims.get(within)?.take(members);
    return {
      type: 'place',
      key: job.key,
      members,
      ...(within === undefined ? {} : { within }),
    };
  }

  /** Places that are clear now go to the job or claim that they were cleared for. */
  #settleClearings(now: number): Decision[] {
    const { clearings, capacity } = this.#state;
    return clearings.settled().flatMap(({ key, members, broken }) => {
      clearings.remove(capacity, key);
      const cleared = this.#clearing.get(key);
      if (cleared === undefined) return this.#claims.cleared(key, members, broken);
      const { job, inside } = cleared;
      this.#clearing.delete(key);
      this.#queued.change(job, this.#state.view.isUrgent(job), -1);
      if (!broken) {
        this.#admissions.left(job, now);
        return [this.#run({ job, place: { members, firm: false, inside } }, now)];
      }
      this.#wait(job);
      return [];
    });
  }

  #repack(): Decision[] {
    return this.#state.homes
      .repack()
      .map(({ guarantee, why }) => ({ type: 'guarantee-broken', guarantee, why }));
  }

  /** All of the queue if something became free or time has passed, else only what is new. */
  #passQueue(now: number): Decision[] {
    const { queue, capacity } = this.#state;
    const changed = this.#passedReleases !== capacity.releases;
    const full = changed || now - this.#passedAt >= RETRY_MS;
    const fresh = this.#fresh;
    this.#fresh = [];
    if (!full && fresh.length === 0) return [];
    const jobs = full
      ? queue.inOrder(now, this.#pass.isHopeless)
      : fresh.filter(({ key }) => queue.has(key));
    const placed: QueuedJob[] = [];
    const { decisions, clearing } = this.#pass.run({ jobs, all: full }, now, (found) => {
      placed.push(found.job);
      this.#admissions.left(found.job, now);
      return this.#run(found, now);
    });
    placed.forEach((job) => this.#leaveQueue(job));
    clearing.forEach((cleared) => {
      const { job } = cleared;
      this.#leaveQueue(job);
      this.#queued.change(job, this.#state.view.isUrgent(job), 1);
      this.#clearing.set(job.key, cleared);
    });
    if (full) {
      this.#passedAt = now;
      this.#passedReleases = capacity.releases;
    }
    return decisions;
  }
}
