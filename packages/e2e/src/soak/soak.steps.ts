import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { keepEvidence } from './soak-evidence.js';
import { runSoak, type SoakResult } from './soak-run.js';

interface SoakSteps {
  result: SoakResult;
}

/** Start, faults, and all jobs over: a step may take this long, in ms. */
const STEP_TIMEOUT_MS = 120_000;

/** Each so many jobs crash their runners, by the word for it. */
const CRASH_EACH: Record<string, number> = { fourth: 4, fifth: 5 };

When(
  /^the faults of seed (\d+) strike for (\d+) s(?:, and each (fourth|fifth) job crashes its runners)?(, while failure domains are evacuated)?$/,
  { timeout: STEP_TIMEOUT_MS },
  async function (
    this: SoakSteps,
    seed: string,
    seconds: string,
    crash: string | null,
    evacuated: string | null,
  ) {
    const crashEach = CRASH_EACH[crash ?? ''] ?? 0;
    this.result = await runSoak({
      seed: Number(seed),
      lengthMs: Number(seconds) * 1000,
      crashEach,
      evacuates: evacuated !== null,
    });
    if (this.result.violations.length > 0) await keepEvidence(Number(seed), this.result);
  },
);

Then('no promise is broken', function (this: SoakSteps) {
  assert.deepEqual(this.result.violations, []);
  assert.ok(this.result.accepted > 0, 'no job was accepted');
});
