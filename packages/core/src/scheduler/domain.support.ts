/** A failure domain for tests: carries out decisions by hand and checks them against what really runs. */
import assert from 'node:assert/strict';
import { bundleSchema, type Bundle } from '../bundle/bundle.js';
import type { Member, Shape } from '../gang/shape.js';
import type { Worker } from '../upstream/upstream.js';
import { createScheduler } from './create-scheduler.js';
import type { AttemptEnd, Decision, QueuedJob, SchedulerEvent } from './scheduler.js';

const TOKENS = [{ id: 'test', sha256: '0'.repeat(64) }];

/** A shape that needs little beside accelerators. */
export function shapeOf(
  tasks: number,
  acceleratorsPerTask: number,
  adjacency: Shape['adjacency'],
): Shape {
  return { tasks, acceleratorsPerTask, coresPerTask: 1, memoryMbPerTask: 1, adjacency };
}

/** Two accounts: `film` is guaranteed one half worker, `deeds` two whole ones in a rack. */
export function makeBundle(policy: Partial<Bundle['policy']> = {}): Bundle {
  const kind = { path: 'job', idempotent: true, checkpointable: true };
  return bundleSchema.parse({
    accounts: ['film', 'deeds', 'guests'].map((name) => ({ name, tokens: TOKENS })),
    kinds: [
      { ...kind, name: 'proof', urgency: 'urgent', contract: { withinMs: 60_000 } },
      { ...kind, name: 'render', urgency: 'waiting' },
      { ...kind, name: 'preview', urgency: 'waiting', checkpointable: false },
      { ...kind, name: 'entry', urgency: 'urgent', idempotent: false, checkpointable: false },
    ],
    guarantees: [
      { name: 'half', account: 'film', shape: shapeOf(1, 4, 'worker') },
      { name: 'block', account: 'deeds', shape: shapeOf(2, 8, 'rack') },
    ],
    policy,
  });
}

/** Workers of eight accelerators, three to a rack. */
export function makeWorkers(count: number): Worker[] {
  return Array.from({ length: count }, (_, i) => ({
    type: 'worker',
    id: `w${i}`,
    address: '127.0.0.1:7000',
    rack: `r${Math.floor(i / 3)}`,
    rackPosition: Math.floor(i / 3),
    cores: 64,
    memoryMb: 65_536,
    accelerators: 8,
  }));
}

/** A scheduler under test with what its decisions have made of the workers. */
export class TestDomain {
  now = 1_000_000;

  readonly bundle: Bundle;

  readonly scheduler;

  readonly workers = new Map<string, Worker>();

  readonly running = new Map<string, { job: QueuedJob; members: Member[]; within?: string }>();

  readonly held = new Map<string, Member[]>();

  readonly evicting = new Map<string, Decision & { type: 'evict' }>();

  readonly decisions: Decision[] = [];

  readonly #jobs = new Map<string, QueuedJob>();

  #made = 0;

  constructor({
    workers = 6,
    policy = {},
  }: { workers?: number; policy?: Partial<Bundle['policy']> } = {}) {
    this.bundle = makeBundle(policy);
    this.scheduler = createScheduler({ failureDomain: 'hall', bundle: this.bundle });
    makeWorkers(workers).forEach((worker) => this.addWorker(worker));
    this.advance(20_000);
  }

  /** Decisions of one type so far. */
  of<T extends Decision['type']>(type: T): (Decision & { type: T })[] {
    return this.decisions.filter((one): one is Decision & { type: T } => one.type === type);
  }

  addWorker(worker: Worker): void {
    this.workers.set(worker.id, worker);
    this.tell({ type: 'worker-ready', worker });
  }

  loseWorker(id: string): void {
    this.workers.delete(id);
    // A held claim that loses a part is held anew as a whole: its other parts are given back.
    this.held.forEach((members, key) => {
      if (members.some(({ worker }) => worker === id)) this.held.delete(key);
    });
    this.tell({ type: 'worker-left', worker: id, how: 'lost' });
    [...this.running]
      .filter(([, { members }]) => members.some(({ worker }) => worker === id))
      .forEach(([key]) => this.end(key, 'lost', true));
  }

  submit(
    account: string,
    kind: string,
    shape: Shape,
    extra: Partial<QueuedJob['spec']> = {},
  ): string {
    this.#made += 1;
    const key = `jobs/${account}/j${this.#made}`;
    const spec = { kind, shape, params: {}, declaredRunMs: 60_000, ...extra };
    const job = { key, account, spec, submittedAt: this.now, attempt: 0 };
    this.#jobs.set(key, job);
    this.tell({ type: 'job-queued', job });
    return key;
  }

  /** Queues a job that has been evicted before. */
  submitEvicted(account: string, kind: string, shape: Shape, evictions: number): string {
    this.#made += 1;
    const key = `jobs/${account}/j${this.#made}`;
    const spec = { kind, shape, params: {}, declaredRunMs: 60_000 };
    const job = { key, account, spec, submittedAt: this.now, attempt: evictions, evictions };
    this.#jobs.set(key, job);
    this.tell({ type: 'job-queued', job });
    return key;
  }

  claim(account: string, guarantee: string): string {
    this.#made += 1;
    const key = `claims/${account}/c${this.#made}`;
    this.tell({ type: 'claim-asked', key, account, guarantee, askedAt: this.now });
    return key;
  }

  release(key: string): void {
    this.held.delete(key);
    this.tell({ type: 'claim-released', key });
  }

  end(key: string, end: AttemptEnd, requeue: boolean, worker?: string): void {
    this.running.delete(key);
    this.evicting.delete(key);
    this.tell({
      type: 'job-ended',
      key,
      end,
      ranMs: 1000,
      requeue,
      ...(worker === undefined ? {} : { worker }),
    });
  }

  /** Everything told to leave does so. */
  finishEvictions(): void {
    [...this.evicting.keys()].forEach((key) => this.end(key, 'checkpointed', true));
  }

  advance(ms: number): void {
    this.now += ms;
    this.decide();
  }

  tell(event: SchedulerEvent): void {
    this.scheduler.apply(event, this.now);
    this.decide();
  }

  decide(): void {
    const decisions = this.scheduler.decide(this.now);
    this.decisions.push(...decisions);
    decisions.forEach((decision) => this.#carryOut(decision));
  }

  #carryOut(decision: Decision): void {
    if (decision.type === 'place') this.#place(decision);
    if (decision.type === 'evict') {
      assert.ok(this.running.has(decision.key), `${decision.key} was evicted but doesn't run`);
      this.evicting.set(decision.key, decision);
    }
    if (decision.type !== 'hold') return;
    this.#assertFree(decision.members, decision.key);
    this.held.set(decision.key, decision.members);
    this.scheduler.apply({ type: 'claim-held', key: decision.key }, this.now);
  }

  #place({ key, members, within }: Decision & { type: 'place' }): void {
    const job = this.#jobs.get(key);
    assert.ok(job, `${key} was placed but never submitted`);
    assert.ok(!this.running.has(key), `${key} was placed twice`);
    if (within === undefined) this.#assertFree(members, key);
    this.#assertWhole(job, members);
    this.running.set(key, { job, members, ...(within === undefined ? {} : { within }) });
    this.scheduler.apply({ type: 'job-started', key }, this.now);
  }

  #assertFree(members: Member[], key: string): void {
    const used = new Set<string>();
    const note = ({ worker, accelerators }: Member) =>
      accelerators.forEach((number) => used.add(`${worker}:${number}`));
    this.running.forEach((one) => {
      if (one.within === undefined) one.members.forEach(note);
    });
    this.held.forEach((claim) => claim.forEach(note));
    members.forEach((member) => {
      assert.ok(this.workers.has(member.worker), `${key} was put on a worker that isn't there`);
      member.accelerators.forEach((number) =>
        assert.ok(!used.has(`${member.worker}:${number}`), `${key}: an accelerator is used twice`),
      );
      note(member);
    });
  }

  #assertWhole({ spec: { shape } }: QueuedJob, members: Member[]): void {
    assert.equal(members.length, shape.tasks);
    members.forEach(({ accelerators }) =>
      assert.equal(new Set(accelerators).size, shape.acceleratorsPerTask),
    );
    const workers = members.map(({ worker }) => this.workers.get(worker)!);
    const racks = new Set(workers.map(({ rack }) => rack));
    if (shape.adjacency === 'worker') assert.equal(new Set(workers).size, 1);
    if (shape.adjacency === 'rack') assert.equal(racks.size, 1);
    const positions = workers.map(({ rackPosition }) => rackPosition);
    if (shape.adjacency === 'neighbouring-racks') {
      assert.ok(Math.max(...positions) - Math.min(...positions) <= 1);
    }
  }
}
