/** Cost of the request path: latency that entry and guard add, throughput, and what each role costs its VM. */
import { Caller, Deployment, createAccountToken, rollOut } from '@zincspan/e2e';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpLoad, type LoadFigures } from './http-load.js';
import { sampleUsage, usageBetween, type Usage } from './process-usage.js';

/** Length of the measurement, in s. */
export interface PathBenchOptions {
  seconds: number;
}

const RATE = 100;
const SERVICE_MS = 5;
const AT_ONCE = 32;
const WARM_UP_MS = 3000;
const KIND = 'match';

/** Runs the whole bench and prints its tables. */
export async function benchPath({ seconds }: PathBenchOptions): Promise<void> {
  const deployment = await Deployment.create({
    failureDomains: ['hall-1', 'hall-2', 'hall-3'],
    entries: 2,
    runners: 1,
    workers: 1,
  });
  try {
    await deployment.start();
    await measure(deployment, seconds * 1000);
  } finally {
    await deployment.stop();
  }
}

async function measure(deployment: Deployment, forMs: number): Promise<void> {
  const { token, sha256 } = createAccountToken('crews');
  await rollOut(deployment, {
    accounts: [{ name: 'crews', tokens: [{ id: 'bench', sha256 }], quota: { requests: 1000 } }],
    kinds: [
      {
        name: KIND,
        path: 'request',
        urgency: 'urgent',
        idempotent: true,
        contract: { withinMs: 1000 },
      },
    ],
  });
  await untilServed(deployment, token);
  const idle = await usageDuring(deployment, () => sleep(forMs));

  const through = new HttpLoad(throughEntries(deployment, token));
  const direct = new HttpLoad(directly(deployment));
  await through.atRate(RATE, WARM_UP_MS);
  await direct.atRate(RATE, WARM_UP_MS);
  const directly100 = await direct.atRate(RATE, forMs);
  let through100: LoadFigures | undefined;
  const loaded = await usageDuring(deployment, async () => {
    through100 = await through.atRate(RATE, forMs);
  });
  if (through100 !== undefined) printLatency(directly100, through100);
  printUsage(idle, loaded);

  // No service time: what the processes themselves can carry.
  const quick = new HttpLoad(throughEntries(deployment, token, 0));
  printThroughput(await quick.atOnce(AT_ONCE, forMs));
  [through, direct, quick].forEach((load) => load.close());
}

function throughEntries(deployment: Deployment, token: string, serviceMs = SERVICE_MS) {
  const urls = deployment.entryUrls.map((url) => `${url}/v1/requests/${KIND}`);
  return {
    url: roundRobin(urls),
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
    body: JSON.stringify({ serviceMs }),
  };
}

function directly({ layout }: Deployment) {
  const runners = layout.upstreams.filter(({ type }) => type === 'runner');
  return {
    url: roundRobin(runners.map(({ vm }) => `http://${vm.upstream}/v1/run/${KIND}`)),
    headers: {
      'content-type': 'application/json',
      'x-request-id': 'bench-direct',
      'x-deadline-ms': '10000',
    },
    body: JSON.stringify({ serviceMs: SERVICE_MS }),
  };
}

function roundRobin(urls: string[]): () => string {
  let next = 0;
  return () => {
    next += 1;
    return urls[next % urls.length] ?? '';
  };
}

async function untilServed(deployment: Deployment, token: string): Promise<void> {
  const caller = new Caller({ token });
  for (const url of deployment.entryUrls) {
    for (let status = 0; status !== 200;) {
      const answer = await caller.call('POST', `${url}/v1/requests/${KIND}`, {
        body: { serviceMs: 0 },
      });
      status = answer.status;
    }
  }
}

/** Usage of one process of each role while `work` goes on. */
async function usageDuring(
  deployment: Deployment,
  work: () => Promise<unknown>,
): Promise<Map<string, Usage>> {
  const names = ['entry-1', 'entry-2', 'guard-runner-1-1', 'guard-worker-1-1'];
  const pids = names.map((name) => deployment.process(name).pid);
  const before = pids.map(sampleUsage);
  await work();
  return new Map(names.map((name, n) => [name, usageBetween(before[n]!, sampleUsage(pids[n]!))]));
}

function printLatency(direct: LoadFigures, through: LoadFigures): void {
  const rows = [50, 99, 99.9].map((percentile) => {
    const directMs = direct.latencies.getValueAtPercentile(percentile) / 1000;
    const throughMs = through.latencies.getValueAtPercentile(percentile) / 1000;
    return {
      percentile: `p${percentile}`,
      directMs,
      throughMs,
      addedMs: rounded(throughMs - directMs),
    };
  });
  console.log(`Latency at ${RATE} requests/s, ${SERVICE_MS} ms of service (ms):`);
  console.table(rows);
  console.log(
    `answered ${through.answered}, failed ${through.failed}; directly ${direct.answered}, failed ${direct.failed}`,
  );
}

function printUsage(idle: Map<string, Usage>, loaded: Map<string, Usage>): void {
  const rows = [...idle].map(([process, usage]) => ({
    process,
    ...columns('idle', usage),
    ...columns(`${RATE}/s`, loaded.get(process) ?? usage),
  }));
  console.log('Cost of each process (bytes: all reads and writes, HTTP included):');
  console.table(rows);
}

function columns(
  when: string,
  { residentMb, cpuPercent, bytesPerSecond }: Usage,
): Record<string, number> {
  return {
    [`${when} MB`]: rounded(residentMb),
    [`${when} % core`]: rounded(cpuPercent),
    [`${when} B/s`]: Math.round(bytesPerSecond),
  };
}

function printThroughput({ answered, failed, perSecond, latencies }: LoadFigures): void {
  const p99 = latencies.getValueAtPercentile(99) / 1000;
  console.log(`Throughput, ${AT_ONCE} at once, no service time, 2 entries, 3 guards:`);
  console.log(
    `${Math.round(perSecond)} requests/s, answered ${answered}, failed ${failed}, p99 ${p99} ms`,
  );
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}
