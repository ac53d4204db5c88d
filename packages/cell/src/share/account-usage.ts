/** What the client accounts use of each service now, by the runs in the registry. */
import { NO_RESOURCES, addResources, type Resources } from '@zincspan/core';
import type { Demand, Step } from '../job/submission.js';
import type { OwnedJob } from '../owner/owned-job.js';

/** What is needed of the registry of runs. */
export interface UsageSource {
  readonly jobs: ReadonlyMap<string, OwnedJob>;
  readonly fleet: {
    all(): Iterable<{
      assignments: ReadonlyMap<string, { jobId: string; ref: { step: number }; demand: Demand }>;
    }>;
  };
  expectedTaskMs(job: OwnedJob, step: Step): number;
}

/** Use of one service. */
export interface ServiceUsage {
  /** By account; accounts that only wait use nothing. */
  accounts: Map<string, Resources>;
  /** Number of running tasks, and the sum of their expected durations, in ms. */
  tasks: number;
  expectedMs: number;
}

/** Resources of a task or worker in the unit of the shares. */
export function toResources({ milliCores, memoryMb, accelerators }: Demand): Resources {
  return { accelerators, cores: milliCores / 1000, memoryMb };
}

/** Use of all services with open jobs or runs. An open job either runs or waits, unless it is not due. */
export function findUsage(source: UsageSource): Map<string, ServiceUsage> {
  const services = new Map<string, ServiceUsage>();
  source.jobs.forEach((job) => {
    const isDue = job.progress.outcome === 'open' && job.progress.occurrences.length > 0;
    if (isDue) charge(services, job, NO_RESOURCES);
  });
  // The expected duration is a regression; it is computed once for each step, not for each of its tasks.
  const expectedMs = new Map<Step, number>();
  [...source.fleet.all()].forEach(({ assignments }) =>
    assignments.forEach(({ jobId, ref, demand }) => {
      const job = source.jobs.get(jobId);
      const step = job?.submission.steps[ref.step];
      if (job === undefined || step === undefined) return;
      const taskMs = expectedMs.get(step) ?? source.expectedTaskMs(job, step);
      expectedMs.set(step, taskMs);
      const usage = charge(services, job, toResources(demand));
      usage.tasks += 1;
      usage.expectedMs += taskMs;
    }),
  );
  return services;
}

function charge(
  services: Map<string, ServiceUsage>,
  { terms, submission }: OwnedJob,
  resources: Resources,
): ServiceUsage {
  const usage = services.get(terms.service) ?? { accounts: new Map(), tasks: 0, expectedMs: 0 };
  services.set(terms.service, usage);
  const used = usage.accounts.get(submission.account) ?? NO_RESOURCES;
  usage.accounts.set(submission.account, addResources(used, resources));
  return usage;
}
