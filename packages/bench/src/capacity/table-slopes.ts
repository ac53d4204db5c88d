/** Idle reads and writes of one entry against the number of failure domains that it owns. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '@zincspan/e2e';
import { platformStats } from './capacity-deployment.js';
import { printSlopes, type Point } from './slope.js';

const DOMAINS = [2, 4, 9, 18];
const SETTLE_MS = 4000;
const WINDOW_MS = 5000;

/** Four small deployments side by side. */
export async function measureTableSlopes(): Promise<void> {
  const deployments = await Promise.all(DOMAINS.map(createDeployment));
  try {
    await Promise.all(deployments.map((deployment) => deployment.start()));
    await sleep(SETTLE_MS);
    const before = await Promise.all(deployments.map(platformStats));
    await sleep(WINDOW_MS);
    const after = await Promise.all(deployments.map(platformStats));
    const against = (sort: 'reads' | 'writes'): Point[] =>
      DOMAINS.map((size, n) => [
        size,
        ((after[n]![sort].total - before[n]![sort].total) / WINDOW_MS) * 1000,
      ]);
    const per = 'failure domains, 1 entry';
    printSlopes('Table while nothing happens', [
      { what: 'table reads/s, idle', per, points: against('reads') },
      { what: 'table writes/s, idle', per, points: against('writes') },
    ]);
  } finally {
    await Promise.all(deployments.map((deployment) => deployment.stop()));
  }
}

function createDeployment(domains: number): Promise<Deployment> {
  const failureDomains = Array.from({ length: domains }, (_, n) => `hall-${n + 1}`);
  return Deployment.create({ failureDomains, entries: 1, runners: 0, workers: 0 });
}
