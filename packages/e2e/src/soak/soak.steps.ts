import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { keepEvidence } from './soak-evidence.js';
import { runSoak, type SoakResult } from './soak-run.js';

interface SoakSteps {
  result: SoakResult;
}

/** Start, faults, and all jobs over: a step may take this long, in ms. */
const STEP_TIMEOUT_MS = 120_000;

When(
  'the faults of seed {int} strike for {int} s',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: SoakSteps, seed: number, seconds: number) {
    this.result = await runSoak({ seed, lengthMs: seconds * 1000 });
    if (this.result.violations.length > 0) await keepEvidence(seed, this.result);
  },
);

Then('no promise is broken', function (this: SoakSteps) {
  assert.deepEqual(this.result.violations, []);
  assert.ok(this.result.accepted > 0, 'no job was accepted');
});
