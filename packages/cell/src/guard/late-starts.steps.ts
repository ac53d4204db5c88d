import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
import { LosableRunner } from '../testing/losable-runner.support.js';
import { eventually } from '../testing/test-cell.support.js';
import { RunOrderDispatcher } from './run-order-dispatcher.js';

const RUN = { task: '0000000000000001.0.0.0', run: 1 };

interface LateStartSteps {
  /** On the guard's monotonic clock, in ms. */
  now: number;
  hasEnded: boolean;
  ctx: ReturnType<typeof quietContext>;
  runner: LosableRunner;
  first: RunOrderDispatcher;
  next: RunOrderDispatcher;
}

function newDispatcher({ ctx, runner }: LateStartSteps): RunOrderDispatcher {
  const ignore = (): void => {};
  const events = { onStarted: ignore, onRefused: ignore, onStopped: ignore, onStale: ignore };
  return new RunOrderDispatcher({ ctx, runner, events });
}

function targetOf(world: LateStartSteps): Parameters<RunOrderDispatcher['start']>[1] {
  return {
    incarnation: { id: 'runner-1', address: '127.0.0.1:1', bornMs: undefined },
    term: 1,
    deadlineMs: () => 1,
    isCurrent: () => !world.hasEnded,
  };
}

After({ tags: '@late-starts' }, function (this: LateStartSteps) {
  this.hasEnded = true;
});

Given("a start that a runner doesn't answer", async function (this: LateStartSteps) {
  Object.assign(this, { now: 0, hasEnded: false });
  const now = (): number => this.now;
  this.ctx = quietContext({ id: 'worker-1', role: 'guard', clock: { now, wall: now } });
  this.runner = new LosableRunner();
  this.runner.isLost = true;
  this.first = newDispatcher(this);
  this.first.start({ ...RUN, spec: '', checkpoint: '' }, targetOf(this));
  // Repeated: the first call got no answer.
  assert.ok(await eventually(() => this.runner.starts > 1));
});

When(
  "it is to be blocked at the next incarnation, which doesn't answer either",
  async function (this: LateStartSteps) {
    this.next = newDispatcher(this);
    const target = { currentTarget: () => targetOf(this), hasEnded: () => this.hasEnded };
    this.first.possibleLateStarts().forEach((start) => this.next.block(start, target));
    const isRepeated = (): boolean =>
      (this.ctx.metrics.counters.get('order.stop-repeated') ?? 0) > 0;
    assert.ok(await eventually(isRepeated));
  },
);

Then(
  '{int} ms later the start may still be carried out',
  function (this: LateStartSteps, afterMs: number) {
    this.now = afterMs;
    assert.equal(this.next.mayStillStart, true);
  },
);

Then(
  "{int} ms later it can't be carried out any more",
  function (this: LateStartSteps, afterMs: number) {
    this.now = afterMs;
    assert.equal(this.next.mayStillStart, false);
  },
);

Then('the run is still reported as in progress', function (this: LateStartSteps) {
  assert.deepEqual(this.next.inProgress(), [RUN]);
});
