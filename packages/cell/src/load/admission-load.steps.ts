import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { TEST_QUEUE } from '../testing/test-jobs.support.js';
import { LATE_LIMIT_OBJECTIVES } from '../placing/job-urgency.js';
import { LoadModel, MODEL_WORKERS } from './load-model.support.js';
import { gangStep, objectiveMs, smallStep, type ModelJob } from './model-job.support.js';

interface LoadWorld {
  /** Jobs of the play with admission, and of the one without. */
  jobs: ModelJob[];
  jobsWithout: ModelJob[];
}

const ACCOUNTS = 10;
const HEAVY = 'account-0';

/** Several, as one day more or less moves a share by some percent. */
const SEEDS = [3, 7, 13];

const played = new Map<string, ModelJob[]>();

const WARM_UP_MS = 60_000;
const WARM_UP_LOAD = 0.8;

/** Seeded random numbers between 0 and 1 (the minimal standard generator of Park and Miller). */
function seeded(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function newJob(random: () => number, whom: string): Parameters<LoadModel['arrive']>[0] {
  const isGang = whom === 'large gangs alone' || random() < 0.3;
  const estimateMs = 2000 + 3000 * random();
  const step = isGang
    ? gangStep(2 + Math.floor(random() * 4), estimateMs)
    : smallStep(4 + Math.floor(random() * 24), estimateMs);
  // Half of the work is the heavy account's even at the capacity, and all that is above it.
  const isHeavy = whom === 'one account' && random() < 0.8;
  const account = isHeavy ? HEAVY : `account-${1 + Math.floor(random() * (ACCOUNTS - 1))}`;
  const taskMs = estimateMs * Math.exp(0.4 * (random() + random() - 1));
  return { account, queue: TEST_QUEUE, step, taskMs };
}

function workerMs({ step, taskMs }: Parameters<LoadModel['arrive']>[0]): number {
  return (step.tasks * step.demand.accelerators * taskMs) / 8;
}

/** Plays a minute at 0.8 times the capacity, from which the owner learns the error of its predictions, then the load in question. */
function play(
  { seconds, load, whom }: { seconds: number; load: number; whom: string },
  { isOn, seed }: { isOn: boolean; seed: number },
): ModelJob[] {
  const random = seeded(seed);
  const model = new LoadModel({ isOn, random: seeded(11) });
  const startsAt = model.clock.now() + WARM_UP_MS;
  const endsAt = startsAt + seconds * 1000;
  let budget = 0;
  let next = newJob(random, 'all accounts');
  while (model.clock.now() < endsAt || model.isBusy) {
    const now = model.clock.now();
    if (now < endsAt) budget += (now < startsAt ? WARM_UP_LOAD : load) * MODEL_WORKERS * 50;
    while (budget >= workerMs(next) && now < endsAt) {
      budget -= workerMs(next);
      model.arrive(next);
      next = newJob(random, now < startsAt ? 'all accounts' : whom);
    }
    model.tick();
  }
  return model.jobs.filter(({ firstAttemptAt }) => firstAttemptAt >= startsAt);
}

/** Jobs of the plays of all seeds; scenarios share them. */
function playAll(what: Parameters<typeof play>[0], isOn: boolean): ModelJob[] {
  const key = JSON.stringify({ ...what, isOn });
  const jobs = played.get(key) ?? SEEDS.flatMap((seed) => play(what, { isOn, seed }));
  played.set(key, jobs);
  return jobs;
}

function isUseful(job: ModelJob): boolean {
  return tookMs(job) <= LATE_LIMIT_OBJECTIVES * objectiveMs(job);
}

function isInTime(job: ModelJob): boolean {
  return tookMs(job) <= objectiveMs(job);
}

function tookMs({ completedAt = Infinity, firstAttemptAt }: ModelJob): number {
  return completedAt - firstAttemptAt;
}

/** Jobs that were accepted at their first attempt; others may return for a result that is no longer of use. */
function acceptedAtOnce(jobs: readonly ModelJob[]): ModelJob[] {
  return jobs.filter(
    ({ acceptedAt, refusals }) => acceptedAt !== undefined && refusals.length === 0,
  );
}

function share(jobs: readonly ModelJob[], isCounted: (job: ModelJob) => boolean): number {
  return jobs.length === 0 ? 1 : jobs.filter(isCounted).length / jobs.length;
}

When(
  /^(\d+) s of arrivals at ([\d.]+) times the capacity by (.*) are played, with and without admission$/,
  function (this: LoadWorld, seconds: string, load: string, whom: string) {
    const what = { seconds: Number(seconds), load: Number(load), whom };
    this.jobs = playAll(what, true);
    this.jobsWithout = playAll(what, false);
    if (process.env.LOAD_MODEL_FIGURES !== undefined) {
      const accepted = this.jobs.filter(({ acceptedAt }) => acceptedAt !== undefined);
      const percent = (part: number): string => (100 * part).toFixed(1);
      process.stdout.write(
        `${load} ${whom}: jobs ${this.jobs.length}, accepted ${accepted.length}, ` +
          `useful of accepted at once ${percent(share(acceptedAtOnce(this.jobs), isUseful))}, ` +
          `useful of all ${percent(share(this.jobs, isUseful))} ` +
          `(without ${percent(share(this.jobsWithout, isUseful))}), ` +
          `in time ${percent(share(this.jobs, isInTime))} (${percent(share(this.jobsWithout, isInTime))}), ` +
          `refusals ${this.jobs.reduce((sum, { refusals }) => sum + refusals.length, 0)}\n`,
      );
    }
  },
);

Then(
  'at least {int} percent of the jobs accepted at once are served while they are of use',
  function (this: LoadWorld, percent: number) {
    const useful = share(acceptedAtOnce(this.jobs), isUseful);
    assert.ok(useful * 100 >= percent, `${(useful * 100).toFixed(1)} %`);
  },
);

Then(
  /^at least (\d+) percent as many jobs( of the other accounts)? are served (in time|while of use) as without admission$/,
  function (this: LoadWorld, percent: string, others: string | null, when: string) {
    const isServed = when === 'in time' ? isInTime : isUseful;
    const [on, off] = [this.jobs, this.jobsWithout].map(
      (jobs) => jobs.filter((job) => (!others || job.account !== HEAVY) && isServed(job)).length,
    );
    assert.ok(on! * 100 >= off! * Number(percent), `${on} with, ${off} without`);
  },
);

Then('each refusal says when to return, in 1 to 25 s', function (this: LoadWorld) {
  const delays = this.jobs.flatMap(({ refusals }) => refusals.map((each) => each.retryAfterMs));
  assert.ok(delays.every((ms) => ms >= 1000 && ms <= 25_000));
});

Then('each accepted job ran once, and no other job ran', function (this: LoadWorld) {
  this.jobs.forEach(({ acceptedAt, started, done, step }) => {
    const expected = acceptedAt === undefined ? 0 : step.tasks;
    assert.deepEqual({ started, done }, { started: expected, done: expected });
  });
});

Then(
  'callers that are told to return together are at most {int} in a second of each play',
  function (this: LoadWorld, limit: number) {
    const returns = new Map<number, number>();
    this.jobs.forEach(({ refusals }) =>
      refusals.forEach(({ at, retryAfterMs }) => {
        const second = Math.floor(at / 1000) + Math.ceil(retryAfterMs / 1000);
        returns.set(second, (returns.get(second) ?? 0) + 1);
      }),
    );
    const most = Math.max(0, ...returns.values());
    assert.ok(most <= limit * SEEDS.length, `${most}`);
  },
);

Then('no job was refused', function (this: LoadWorld) {
  assert.ok(this.jobs.length > 0);
  assert.ok(this.jobs.every(({ refusals }) => refusals.length === 0));
});

Then(
  "at least {int} percent of all jobs ran in the end, and {int} percent of each account's",
  function (this: LoadWorld, ofAll: number, ofAccount: number) {
    const hasRun = ({ completedAt }: ModelJob): boolean => completedAt !== undefined;
    assert.ok(share(this.jobs, hasRun) * 100 >= ofAll);
    new Set(this.jobs.map(({ account }) => account)).forEach((account) => {
      const own = this.jobs.filter((job) => job.account === account);
      assert.ok(share(own, hasRun) * 100 >= ofAccount, account);
    });
  },
);

Then(
  'the owner counts the age of each returned job from its first refusal',
  function (this: LoadWorld) {
    const returned = this.jobs.filter(
      ({ refusals, acceptedAt }) => refusals.length > 0 && acceptedAt !== undefined,
    );
    assert.ok(returned.length > 0);
    // The owner learns of a refusal from the next heartbeat of its entry, and of the newest 16 only.
    const known = share(returned, ({ refusals, acceptedAt, refusedForMs }) => {
      const [first] = refusals;
      return Math.abs(acceptedAt! - first!.at - refusedForMs) <= 1;
    });
    assert.ok(known >= 0.95, `${known}`);
  },
);
