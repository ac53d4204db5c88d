import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as z from 'zod';
import { sleep } from '../clock/sleep.js';
import { cellOf, nonOwnerEntry, type CellTestContext } from '../owner/cell-test-context.support.js';
import { TestCell, jobCall } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import { submitResultSchema, type SubmitResult } from './call-result.js';

interface DeadlineWorld extends CellTestContext {
  budgetMs: number;
  answers: { result: SubmitResult; tookMs: number }[];
}

/** Time within which the entries notice the slow store by their reads, in ms. */
const DETECTION_MS = 1500;

const SLOW_ANSWER_MS = 200;

const JOB = { spec: '', steps: [testStep()] };

/** A refusal as the previous version defines it. */
const previousRefusalSchema = z.strictObject({
  outcome: z.literal('not-accepted'),
  retryAfterMs: z.number(),
  detail: z.string(),
});

Given(
  /^a store that is slow and then (refuses writes|is silent)$/,
  async function (this: DeadlineWorld, fault: string) {
    const stores = cellOf(this).entries.map(({ store }) => store);
    stores.forEach((store) => Object.assign(store, { answerMs: SLOW_ANSWER_MS }));
    await sleep(DETECTION_MS);
    const refuse = async (): Promise<object> => ({ outcome: 'refused', detail: 'injected' });
    stores.forEach((store) =>
      Object.assign(store, fault === 'is silent' ? { fault: 'silent' } : { transact: refuse }),
    );
  },
);

When(
  'jobs are submitted at every entry by callers that wait {int} ms',
  async function (this: DeadlineWorld, budgetMs: number) {
    this.budgetMs = budgetMs;
    this.answers = await Promise.all(
      cellOf(this).entries.map(async ({ app }) => {
        const at = performance.now();
        const id = cellOf(this).newJobId();
        const result = await app.jobApi.submit(jobCall(id), {
          decode: () => ({ job: JOB }),
          budgetMs,
        });
        return { result, tookMs: performance.now() - at };
      }),
    );
  },
);

Then('each was answered before that, with the time to return', function (this: DeadlineWorld) {
  this.answers.forEach(({ result, tookMs }) => {
    assert.ok(tookMs < this.budgetMs, `${tookMs} of ${this.budgetMs} ms`);
    assert.ok('retryAfterMs' in result && result.retryAfterMs > 0, JSON.stringify(result));
  });
});

Then(
  'a refusal for lack of a store that was forwarded has only the fields of the previous version',
  async function (this: DeadlineWorld) {
    this.cell = new TestCell();
    this.jobs = [];
    await this.cell.start(2, 1);
    const entry = nonOwnerEntry(this);
    Object.assign(entry.store, { transact: async () => ({ outcome: 'refused', detail: 'x' }) });
    const { configVersion, ...result } = await entry.app.jobApi.serveForwarded({
      call: 'submit',
      ...jobCall(cellOf(this).newJobId()),
      job: JOB,
      budgetMs: 1000,
    });
    assert.equal(configVersion, 1);
    previousRefusalSchema.parse(result);
  },
);

Then(
  'a refusal with a reason, with another reason and with unknown fields can be read',
  function () {
    const refusal = { outcome: 'not-accepted', retryAfterMs: 1000, detail: 'x' };
    assert.equal(submitResultSchema.parse(refusal).outcome, 'not-accepted');
    const later = { ...refusal, reason: 'of a later version', more: [1] };
    assert.equal(submitResultSchema.parse(later).outcome, 'not-accepted');
  },
);
