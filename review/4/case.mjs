/** A task whose run has ended `done` must not be started again, however many ends its runner has to list. */
import { runCase } from '../lib-2/case.mjs';
import { Client } from '../lib-2/client.mjs';
import { sleep } from '../lib-2/fleet.mjs';
import { HOST, PREFIX, configuration } from '../lib-2/operator.mjs';
import { RunLog } from '../lib-2/run-log.mjs';

const ENTRIES = 2;
const WORKERS = 4;

/** Jobs that are handed in at the same time, and the one step of each. All tasks take as long, in ms. */
const JOBS = 11;
const WORK_MS = 5000;
const STEP = { count: 55, cpu: 100, mem_mb: 64, estimate_ms: WORK_MS };

/** The store is down from shortly before the tasks end, for so long, in ms. */
const DOWN_AFTER_MS = 4700;
const DOWN_MS = 4500;

/** Time for all jobs to complete after that, in ms. */
const SETTLE_MS = 20_000;

const KEY = 'key-of-studio';

await runCase(new URL('./', import.meta.url), async ({ fleet, jobs, record, isTroubled }) => {
  const log = new RunLog();
  await fleet.start({
    entries: ENTRIES,
    workers: WORKERS,
    config: configuration({ version: 1, tenants: [{ name: 'studio', keys: [KEY] }] }),
    runner: { onEvent: (event, details) => log.add(event, details) },
  });
  const client = new Client({ name: 'client', host: HOST, prefix: PREFIX, key: KEY, record });
  await Promise.all(
    Array.from({ length: JOBS }, () =>
      client.submit(fleet.entries, jobs.add({ workMs: WORK_MS, steps: [STEP] })),
    ),
  );
  await sleep(DOWN_AFTER_MS);
  if (isTroubled) setStoreDown(fleet, record, true);
  await sleep(DOWN_MS);
  if (isTroubled) setStoreDown(fleet, record, false);
  await sleep(SETTLE_MS);
  return log.startsAfterDone();
});

function setStoreDown({ store }, record, isDown) {
  store.setDown(isDown);
  record.add('store', isDown ? 'is down' : 'is back');
}
