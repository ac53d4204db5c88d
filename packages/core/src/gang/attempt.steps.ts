import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { changeAfterAttempt } from '../job/conclusion.js';
import { changeJob } from '../job/job-machine.js';
import type { JobRow } from '../job/job.js';
import type { TaskEnd } from '../message/message.js';
import {
  Attempt,
  type AttemptCommand,
  type AttemptConclusion,
  type AttemptEvent,
} from './attempt.js';
import { memberCheckpoint } from './checkpoint.js';

interface Step {
  event: AttemptEvent;
  commands: AttemptCommand[];
}

interface Run {
  tasks: number;
  steps: Step[];
}

interface AttemptWorld {
  attempt: Attempt;
  commands: AttemptCommand[];
  runs: Run[];
}

const OUTCOMES = ['succeeded', 'failed', 'stopped', 'checkpointed', 'never-started'] as const;

function endOf(member: number, outcome: TaskEnd['outcome']): TaskEnd {
  const ref = { key: 'jobs/tuul/render', attempt: 1, member };
  const checkpoint = outcome === 'checkpointed' ? { checkpoint: `point-${member}` } : {};
  return { ref, incarnation: 'life-one', outcome, detail: '', ranMs: 10, ...checkpoint };
}

/** Park and Miller's generator: the same runs every time. */
function* numbers(seed: number): Generator<number, never> {
  let state = seed;
  for (;;) {
    state = (state * 48_271) % 2_147_483_647;
    yield state;
  }
}

function randomEvent(next: () => number, tasks: number): AttemptEvent {
  const member = next() % tasks;
  const outcome = OUTCOMES[next() % OUTCOMES.length] ?? 'failed';
  const choices: AttemptEvent[] = [
    { type: 'member-ready', member },
    { type: 'member-ready', member: next() % tasks },
    { type: 'member-ready', member: next() % tasks },
    { type: 'row-written' },
    { type: 'row-written' },
    { type: 'row-unknown' },
    { type: 'row-unwritten' },
    { type: 'row-conflict', cancelled: next() % 2 === 0 },
    { type: 'reserve-refused', member, detail: '' },
    { type: 'reserve-timeout', member },
    { type: 'member-silent', member, detail: '' },
    { type: 'member-lost', member, detail: '' },
    { type: 'member-ended', member, end: endOf(member, outcome) },
    { type: 'member-ended', member, end: endOf(member, outcome) },
    { type: 'cancel' },
    { type: 'evict', limitMs: 100, checkpoint: true },
  ];
  return choices[next() % choices.length] ?? { type: 'cancel' };
}

function randomRun(next: () => number): Run {
  const tasks = 1 + (next() % 3);
  const attempt = new Attempt({ tasks });
  const steps = Array.from({ length: 24 }, () => {
    const event = randomEvent(next, tasks);
    // A row's result comes only after a write.
    const early = event.type.startsWith('row-') && !['writing', 'settling'].includes(attempt.phase);
    return { event, commands: early ? [] : attempt.apply(event) };
  });
  return { tasks, steps };
}

function stepOf(run: Run, isIt: (command: AttemptCommand) => boolean): number {
  const at = run.steps.findIndex(({ commands }) => commands.some(isIt));
  return at < 0 ? Number.POSITIVE_INFINITY : at;
}

function conclusions({ steps }: Run): AttemptConclusion[] {
  return steps
    .flatMap(({ commands }) => commands)
    .flatMap((command) => (command.type === 'conclude' ? [command.conclusion] : []));
}

function feed(world: AttemptWorld, event: AttemptEvent): void {
  world.commands.push(...world.attempt.apply(event));
}

function writing(world: AttemptWorld, tasks: number): void {
  Object.assign(world, { attempt: new Attempt({ tasks }), commands: [] });
  for (let member = 0; member < tasks; member += 1) feed(world, { type: 'member-ready', member });
}

function checkOutcome(world: AttemptWorld, ran: string, ranBefore: JobRow['ranBefore']): void {
  const conclusion = concluded(world);
  assert.ok(conclusion);
  const options = { idempotent: false, mayRetry: false, at: 1 };
  const row = { id: 'deed-1', state: 'started', attempt: 1, ranBefore } as JobRow;
  const change = changeAfterAttempt(row, conclusion, options);
  assert.ok(change);
  const changed = changeJob(row, change);
  assert.equal(changed.ok && changed.row.outcome?.ran, ran);
}

function concluded({ commands }: AttemptWorld): AttemptConclusion | undefined {
  const last = commands.find(({ type }) => type === 'conclude');
  return last?.type === 'conclude' ? last.conclusion : undefined;
}

Given('{int} random runs of attempts of 1 to 3 members', function (this: AttemptWorld, n: number) {
  const source = numbers(20_261_202);
  const next = (): number => source.next().value;
  this.runs = Array.from({ length: n }, () => randomRun(next));
});

Given(
  'an attempt of {int} members whose row is being written',
  function (this: AttemptWorld, tasks: number) {
    writing(this, tasks);
  },
);

Given('an attempt of {int} members that runs', function (this: AttemptWorld, tasks: number) {
  writing(this, tasks);
  feed(this, { type: 'row-written' });
});

When(
  'its member {int} ends as {string}',
  function (this: AttemptWorld, member: number, outcome: TaskEnd['outcome']) {
    feed(this, { type: 'member-ended', member, end: endOf(member, outcome) });
  },
);

When(
  'its member {int} ends as {string} after {int} ms',
  function (this: AttemptWorld, member: number, outcome: TaskEnd['outcome'], ranMs: number) {
    feed(this, { type: 'member-ended', member, end: { ...endOf(member, outcome), ranMs } });
  },
);

When('its member {int} is barred and never started', function (this: AttemptWorld, member: number) {
  const end: TaskEnd = { ...endOf(member, 'never-started'), ranMs: 0 };
  feed(this, { type: 'member-ended', member, end, barred: true });
});

When(
  'the guard of its member {int} falls out of contact',
  function (this: AttemptWorld, member: number) {
    feed(this, { type: 'member-silent', member, detail: '' });
  },
);

When('its member {int} has surely ended unseen', function (this: AttemptWorld, member: number) {
  feed(this, { type: 'member-lost', member, detail: '' });
});

When('the attempt is cancelled', function (this: AttemptWorld) {
  feed(this, { type: 'cancel' });
});

When('the attempt is evicted with its checkpoint', function (this: AttemptWorld) {
  feed(this, { type: 'evict', limitMs: 100, checkpoint: true });
});

When('its row turns out to be written', function (this: AttemptWorld) {
  feed(this, { type: 'row-unknown' });
  feed(this, { type: 'row-written' });
});

Then('no member was started before the row was written', function (this: AttemptWorld) {
  const started = this.runs.filter((run) => stepOf(run, ({ type }) => type === 'start') < Infinity);
  assert.ok(started.length > 100);
  started.forEach(({ steps }) =>
    steps
      .filter(({ commands }) => commands.some(({ type }) => type === 'start'))
      .forEach(({ event }) => assert.equal(event.type, 'row-written')),
  );
});

Then('no member was started after a stop', function (this: AttemptWorld) {
  this.runs.forEach((run) => {
    const start = stepOf(run, ({ type }) => type === 'start');
    const stop = stepOf(run, ({ type }) => type === 'stop');
    assert.ok(start === Number.POSITIVE_INFINITY || start < stop);
  });
});

Then(
  'every attempt concluded at most once, when no member could run any more',
  function (this: AttemptWorld) {
    const done = this.runs.filter((run) => conclusions(run).length > 0);
    assert.ok(done.length > 1000);
    done.forEach((run) => {
      assert.equal(conclusions(run).length, 1);
      const end = stepOf(run, ({ type }) => type === 'conclude');
      const over = run.steps.slice(0, end + 1).flatMap(({ event }) => {
        const isOver = ['member-ended', 'member-lost', 'reserve-refused'].includes(event.type);
        return isOver && 'member' in event ? [event.member] : [];
      });
      assert.equal(new Set(over).size, run.tasks);
    });
  },
);

Then('only attempts whose row was written said that it was', function (this: AttemptWorld) {
  this.runs.forEach((run) => {
    const [conclusion] = conclusions(run);
    if (conclusion === undefined) return;
    const write = stepOf(run, ({ type }) => type === 'write-started');
    const written = run.steps.some(({ event }, i) => i > write && event.type === 'row-written');
    if (conclusion.type === 'ended') assert.ok(written);
    else {
      assert.equal(
        stepOf(run, ({ type }) => type === 'start'),
        Number.POSITIVE_INFINITY,
      );
    }
  });
});

Then("the attempt hasn't concluded", function (this: AttemptWorld) {
  assert.equal(concluded(this), undefined);
});

Then('the attempt concludes as {string}', function (this: AttemptWorld, end: string) {
  const conclusion = concluded(this);
  assert.equal(conclusion?.type === 'ended' && conclusion.end, end);
});

Then("the attempt makes the job's outcome {string}", function (this: AttemptWorld, ran: string) {
  checkOutcome(this, ran, 'not-run');
});

Then(
  'the attempt makes the outcome of a job started before {string}',
  function (this: AttemptWorld, ran: string) {
    checkOutcome(this, ran, 'unknown');
  },
);

Then('the attempt has sent no stop', function (this: AttemptWorld) {
  assert.ok(!this.commands.some(({ type }) => type === 'stop'));
});

Then(
  'the attempt stops {int} members and starts {int}',
  function (this: AttemptWorld, stops: number, starts: number) {
    const count = (wanted: string): number =>
      this.commands.filter(({ type }) => type === wanted).length;
    assert.deepEqual([count('stop'), count('start')], [stops, starts]);
  },
);

Then(
  "the attempt's checkpoint for member {int} is {string}",
  function (this: AttemptWorld, member: number, checkpoint: string) {
    const conclusion = concluded(this);
    assert.ok(conclusion?.type === 'ended');
    assert.equal(memberCheckpoint(conclusion.checkpoint, member), checkpoint);
  },
);

Then('the attempt left no checkpoint', function (this: AttemptWorld) {
  const conclusion = concluded(this);
  assert.ok(conclusion?.type === 'ended');
  assert.equal(conclusion.checkpoint, undefined);
});
