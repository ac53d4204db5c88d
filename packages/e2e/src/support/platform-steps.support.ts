/** Steps about durable work while the table is away. */
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { Answer } from '../deployment/caller.js';
import type { ToldProblem } from '../audit/request-log.js';
import type { E2eWorld } from './e2e-world.support.js';
import { sendNamed } from './request-steps.support.js';
import { until } from './until.js';

const KIND = 'proof';

const submissions = new WeakMap<E2eWorld, { answers: Answer[]; ids: Set<string> }>();

async function submit(world: E2eWorld, entry: string): Promise<Answer> {
  const body = { kind: KIND, shape: { tasks: 1, acceleratorsPerTask: 1 }, params: {} };
  const answer = await world.caller('crews').call('POST', `${world.url(entry)}/v1/jobs`, { body });
  const kept = submissions.get(world) ?? { answers: [], ids: new Set<string>() };
  kept.answers.push(answer);
  submissions.set(world, kept);
  return answer;
}

/** A write that had no answer may have taken effect; once the entry knows that the table is away, it says so. */
Then('durable jobs are refused at once at every entry, not run', async function (this: E2eWorld) {
  await Promise.all(
    this.deployment.layout.entries.map(({ id }) =>
      until(`${id} to refuse a job as not run`, async () => {
        const answer = await submit(this, id);
        const { kind, ran } = answer.body as ToldProblem;
        assert.equal(answer.status, 503, JSON.stringify(answer.body));
        assert.equal(kind, 'store-unavailable');
        assert.ok(Number(answer.headers['retry-after']) >= 1);
        return ran === 'not-run';
      }),
    ),
  );
});

/** Each submission that may have been written is told `unknown`; the others must not be there. */
Then('no job that was refused as not run is there', async function (this: E2eWorld) {
  const { answers } = submissions.get(this)!;
  const maybe = answers.filter(({ body }) => (body as ToldProblem).ran === 'unknown').length;
  const url = `${this.url('entry-1')}/v1/jobs`;
  const listed = await until('the table to answer again', async () => {
    const { status, body } = await this.caller('crews').call('GET', url);
    return status === 200 ? (body as { jobs: unknown[] }).jobs : undefined;
  });
  assert.ok(listed.length <= maybe, `${listed.length} jobs are there, ${maybe} were told unknown.`);
});

When(
  'a {word} named {string} with key {string} at {word} is sent while the table is down',
  async function (this: E2eWorld, kind: string, name: string, key: string, entry: string) {
    await sendNamed(this, { kind, name, key, entry, serviceMs: 10 });
  },
);
