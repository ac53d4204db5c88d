import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { ProblemError } from '../error/problem.js';
import type { AttemptRef, GangReserve, Order, TaskEnd } from '../message/message.js';
import { workerSchema, type Worker } from '../upstream/upstream.js';
import { ReservationBook } from './reservation-book.js';

const INCARNATION = 'incarnation-2';
const TTL_MS = 500;

class BookWorld {
  book!: ReservationBook;

  worker!: Worker;

  now = 0;

  order: Order = { failureDomain: 'annex', term: 1, incarnation: INCARNATION };

  stopped: TaskEnd | undefined;

  reserve(name: string, numbers: string, rest: Partial<GangReserve> = {}): void {
    const accelerators = numbers.split(',').map(Number);
    this.book.reserve(
      {
        order: this.order,
        ref: refOf(name),
        member: { member: 0, worker: 'w', accelerators, cores: 1, memoryMb: 1 },
        ttlMs: TTL_MS,
        task: {
          ...{ account: 'x', kind: 'k', tasks: 1, params: {}, checkpointable: false },
          maxRunMs: 1000,
        },
        ...rest,
      },
      this.worker,
      this.now,
    );
  }

  hold(name: string, numbers: string): void {
    this.reserve(`claims/${name}`, numbers, { task: undefined });
  }
}

function refOf(name: string): AttemptRef {
  return { key: name.startsWith('claims/') ? name : `jobs/x/${name}`, attempt: 1, member: 0 };
}

function assertRefused(run: () => unknown, kind: string): ProblemError {
  let thrown: unknown;
  try {
    run();
  } catch (err) {
    thrown = err;
  }
  assert.ok(thrown instanceof ProblemError, 'expected a refusal');
  assert.equal(thrown.problem.kind, kind);
  assert.equal(thrown.problem.ran, 'not-run');
  return thrown;
}

function newBook(accelerators: number): BookWorld {
  const world = new BookWorld();
  world.book = new ReservationBook({ incarnation: INCARNATION, failureDomain: 'annex' });
  world.worker = workerSchema.parse({
    ...{ type: 'worker', id: 'w', address: '127.0.0.1:1', rack: 'r', cores: 8, memoryMb: 100 },
    accelerators,
  });
  return world;
}

Given('a reservation book of {int} accelerators', function (this: BookWorld, accelerators: number) {
  Object.assign(this, newBook(accelerators));
  Object.setPrototypeOf(this, BookWorld.prototype);
});

When(
  'the book reserves {string} for {string}',
  function (this: BookWorld, numbers: string, name: string) {
    this.reserve(name, numbers);
  },
);

When(
  'the book holds {string} for claim {string}',
  function (this: BookWorld, numbers: string, name: string) {
    this.hold(name, numbers);
  },
);

When(
  'the book reserves {string} for {string} within {string}',
  function (this: BookWorld, numbers: string, name: string, claim: string) {
    this.reserve(name, numbers, { within: `claims/${claim}` });
  },
);

When("the book's orders are for an earlier incarnation", function (this: BookWorld) {
  this.order = { ...this.order, incarnation: 'incarnation-1' };
});

When('the book has seen term {int}', function (this: BookWorld, term: number) {
  this.book.admit({ ...this.order, term });
});

When('the book has {string} ready', function (this: BookWorld, name: string) {
  assert.ok(this.book.ready(refOf(name)));
});

When('{int} ms pass for the book', function (this: BookWorld, ms: number) {
  this.now += ms;
});

When('the book lets go of what is due', function (this: BookWorld) {
  this.book.expire(this.now);
});

When(
  'the book starts {string}, which takes {int} ms',
  function (this: BookWorld, name: string, ms: number) {
    const ref = refOf(name);
    assert.equal(this.book.start(ref, this.order, this.now).todo, 'start-task');
    this.now += ms;
    assert.equal(this.book.started(ref, this.now), ms < TTL_MS);
  },
);

When(
  "the book's start of {string} is lost, and repeated, and refused",
  function (this: BookWorld, name: string) {
    const ref = refOf(name);
    assert.equal(this.book.start(ref, this.order, this.now).todo, 'start-task');
    assert.equal(this.book.start(ref, this.order, this.now).todo, 'start-task');
    this.book.startRefused(ref);
  },
);

When('the book stops {string}', function (this: BookWorld, name: string) {
  const answer = this.book.stop(refOf(name), this.order, this.now);
  this.stopped = answer.todo === 'nothing' ? answer.end : undefined;
});

When('the book forgets {string}', function (this: BookWorld, name: string) {
  this.book.forget(refOf(name), this.order);
});

Then(
  "the book's end of {string}, told as {string}, is {string}",
  function (this: BookWorld, name: string, told: TaskEnd['outcome'], want: string) {
    const end = this.book.ended(refOf(name), { outcome: told, detail: '', ranMs: 0 }, this.now);
    assert.equal(end.outcome, want);
  },
);

Then("the book's stop said {string}", function (this: BookWorld, outcome: string) {
  assert.equal(this.stopped?.outcome, outcome);
});

Then('the book wants {string} stopped', function (this: BookWorld, name: string) {
  assert.equal(this.book.find(refOf(name))?.state, 'stopping');
});

Then('the book holds {int} reservations', function (this: BookWorld, count: number) {
  assert.equal(this.book.inventory().length, count);
});

Then('the book refuses to start {string}', function (this: BookWorld, name: string) {
  const answer = () => this.book.start(refOf(name), this.order, this.now);
  assertRefused(answer, 'conflict');
});

Then(
  'the book refuses {string} for {string} as {string}',
  function (this: BookWorld, numbers: string, name: string, kind: string) {
    assertRefused(() => this.reserve(name, numbers), kind);
  },
);

Then(
  'the book refuses {string} for {string} within {string} as {string}',
  function (this: BookWorld, numbers: string, name: string, claim: string, kind: string) {
    assertRefused(() => this.reserve(name, numbers, { within: `claims/${claim}` }), kind);
  },
);

Then(
  'the book refuses {string} for {string} at term {int} as {string}, and tells {int}',
  function (
    this: BookWorld,
    numbers: string,
    name: string,
    term: number,
    kind: string,
    highest: number,
  ) {
    this.order = { ...this.order, term };
    const { problem } = assertRefused(() => this.reserve(name, numbers), kind);
    assert.equal(problem.facts?.highestTerm, highest);
  },
);

const ORDERS = [
  'reserve',
  'ready',
  'start',
  'started',
  'stop',
  'ended',
  'forget',
  'expire',
  'wait',
] as const;

/** Carries out one random order; refusals are part of the game. Answers whether a task was started. */
function play(world: BookWorld, order: (typeof ORDERS)[number], job: number): boolean {
  const name = `j${job}`;
  const ref = refOf(name);
  try {
    if (order === 'reserve') world.reserve(name, `${job % 4},${(job + 1) % 4}`);
    if (order === 'ready') world.book.ready(ref);
    if (order === 'start') {
      return world.book.start(ref, world.order, world.now).todo === 'start-task';
    }
    if (order === 'started') world.book.started(ref, world.now);
    if (order === 'stop') world.book.stop(ref, world.order, world.now);
    if (order === 'ended') {
      world.book.ended(ref, { outcome: 'stopped', detail: '', ranMs: 1 }, world.now);
    }
    if (order === 'forget') world.book.forget(ref, world.order);
  } catch (err) {
    assert.ok(err instanceof ProblemError);
  }
  if (order === 'expire') world.book.expire(world.now);
  return false;
}

function assertNoneTwice({ book }: BookWorld): void {
  const taken = book
    .inventory()
    .filter(({ state }) => state !== 'ended')
    .flatMap(({ member }) => member.accelerators);
  assert.equal(new Set(taken).size, taken.length);
}

Then(
  "no run of the book's orders gives an accelerator twice or starts an attempt again",
  function () {
    const steps = fc.array(fc.tuple(fc.constantFrom(...ORDERS), fc.nat(5)), { maxLength: 60 });
    fc.assert(
      fc.property(steps, (run) => {
        const world = newBook(4);
        const over = new Set<number>();
        run.forEach(([order, job]) => {
          if (order === 'wait') world.now += TTL_MS / 2;
          const started = play(world, order, job);
          assert.ok(!(started && over.has(job)), `attempt ${job} started after its end`);
          if (order === 'stop') over.add(job);
          if (world.book.find(refOf(`j${job}`))?.state === 'ended') over.add(job);
          assertNoneTwice(world);
        });
      }),
      { numRuns: 2000 },
    );
  },
);
