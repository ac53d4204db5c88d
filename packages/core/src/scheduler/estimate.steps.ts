import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { shapeSchema } from '../gang/shape.js';
import { RunTimeEstimator, type RunObservation } from './estimate.js';

const SHAPE = shapeSchema.parse({ tasks: 1, acceleratorsPerTask: 2 });
const QUERY = { account: 'tuul', kind: 'render', shape: SHAPE };

class EstimateTrial {
  estimator = new RunTimeEstimator();

  #made = 0;

  nextKey(): string {
    this.#made += 1;
    return `j${this.#made}`;
  }
}

function observe(world: EstimateTrial, run: Partial<RunObservation> & { ranMs: number }): void {
  world.estimator.observe({ ...QUERY, key: world.nextKey(), outcome: 'succeeded', ...run });
}

interface World {
  trial: EstimateTrial;
}

Given('run-time estimates', function (this: World) {
  this.trial = new EstimateTrial();
  this.trial.estimator = new RunTimeEstimator();
});

When(
  '{int} runs declared as {int} ms take about {int} ms',
  function (this: World, count: number, declaredRunMs: number, ranMs: number) {
    for (let i = 0; i < count; i += 1) {
      observe(this.trial, { declaredRunMs, ranMs: ranMs * (0.9 + (i % 5) * 0.05) });
    }
  },
);

When(
  'runs of all lengths take {int} times what they declare',
  function (this: World, ratio: number) {
    for (let i = 0; i < 40; i += 1) {
      const declaredRunMs = 1000 * 1.3 ** i;
      observe(this.trial, { declaredRunMs, ranMs: declaredRunMs * ratio * (0.9 + (i % 5) * 0.05) });
    }
  },
);

When(
  '{int} runs declared as {int} ms have gone on for {int} ms',
  function (this: World, count: number, declaredRunMs: number, ranMs: number) {
    for (let i = 0; i < count; i += 1) {
      observe(this.trial, { declaredRunMs, ranMs, outcome: 'running' });
    }
  },
);

When(
  '{int} runs declared as {int} ms fail after {int} ms',
  function (this: World, count: number, declaredRunMs: number, ranMs: number) {
    for (let i = 0; i < count; i += 1) {
      observe(this.trial, { declaredRunMs, ranMs, outcome: 'cut' });
    }
  },
);

When(
  '{int} accounts run {int} kinds each',
  function (this: World, accounts: number, kinds: number) {
    for (let i = 0; i < accounts * kinds; i += 1) {
      observe(this.trial, { account: `a${i % accounts}`, kind: `k${i % kinds}`, ranMs: 1000 + i });
    }
  },
);

Then(
  'a run declared as {int} ms is estimated within {int} percent of {int} ms',
  function (this: World, declaredRunMs: number, percent: number, wanted: number) {
    const { p50Ms } = this.trial.estimator.estimate({ ...QUERY, declaredRunMs });
    assert.ok(Math.abs(p50Ms / wanted - 1) < percent / 100, `estimated ${p50Ms}`);
  },
);

Then(
  'a run declared as {int} ms is estimated at {int} ms or more at p90',
  function (this: World, declaredRunMs: number, least: number) {
    const { p90Ms } = this.trial.estimator.estimate({ ...QUERY, declaredRunMs });
    assert.ok(p90Ms >= least, `estimated ${p90Ms}`);
  },
);

Then(
  'a run with {int} ms saved has less than {int} ms left',
  function (this: World, savedMs: number, most: number) {
    const { p50Ms } = this.trial.estimator.estimate({ ...QUERY, declaredRunMs: 60_000, savedMs });
    assert.ok(p50Ms < most, `estimated ${p50Ms}`);
  },
);

Then('run-time estimates keep at most {int} histories', function (this: World, most: number) {
  assert.ok(this.trial.estimator.size <= most);
});

Then('run-time estimates hold p50 below p90 for any observations', function () {
  const run = fc.record({
    ranMs: fc.integer({ min: 0, max: 1e9 }),
    declaredRunMs: fc.option(fc.integer({ min: 1, max: 1e9 }), { nil: undefined }),
    outcome: fc.constantFrom('succeeded' as const, 'running' as const, 'cut' as const),
    key: fc.constantFrom('a', 'b', 'c'),
  });
  const estimatesHold = fc.property(fc.array(run), run, (runs, { ranMs, declaredRunMs }) => {
    const estimator = new RunTimeEstimator();
    runs.forEach((seen) => estimator.observe({ ...QUERY, ...seen }));
    const left = estimator.remaining({ ...QUERY, declaredRunMs, ranMs });
    assert.ok(left.p50Ms >= 1 && left.p90Ms >= left.p50Ms && Number.isFinite(left.p90Ms));
    assert.ok(left.confidence >= 0 && left.confidence <= 1);
  });
  fc.assert(estimatesHold);
});
