/** The check of the rule LOST for jobs that could run and don't, some seconds after the end of the traffic. */
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS } from './settings.mjs';

/** A job with room may have nothing running for this long, in ms. */
const IDLE_LIMIT_MS = 3000;

const LOOK_INTERVAL_MS = 100;

/** Accepted jobs, each with its queue and id, that aren't over and of which nothing runs for as long as the rule allows. */
export async function findIdleJobs({ jobs, caller, runs, record }) {
  await sleep(BOUNDS.finish_s * 1000);
  record.add(`${BOUNDS.finish_s} s after the end of the traffic`);
  const open = await filterOpen(jobs, caller);
  const seenRunning = await watchRunning(open, runs);
  const idle = open.filter(({ id }) => !seenRunning.has(id));
  const stillOpen = await filterOpen(idle, caller);
  stillOpen.forEach(({ id, state }) => {
    record.add(
      `${id} is ${state}: nothing ran for ${IDLE_LIMIT_MS} ms, ${runs.started(id)} starts so far`,
    );
  });
  return stillOpen;
}

async function filterOpen(jobs, caller) {
  const open = [];
  for (const { queue, id } of jobs) {
    const { status, body } = await caller.call('GET', `${queue.prefix}${id}`, { key: queue.key });
    const state = body?.state ?? `answered with ${status}`;
    if (state === 'queued' || state === 'running') open.push({ queue, id, state });
  }
  return open;
}

async function watchRunning(jobs, runs) {
  const seen = new Set();
  const endsAt = performance.now() + IDLE_LIMIT_MS;
  while (performance.now() < endsAt) {
    jobs.filter(({ id }) => runs.running(id) > 0).forEach(({ id }) => seen.add(id));
    await sleep(LOOK_INTERVAL_MS);
  }
  return seen;
}
