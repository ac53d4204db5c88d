/** One failure domain: the real scheduler, and stand-ins for what carries its decisions out. */
import {
  Capacity,
  createScheduler,
  emptyCapacity,
  fitsEmpty,
  fragmentation,
  type AttemptEnd,
  type Bundle,
  type Decision,
  type DomainScheduler,
  type Member,
  type SchedulerEvent,
  type Worker,
} from '@zincspan/core';
import type { VirtualTime } from '../route/virtual-time.js';
import { isNight } from './scenario.js';
import type { Tally } from './tally.js';
import type { Submission } from './workload.js';

/** A job as the domain carries it out. Times in ms. */
interface Attempt {
  submission: Submission;
  members: Member[];
  savedMs: number;
  startedAt: number | undefined;
  /** Grows with each attempt, so that timers of an earlier one are void. */
  serial: number;
}

/** Where jobs that nobody claims are asked to be placed, and how demand is weighed. */
export type Demand = Parameters<typeof fragmentation>[1];

const RESERVE_MS = 20;
const FAIL_AFTER_MS = 2000;
const MAX_ATTEMPTS = 6;
/** Writing a checkpoint takes this long. */
const CHECKPOINT_MS = 4000;

/** Carries out decisions in virtual time. */
export class FakeDomain {
  readonly name: string;

  readonly scheduler: DomainScheduler;

  /** What really runs where. */
  readonly #capacity = new Capacity();

  readonly #empty: Capacity;

  readonly #attempts = new Map<string, Attempt>();

  readonly #submissions = new Map<string, { submission: Submission; attempts: number }>();

  readonly #claims = new Map<string, { askedAt: number; withinMs: number; heldMs: number }>();

  readonly #held = new Map<string, Member[]>();

  readonly #failing = new Set<string>();

  readonly #time: VirtualTime;

  readonly #tally: Tally;

  readonly #bundle: Bundle;

  #serial = 0;

  #timerAt = Infinity;

  /** Decisions made, and the time that they took. */
  decided = 0;

  constructor({
    name,
    workers,
    bundle,
    time,
    tally,
  }: {
    name: string;
    workers: Worker[];
    bundle: Bundle;
    time: VirtualTime;
    tally: Tally;
  }) {
    this.name = name;
    this.#time = time;
    this.#tally = tally;
    this.#bundle = bundle;
    this.scheduler = createScheduler({ failureDomain: name, bundle });
    this.#empty = emptyCapacity(workers);
    workers.forEach((worker) => this.#capacity.add(worker));
    workers.forEach((worker) => this.#apply({ type: 'worker-ready', worker }));
    this.#decide();
  }

  get workers(): string[] {
    return [...this.#capacity.workers.keys()];
  }

  /** Jobs that aren't done yet. */
  get load(): number {
    return this.#submissions.size;
  }

  fail(worker: string): void {
    this.#failing.add(worker);
  }

  submit(submission: Submission): void {
    this.#submissions.set(submission.key, { submission, attempts: 0 });
    this.#queue(submission, 0, 0);
  }

  cancel(key: string): void {
    if (!this.#submissions.delete(key)) return;
    this.#send({ type: 'job-cancelled', key });
    if (this.#attempts.has(key)) this.#end(key, 'cancelled', { requeue: false });
  }

  /** Keys of an account's unfinished jobs. */
  keysOf(account: string): string[] {
    return [...this.#submissions]
      .filter(([, s]) => s.submission.account === account)
      .map(([k]) => k);
  }

  claim(
    key: string,
    {
      account,
      guarantee,
      withinMs,
      heldMs,
    }: Record<'account' | 'guarantee', string> & Record<'withinMs' | 'heldMs', number>,
  ): void {
    const askedAt = this.#time.now;
    this.#claims.set(key, { askedAt, withinMs, heldMs });
    this.#send({ type: 'claim-asked', key, account, guarantee, askedAt });
  }

  /** Loses a rack; it comes back after `forMs`. */
  loseRack(forMs: number): void {
    const [first] = this.#capacity.racks.values();
    const specs = (first?.workers ?? []).map(({ spec }) => spec);
    const names = specs.map(({ id }) => id);
    this.#time.after(forMs, () =>
      specs.forEach((worker) => {
        this.#capacity.add(worker);
        this.#send({ type: 'worker-ready', worker });
      }),
    );
    names.forEach((worker) => {
      this.#capacity.remove(worker);
      this.#apply({ type: 'worker-left', worker, how: 'lost' });
    });
    [...this.#attempts]
      .filter(([, { members }]) => members.some(({ worker }) => names.includes(worker)))
      .forEach(([key]) => this.#end(key, 'lost', { requeue: true }));
    this.#decide();
  }

  /** Claims that were never held by the end. */
  closeClaims(): void {
    this.#claims.forEach(({ askedAt, withinMs }) => {
      this.#tally.claimWaits.push({ waitMs: this.#time.now - askedAt, withinMs });
    });
  }

  /** One sample of the figures that are averaged over time. */
  sample(demand: Demand): void {
    const lost = fragmentation(this.#capacity, demand);
    this.#tally.frag.push(lost);
    if (isNight(this.#time.now)) this.#tally.fragNight.push(lost);
    const [roomiest] = this.#capacity.racksByFree.descending(0);
    this.#tally.largest.push(roomiest?.free ?? 0);
    this.#tally.available += this.#capacity.accelerators;
    this.#tally.busy += this.#capacity.accelerators - this.#capacity.free;
  }

  #queue(submission: Submission, attempt: number, savedMs: number): void {
    const { key, account, spec, atMs } = submission;
    this.#send({
      type: 'job-queued',
      job: { key, account, spec, submittedAt: atMs, attempt, savedMs },
    });
  }

  #apply(event: SchedulerEvent): void {
    this.scheduler.apply(event, this.#time.now);
  }

  #send(event: SchedulerEvent): void {
    this.#apply(event);
    this.#decide();
  }

  #decide(): void {
    const decisions = this.scheduler.decide(this.#time.now);
    this.decided += 1;
    decisions.forEach((decision) => this.#carryOut(decision));
    const next = this.scheduler.nextDecisionAt(this.#time.now);
    if (next === undefined || next >= this.#timerAt) return;
    this.#timerAt = next;
    this.#time.after(Math.max(1, next - this.#time.now), () => {
      if (this.#timerAt !== next) return;
      this.#timerAt = Infinity;
      this.#decide();
    });
  }

  #carryOut(decision: Decision): void {
    if (decision.type === 'place') this.#place(decision.key, decision.members);
    if (decision.type === 'evict') this.#evict(decision.key, decision.limitMs);
    if (decision.type === 'hold') this.#hold(decision.key, decision.members);
    if (decision.type === 'refuse') this.#refuse(decision);
  }

  #place(key: string, members: Member[]): void {
    const known = this.#submissions.get(key);
    if (known === undefined) return;
    assertFree(this.#capacity, members, key);
    this.#capacity.take(members);
    known.attempts += 1;
    this.#serial += 1;
    const serial = this.#serial;
    const { submission } = known;
    const savedMs = this.#saved.get(key) ?? 0;
    this.#attempts.set(key, { submission, members, savedMs, startedAt: undefined, serial });
    this.#time.after(RESERVE_MS, () => this.#start(key, serial));
  }

  readonly #saved = new Map<string, number>();

  #start(key: string, serial: number): void {
    const attempt = this.#attempts.get(key);
    if (attempt?.serial !== serial) return;
    attempt.startedAt = this.#time.now;
    const fate = this.#tally.fates.get(key)!;
    fate.startedAt ??= this.#time.now;
    this.#send({ type: 'job-started', key });
    const bad = attempt.members.find(({ worker }) => this.#failing.has(worker))?.worker;
    if (bad !== undefined) {
      this.#time.after(FAIL_AFTER_MS, () => this.#fail(key, serial, bad));
      return;
    }
    this.#time.after(attempt.submission.runMs - attempt.savedMs, () => {
      if (this.#attempts.get(key)?.serial !== serial) return;
      fate.endedAt = this.#time.now;
      this.#submissions.delete(key);
      this.#end(key, 'succeeded', { requeue: false });
    });
  }

  #fail(key: string, serial: number, worker: string): void {
    if (this.#attempts.get(key)?.serial !== serial) return;
    const known = this.#submissions.get(key);
    const { idempotent } = this.#kindOf(key);
    const requeue = idempotent && (known?.attempts ?? 0) < MAX_ATTEMPTS;
    this.#end(key, 'failed', { requeue, worker });
  }

  #kindOf(key: string): { idempotent: boolean; checkpointable: boolean } {
    const name = this.#submissions.get(key)?.submission.spec.kind;
    return this.#bundle.kinds.find((kind) => kind.name === name)!;
  }

  #evict(key: string, limitMs: number): void {
    const attempt = this.#attempts.get(key);
    if (attempt === undefined) return;
    this.#tally.evictions += 1;
    const { checkpointable } = this.#kindOf(key);
    const saves = checkpointable && CHECKPOINT_MS <= limitMs;
    this.#time.after(saves ? CHECKPOINT_MS : RESERVE_MS, () => {
      if (this.#attempts.get(key)?.serial !== attempt.serial) return;
      const { idempotent } = this.#kindOf(key);
      if (saves) this.#saved.set(key, attempt.savedMs + this.#ran(attempt) - CHECKPOINT_MS);
      this.#end(key, saves ? 'checkpointed' : 'stopped', {
        requeue: idempotent || checkpointable,
      });
    });
  }

  #ran({ startedAt }: Attempt): number {
    return startedAt === undefined ? 0 : this.#time.now - startedAt;
  }

  #end(key: string, end: AttemptEnd, { requeue, worker }: { requeue: boolean; worker?: string }) {
    const attempt = this.#attempts.get(key);
    if (attempt === undefined) return;
    this.#attempts.delete(key);
    this.#capacity.release(attempt.members);
    const ranMs = this.#ran(attempt);
    const savedMs = this.#saved.get(key) ?? 0;
    if (end !== 'succeeded') this.#countLost(attempt, ranMs - (savedMs - attempt.savedMs));
    const mayRequeue = requeue && this.#submissions.has(key);
    if (!mayRequeue && end !== 'succeeded' && end !== 'cancelled') this.#loseJob(key);
    this.#send({
      type: 'job-ended',
      key,
      end,
      ranMs,
      requeue: mayRequeue,
      savedMs,
      ...(worker === undefined ? {} : { worker }),
    });
  }

  #countLost({ submission }: Attempt, lostMs: number): void {
    const { tasks, acceleratorsPerTask } = submission.spec.shape;
    this.#tally.workLost += Math.max(0, lostMs) * tasks * acceleratorsPerTask;
  }

  #loseJob(key: string): void {
    this.#submissions.delete(key);
    this.#tally.lostJobs += 1;
    this.#tally.fates.get(key)!.lost = true;
  }

  #hold(key: string, members: Member[]): void {
    assertFree(this.#capacity, members, key);
    this.#capacity.take(members);
    this.#held.set(key, members);
    this.#time.after(RESERVE_MS, () => {
      const claim = this.#claims.get(key);
      if (claim === undefined) return;
      this.#claims.delete(key);
      const waitMs = this.#time.now - claim.askedAt;
      this.#tally.claimWaits.push({ waitMs, withinMs: claim.withinMs });
      this.#send({ type: 'claim-held', key });
      this.#time.after(claim.heldMs, () => this.#release(key));
    });
  }

  #release(key: string): void {
    const members = this.#held.get(key);
    if (members === undefined) return;
    this.#held.delete(key);
    this.#capacity.release(members);
    this.#send({ type: 'claim-released', key });
  }

  #refuse({ key, problem }: Extract<Decision, { type: 'refuse' }>): void {
    const known = this.#submissions.get(key);
    if (known === undefined) return;
    this.#submissions.delete(key);
    this.#tally.refused += 1;
    const { fits } = fitsEmpty(this.#empty, known.submission.spec.shape);
    const isTrue = problem.kind === 'never-fits' ? !fits : problem.retryAfterMs !== undefined;
    if (isTrue) this.#tally.refusedTruly += 1;
    this.#tally.fates.get(key)!.refused = true;
  }
}

/** A bench that lets an accelerator be used twice would flatter the policy. */
function assertFree(capacity: Capacity, members: Member[], key: string): void {
  members.forEach(({ worker, accelerators }) => {
    const known = capacity.workers.get(worker);
    const isFree = accelerators.every((number) => known?.uses[number] === 0);
    if (!isFree) {
      throw new Error(`${key} was placed on ${worker}:${accelerators}, which isn't free.`);
    }
  });
}
