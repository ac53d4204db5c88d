/** The jobs of a scenario, made beforehand so that every policy gets the same ones. */
import type { JobSpec } from '@zincspan/core';
import { RandomSource } from '../route/random-source.js';
import type { Deployment, JobClass } from './deployment.js';
import { HOUR_MS, isNight, type Scenario } from './scenario.js';

/** One submission and the truth about it. Times in ms. */
export interface Submission {
  key: string;
  account: string;
  atMs: number;
  spec: JobSpec;
  runMs: number;
}

/** Declarations of honest callers still scatter by this much (of the logarithm). */
const HONEST_SIGMA = 0.5;

/** Makes the submissions of a scenario, in order of time. */
export function makeWorkload(
  deployment: Deployment,
  scenario: Scenario,
  seed: number,
): Submission[] {
  const random = new RandomSource(seed);
  const submissions = deployment.classes.flatMap((jobs) =>
    arrivals(jobs, scenario, random).map(({ atMs, burst }) =>
      submission({ deployment, scenario, random, jobs, atMs, burst }),
    ),
  );
  submissions.sort((a, b) => a.atMs - b.atMs);
  return submissions.map((one, i) => ({ ...one, key: `jobs/${one.account}/j${i}` }));
}

function isInBurst(jobs: JobClass, { burst }: Scenario, atMs: number): boolean {
  if (burst === undefined || atMs < burst.atMs || atMs >= burst.atMs + burst.forMs) return false;
  const largest = Math.max(...jobs.shapes.map((s) => s.tasks * s.acceleratorsPerTask));
  return burst.size === 'small' ? largest <= 2 : largest >= 16;
}

function arrivals(jobs: JobClass, scenario: Scenario, random: RandomSource) {
  const found: { atMs: number; burst: boolean }[] = [];
  const end = scenario.startMs + scenario.forMs;
  let atMs = scenario.startMs;
  while (atMs < end) {
    const burst = isInBurst(jobs, scenario, atMs);
    const usual = isNight(atMs) ? jobs.perHourByNight : jobs.perHourByDay;
    const perHour = burst ? usual * (1 + scenario.burst!.factor) : usual;
    // Steps end where the rate may change, so that a long gap doesn't jump over a burst.
    const gapMs = random.exponential(HOUR_MS / Math.max(perHour, 0.01));
    const stepMs = Math.min(gapMs, 60_000);
    atMs += stepMs;
    if (gapMs > stepMs || atMs >= end) continue;
    found.push({ atMs, burst: burst && random.uniform() > 1 / (1 + scenario.burst!.factor) });
  }
  return found;
}

function submission({
  deployment,
  scenario,
  random,
  jobs,
  atMs,
  burst,
}: {
  deployment: Deployment;
  scenario: Scenario;
  random: RandomSource;
  jobs: JobClass;
  atMs: number;
  burst: boolean;
}): Submission {
  const [first] = deployment.accounts;
  const account = burst ? first!.name : pickAccount(deployment, random);
  const shape = random.pick(jobs.shapes);
  const runMs = Math.max(500, random.logNormal(jobs.medianRunMs, jobs.sigma));
  const honest = runMs * random.logNormal(1, HONEST_SIGMA);
  const index = deployment.accounts.findIndex(({ name }) => name === account);
  const lie = scenario.lie ?? 1;
  const declaredRunMs = Math.max(1, Math.round(index % 2 === 0 ? honest * lie : honest / lie));
  return {
    key: '',
    account,
    atMs,
    runMs,
    spec: { kind: jobs.kind, shape, declaredRunMs, params: {} },
  };
}

function pickAccount({ accounts }: Deployment, random: RandomSource): string {
  let left = random.uniform();
  const found = accounts.find(({ part }) => {
    left -= part;
    return left < 0;
  });
  return (found ?? accounts[0]!).name;
}
