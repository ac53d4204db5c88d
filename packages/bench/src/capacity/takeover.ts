/** An urgent job whose owner was killed just before: from the kill to the job's start. */
import { setTimeout as sleep } from 'node:timers/promises';
import { ownerKey } from '@zincspan/core';
import { Deployment, rollOut } from '@zincspan/e2e';
import { FAILURE_DOMAIN, bundleOf, ownerRow } from './capacity-deployment.js';
import { startLatency } from './job-load.js';
import { digits } from './slope.js';

const SETTLE_MS = 3000;
const LOOK_MS = 50;

/** Kills the owner so many times, over separate processes. */
export async function measureTakeover({ times }: { times: number }): Promise<void> {
  const deployment = await Deployment.create({
    failureDomains: [FAILURE_DOMAIN],
    entries: 3,
    runners: 0,
    workers: 3,
  });
  const latencies: number[] = [];
  try {
    await deployment.start();
    await rollOut(deployment, bundleOf(4));
    await startLatency(deployment.entryUrls[0] ?? '');
    for (let n = 0; n < times; n += 1) latencies.push(await killOwner(deployment));
  } finally {
    await deployment.stop();
  }
  latencies.sort((a, b) => a - b);
  console.log(`\n### Urgent start after the owner was killed, 3 entries, 3 workers\n`);
  console.log(`Submission to start, ms, ${times} times: ${latencies.map(digits).join(', ')}`);
}

/** The job is submitted right after the kill, to an entry that lives on. */
async function killOwner(deployment: Deployment): Promise<number> {
  const owner = await ownerOf(deployment);
  const { entries } = deployment.layout;
  const killed = entries.find(({ id }) => id === owner);
  const other = entries.find(({ id }) => id !== owner);
  if (killed === undefined || other === undefined) throw new Error(`No entry is ${owner}.`);
  await deployment.process(killed.id).kill();
  const latency = await startLatency(`http://${other.vm.http}`);
  await deployment.startEntry(killed);
  await sleep(SETTLE_MS);
  return latency;
}

async function ownerOf(deployment: Deployment): Promise<string> {
  for (;;) {
    const row = await ownerRow(deployment, ownerKey(FAILURE_DOMAIN));
    if (row?.holder !== undefined) return row.holder.id;
    await sleep(LOOK_MS);
  }
}
