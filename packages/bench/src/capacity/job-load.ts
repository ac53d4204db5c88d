/** Urgent jobs through the real path, and how long each waited for its start. */
import { setTimeout as sleep } from 'node:timers/promises';
import { URGENT_KIND, caller } from './capacity-deployment.js';

interface JobTimes {
  state: string;
  final: boolean;
  submittedAt: number;
  startedAt?: number;
}

const RUN_MS = 50;
const BODY = {
  kind: URGENT_KIND,
  shape: { tasks: 1, acceleratorsPerTask: 1 },
  params: { runMs: RUN_MS },
};

/** Submits one urgent job and awaits its end; from its acceptance to its start, in ms. */
export async function startLatency(url: string): Promise<number> {
  const res = await caller.call('POST', `${url}/v1/jobs`, { body: BODY });
  if (res.status !== 202) throw new Error(`Not accepted: ${JSON.stringify(res.body)}`);
  const { id } = res.body as { id: string };
  for (;;) {
    const { body } = await caller.call('GET', `${url}/v1/jobs/${id}/wait?timeoutMs=20000`);
    const job = body as JobTimes;
    if (job.final && job.startedAt === undefined) throw new Error(`Job ${id}: ${job.state}`);
    if (job.final) return (job.startedAt ?? Infinity) - job.submittedAt;
  }
}

/** Submits urgent jobs at a steady rate; their latencies in ms, sorted. */
export async function startLatencies(
  url: string,
  { jobs, perSecond }: { jobs: number; perSecond: number },
): Promise<number[]> {
  const open: Promise<number>[] = [];
  for (let n = 0; n < jobs; n += 1) {
    open.push(startLatency(url));
    await sleep(1000 / perSecond);
  }
  return (await Promise.all(open)).sort((a, b) => a - b);
}
