/** A heartbeat of another writer must not keep a guard from using its own runner. */
import { runCase } from '../lib-2/case.mjs';
import { Client } from '../lib-2/client.mjs';
import { SERVICE, sleep } from '../lib-2/fleet.mjs';
import { callJson } from '../lib-2/json-http.mjs';
import { HOST, PREFIX, configuration } from '../lib-2/operator.mjs';

const ENTRIES = 2;
const WORKERS = 4;

/** The traffic, in jobs and in ms. */
const JOBS = 20;
const JOB_INTERVAL_MS = 1000;
const WORK_MS = 1000;

/** `finish_s`, and how long a job may have nothing running then, in ms. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;

const KEY = 'key-of-studio';

/** Before the foreign heartbeats: guards listen by then, in ms. */
const GUARD_START_MS = 1000;

/** What another writer sends: a service that no configuration names, and an address of another format. */
const FOREIGN_ID = 'legacy-7';
const FOREIGN_HEARTBEAT = {
  service: `${SERVICE}-legacy`,
  address: '127.0.0.9:http',
  zone: 'bayangol-hall',
  version: 'v0',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  clock_ms: 1,
  sequence: 1,
};

await runCase(new URL('./', import.meta.url), async ({ fleet, jobs, record, isTroubled }) => {
  const started = new Map();
  const onEvent = (event, { task }) => {
    if (event === 'run started') started.set(task.split('.')[0], performance.now());
  };
  await fleet.start({
    entries: ENTRIES,
    workers: WORKERS,
    config: configuration({ version: 1, tenants: [{ name: 'studio', keys: [KEY] }] }),
    runner: { onEvent },
    beforeRunners: async () => {
      await sleep(GUARD_START_MS);
      if (isTroubled) await sendForeignHeartbeats(fleet, record);
    },
  });
  const client = new Client({ name: 'client', host: HOST, prefix: PREFIX, key: KEY, record });
  const accepted = [];
  for (let number = 0; number < JOBS; number += 1) {
    const step = { count: 2, cpu: 1000, mem_mb: 1024, estimate_ms: WORK_MS };
    const job = jobs.add({ workMs: WORK_MS, steps: [step] });
    const statuses = await client.submit(fleet.entries, job);
    if (statuses.at(-1) === 200) accepted.push(job.id);
    await sleep(JOB_INTERVAL_MS);
  }
  await sleep(FINISH_MS + IDLE_MS);
  const breaches = [];
  for (const id of accepted) {
    const { state } = await client.state(fleet.entries[0], id);
    if (!started.has(id)) breaches.push(`LOST: job ${id} was accepted, is ${state}, never started`);
  }
  return breaches;
});

/** One to each guard. */
async function sendForeignHeartbeats({ workers }, record) {
  for (const { name, control } of workers) {
    const { status } = await callJson(control, {
      method: 'PUT',
      path: `/-/instances/${FOREIGN_ID}`,
      body: FOREIGN_HEARTBEAT,
    });
    record.add('writer', 'sent a foreign heartbeat', { to: name, status });
  }
}
