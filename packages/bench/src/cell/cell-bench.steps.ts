import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { figuresOf, playDay } from './cell-bench.js';
import { CELL_LOADS, CELL_SCENARIOS } from './cell-scenarios.js';
import type { DayResult } from './simulated-cell.js';

interface CellBenchSteps {
  days: DayResult[];
}

const STEP_TIMEOUT_MS = 120_000;

When(
  '{int} days of {string} are played with the load of {string}',
  { timeout: STEP_TIMEOUT_MS },
  function (this: CellBenchSteps, count: number, scenarioName: string, loadName: string) {
    const load = CELL_LOADS.find(({ name }) => name === loadName);
    const scenario = CELL_SCENARIOS.find(({ name }) => name === scenarioName);
    assert.ok(load && scenario);
    this.days = Array.from({ length: count }, (_, day) => playDay(load, scenario, 1 + day));
  },
);

Then(
  'at least {float} of the urgent jobs meet their objectives',
  function (this: CellBenchSteps, share: number) {
    const { inObjective } = figuresOf(this.days, ({ kind }) => kind.priority === 0);
    assert.ok(inObjective >= share, `${inObjective}`);
  },
);

Then('at least {float} of those that may wait', function (this: CellBenchSteps, share: number) {
  const { inObjective } = figuresOf(this.days, ({ kind }) => kind.priority > 0);
  assert.ok(inObjective >= share, `${inObjective}`);
});
