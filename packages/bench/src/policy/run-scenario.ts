/** One run: a deployment, a scenario, a policy and a seed give figures. */
import { demandsOf, type Bundle } from '@zincspan/core';
import { RandomSource } from '../route/random-source.js';
import { VirtualTime } from '../route/virtual-time.js';
import type { Deployment } from './deployment.js';
import { FakeDomain } from './fake-domain.js';
import type { Scenario } from './scenario.js';
import { Tally, type Figures } from './tally.js';
import { makeWorkload, type Submission } from './workload.js';

const SAMPLE_MS = 60_000;

/** A lost rack is replaced after this long. */
const RACK_LOST_MS = 1_800_000;

/** A policy version: what it changes in the bundle. */
export interface PolicyVersion {
  name: string;
  policy: Partial<Bundle['policy']>;
}

/** What to run. */
export interface Run {
  deployment: Deployment;
  scenario: Scenario;
  version: PolicyVersion;
  seed: number;
}

/** Runs a scenario to its end. Jobs not done by then count with their age. */
export function runScenario({ deployment, scenario, version, seed }: Run): Figures {
  const policy = { ...deployment.bundle.policy, ...version.policy };
  const bundle = { ...deployment.bundle, policy };
  const time = new VirtualTime();
  time.now = scenario.startMs;
  const tally = new Tally();
  const domains = deployment.failureDomains.map(
    ({ name, workers }) => new FakeDomain({ name, workers, bundle, time, tally }),
  );
  const workload = makeWorkload(deployment, scenario, seed);
  feed({ workload, domains, bundle, time, tally, startMs: scenario.startMs });
  disturb({ deployment, scenario, domains, time, tally, seed });
  sample({ deployment, domains, time, endMs: scenario.startMs + scenario.forMs });
  time.runUntil(scenario.startMs + scenario.forMs);
  domains.forEach((domain) => domain.closeClaims());
  return tally.figures(time.now);
}

function feed({
  workload,
  domains,
  bundle,
  time,
  tally,
  startMs,
}: {
  workload: Submission[];
  domains: FakeDomain[];
  bundle: Bundle;
  time: VirtualTime;
  tally: Tally;
  startMs: number;
}): void {
  workload.forEach((submission) =>
    time.after(submission.atMs - startMs, () => {
      const { spec, account } = submission;
      const kind = bundle.kinds.find(({ name }) => name === spec.kind)!;
      tally.fates.set(submission.key, {
        urgent: kind.urgency === 'urgent',
        withinMs: kind.contract?.withinMs,
        size: spec.shape.tasks * spec.shape.acceleratorsPerTask,
        adjacency: spec.shape.adjacency,
        submittedAt: submission.atMs,
      });
      choose(domains, account, submission, time.now).submit(submission);
    }),
  );
}

/** The entry's choice: the failure domain with the shortest expected wait, then the shortest queue. */
function choose(
  domains: FakeDomain[],
  account: string,
  { spec }: Submission,
  now: number,
): FakeDomain {
  const options = domains.map((domain) => ({
    domain,
    waitMs: domain.scheduler.expectedWaitMs(account, spec.kind, spec.shape, now),
    load: domain.load,
  }));
  options.sort((a, b) => a.waitMs - b.waitMs || a.load - b.load);
  return options[0]!.domain;
}

function disturb({
  deployment,
  scenario,
  domains,
  time,
  tally,
  seed,
}: {
  deployment: Deployment;
  scenario: Scenario;
  domains: FakeDomain[];
  time: VirtualTime;
  tally: Tally;
  seed: number;
}): void {
  const random = new RandomSource(seed + 1);
  const failing = Math.ceil(
    ((scenario.failingWorkers ?? 0) * domains.flatMap(({ workers }) => workers).length) / 10,
  );
  for (let i = 0; i < failing; i += 1) {
    const domain = domains[i % domains.length]!;
    domain.fail(domain.workers[Math.floor(i / domains.length)]!);
  }
  if (scenario.rackLossAtMs !== undefined) {
    time.after(scenario.rackLossAtMs - time.now, () => domains[0]!.loseRack(RACK_LOST_MS));
  }
  scenario.cancellations?.forEach(({ atMs, part }) =>
    time.after(atMs - time.now, () => cancelWave(deployment, domains, tally, random, part)),
  );
  if (scenario.claims !== undefined) claimRounds(deployment, scenario, domains, time);
}

function cancelWave(
  deployment: Deployment,
  domains: FakeDomain[],
  tally: Tally,
  random: RandomSource,
  part: number,
): void {
  const account = deployment.accounts[0]!.name;
  domains.forEach((domain) =>
    domain.keysOf(account).forEach((key) => {
      if (random.uniform() > part) return;
      tally.cancel(key);
      domain.cancel(key);
    }),
  );
}

function claimRounds(
  { bundle }: Deployment,
  { startMs, forMs, claims }: Scenario,
  domains: FakeDomain[],
  time: VirtualTime,
): void {
  const { everyMs, heldMs } = claims!;
  for (let atMs = everyMs; atMs < forMs - everyMs / 2; atMs += everyMs) {
    bundle.guarantees.forEach(({ name, account, count, withinMs, failureDomain }) => {
      const domain = domains.find((one) => one.name === failureDomain)!;
      for (let copy = 0; copy < count; copy += 1) {
        const key = `claims/${account}/${name}-${copy}-${startMs + atMs}`;
        time.after(atMs, () => domain.claim(key, { account, guarantee: name, withinMs, heldMs }));
      }
    });
  }
}

/** Demand is what the deployment guarantees and what its callers usually ask for. */
function sample({
  deployment,
  domains,
  time,
  endMs,
}: {
  deployment: Deployment;
  domains: FakeDomain[];
  time: VirtualTime;
  endMs: number;
}): void {
  const usual = deployment.classes.flatMap(({ shapes }) =>
    shapes.map((shape) => ({ shape, count: 1 })),
  );
  const demand = demandsOf(deployment.bundle, usual);
  for (let atMs = time.now; atMs < endMs; atMs += SAMPLE_MS) {
    time.after(atMs - time.now, () => domains.forEach((domain) => domain.sample(demand)));
  }
}
