import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { TestCell, eventually, submitToEntry } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import type { Step } from '../job/submission.js';
import { PaceController } from './pace-controller.js';

interface PacingSteps {
  controller: PaceController;
  targetMs: number;
  now: number;
  paces: number[];
  pacingCell?: TestCell;
}

const UPDATE_INTERVAL_MS = 250;

Given(
  'a worker whose serving task has a target of {int} ms',
  function (this: PacingSteps, targetMs: number) {
    Object.assign(this, { controller: new PaceController(), targetMs, now: 0, paces: [100] });
  },
);

When(
  'its tail latency is {int} ms for {int} ms',
  function (this: PacingSteps, tailMs: number, durationMs: number) {
    const until = this.now + durationMs;
    for (; this.now < until; this.now += UPDATE_INTERVAL_MS) {
      this.controller.update([{ tailMs, targetMs: this.targetMs }], this.now);
      if (this.paces.at(-1) !== this.controller.percent) this.paces.push(this.controller.percent);
    }
  },
);

Then(/^the pace has been ([\d, ]+)$/, function (this: PacingSteps, list: string) {
  assert.deepEqual(this.paces, list.split(', ').map(Number));
});

async function submitJob(cell: TestCell, step: Partial<Step>, spec: object): Promise<string> {
  const [entry] = cell.entries;
  assert.ok(entry);
  const id = cell.newJobId();
  assert.equal(await submitToEntry(entry, id, { steps: [testStep(step)], spec }), 'accepted');
  const isRunning = (): boolean => cell.starts(id).length > 0;
  assert.ok(await eventually(isRunning));
  return id;
}

function tailLatencies({ pacingCell }: PacingSteps): number[] {
  const [worker] = pacingCell?.workers ?? [];
  return worker?.runner.life?.running().map(({ load }) => load) ?? [];
}

Given(
  'a cell with one worker that runs a serving task with a target of {int} ms',
  async function (this: PacingSteps, targetMs: number) {
    const cell = new TestCell();
    this.pacingCell = cell;
    await cell.start(1, 1);
    await submitJob(cell, { lasting: true, targetMs }, { servesMs: 40 });
  },
);

After(async function (this: PacingSteps) {
  await this.pacingCell?.stop();
});

When(
  'a filler task raises its tail latency to {int} ms',
  async function (this: PacingSteps, tailMs: number) {
    assert.ok(this.pacingCell);
    await submitJob(this.pacingCell, { fills: true }, { workMs: 60_000, disturbsMs: tailMs - 40 });
    assert.equal(Math.max(...tailLatencies(this)), tailMs);
  },
);

Then(
  'its tail latency is below {int} ms within {int} s',
  async function (this: PacingSteps, targetMs: number, seconds: number) {
    const isBelow = (): boolean => Math.max(...tailLatencies(this)) < targetMs;
    assert.ok(await eventually(isBelow, seconds * 1000));
  },
);

Then('the filler task still runs', function (this: PacingSteps) {
  assert.equal(tailLatencies(this).length, 2);
});
