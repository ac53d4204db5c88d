/** Steps about jobs that were submitted, and what their workers' ledgers say of them. */
import { Then, When, type DataTable } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { E2eWorld } from './e2e-world.support.js';
import { jobOf, untilFinal, view, type JobView } from './job-calls.support.js';
import { checkEnd, checkTasks, type JobEnd } from './ledger-checks.support.js';
import { eventually, Processes } from './processes.support.js';

Then('some jobs {string} were told not run', async function (this: E2eWorld, name: string) {
  const ends = await Promise.all(namesLike(this, name).map((each) => untilFinal(this, each)));
  assert.ok(ends.some(({ outcome }) => outcome?.ran === 'not-run'));
});

When('job {string} is cancelled', async function (this: E2eWorld, name: string) {
  await cancel(this, [name]);
});

When('all jobs {string} are cancelled at once', async function (this: E2eWorld, name: string) {
  await cancel(this, namesLike(this, name));
});

Then('job {string} runs', async function (this: E2eWorld, name: string) {
  await Processes.of(this).ledgers.until(jobOf(this, name), (tasks) => {
    const running = tasks.filter(({ state }) => state === 'running');
    return running.length > 0 && running.length === running[0]?.tasks;
  });
});

Then(
  'job {string} has {int} task(s) {word} on its worker(s)',
  async function (this: E2eWorld, name: string, count: number, state: string) {
    await Processes.of(this).ledgers.until(
      jobOf(this, name),
      (tasks) => tasks.filter((task) => task.state === state).length >= count,
    );
  },
);

Then(
  'no task of the first attempt of job {string} runs any more',
  async function (this: E2eWorld, name: string) {
    await Processes.of(this).ledgers.until(jobOf(this, name), (tasks) =>
      tasks
        .filter(({ attempt }) => attempt === tasks[0]?.attempt)
        .every(({ state, endedAt }) => endedAt !== undefined && state !== 'succeeded'),
    );
  },
);

Then(
  /^job "(\S+)" gets (queued|started)$/,
  async function (this: E2eWorld, name: string, state: string) {
    await eventually(async () => (await view(this, name))?.state === state);
  },
);

Then('these jobs end:', async function (this: E2eWorld, table: DataTable) {
  for (const { name = '', ...wanted } of table.hashes()) {
    const { state, attempt, outcome } = await untilFinal(this, name);
    const starts = await startsOf(this, name);
    const ended = { state, ran: outcome?.ran, attempts: attempt, starts };
    Object.entries(wanted).forEach(([column, values]) => {
      // A cell may list several ends that are all truthful, with `|` between, or leave it open.
      const allowed = values === '' ? '.*' : `^(${values})$`;
      const why = `${name}: ${JSON.stringify({ ...ended, outcome })}`;
      assert.match(String(ended[column as keyof typeof ended]), new RegExp(allowed), why);
    });
  }
});

Then('all jobs {string} succeed', async function (this: E2eWorld, name: string) {
  const ends = await Promise.all(namesLike(this, name).map((each) => untilFinal(this, each)));
  ends.forEach((job) => assert.equal(job.state, 'succeeded', JSON.stringify(job)));
});

Then('all jobs {string} end', async function (this: E2eWorld, name: string) {
  await Promise.all(namesLike(this, name).map((each) => untilFinal(this, each)));
});

Then(
  'job {string} started before job {string} ended',
  async function (this: E2eWorld, first: string, second: string) {
    const { ledgers } = Processes.of(this);
    const [task] = await ledgers.tasksOf(jobOf(this, first));
    const others = await ledgers.tasksOf(jobOf(this, second));
    const endedAt = Math.max(...others.map(({ endedAt: at = Infinity }) => at));
    assert.ok((task?.startedAt ?? Infinity) < endedAt, JSON.stringify({ task, others }));
  },
);

Then(
  /^one of jobs "(\S+)" and "(\S+)" of (\d+) ms (went on from its checkpoint|began anew)$/,
  async function (this: E2eWorld, first: string, second: string, runMs: string, how: string) {
    const { ledgers } = Processes.of(this);
    const both = await Promise.all(
      [first, second].map((each) => ledgers.tasksOf(jobOf(this, each))),
    );
    const [again, ...others] = both.filter((tasks) => tasks.length > 1);
    assert.ok(again && others.length === 0, JSON.stringify(both));
    const { startedAt = 0, endedAt = 0 } = again.at(-1) ?? {};
    // The stand-in's times are exact to a ms: from its beginning a task takes the whole of its run time.
    const isWhole = endedAt - startedAt >= Number(runMs) - 2;
    assert.equal(isWhole, how === 'began anew', JSON.stringify(again));
  },
);

Then('job {string} has started nothing', async function (this: E2eWorld, name: string) {
  assert.equal(await startsOf(this, name), 0);
});

Then('every ledger agrees with every answer', async function (this: E2eWorld) {
  const { ledgers } = Processes.of(this);
  const names = [...this.ids.keys()].filter((name) => this.answers.has(name));
  const ends = await Promise.all(
    names.map(async (name) => toEnd(this, name, await untilFinal(this, name))),
  );
  const tasks = await ledgers.tasks();
  assert.equal(await ledgers.violations(), 0);
  checkTasks(tasks);
  ends.forEach((end) =>
    checkEnd(
      end,
      tasks.filter(({ job }) => job === end.job),
    ),
  );
});

async function startsOf(world: E2eWorld, name: string): Promise<number> {
  const tasks = await Processes.of(world).ledgers.tasksOf(jobOf(world, name));
  return tasks.reduce((sum, { starts }) => sum + starts, 0);
}

async function cancel(world: E2eWorld, names: string[]): Promise<void> {
  const urls = await Processes.of(world).urls();
  await Promise.all(
    names.map(async (name, n) => {
      const [account = ''] = jobOf(world, name).split('/');
      const url = `${urls[n % urls.length]}/v1/jobs/${world.id(name)}/cancel`;
      const { status, body } = await world.caller(account).call('POST', url);
      assert.ok(status < 300, JSON.stringify(body));
    }),
  );
}

function namesLike(world: E2eWorld, name: string): string[] {
  return [...world.ids.keys()].filter((each) => each.startsWith(`${name}-`));
}

function toEnd(world: E2eWorld, name: string, job: JobView): JobEnd {
  const { state, endedAt = 0, outcome } = job;
  return { name, job: jobOf(world, name), state, endedAt, ran: outcome?.ran ?? '' };
}
