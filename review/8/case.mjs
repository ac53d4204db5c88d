/** A client that was told that its job is not accepted must not have it run. */
import { runCase } from '../lib-2/case.mjs';
import { Client } from '../lib-2/client.mjs';
import { sleep } from '../lib-2/fleet.mjs';
import { HOST, PREFIX, configuration } from '../lib-2/operator.mjs';

const ENTRIES = 2;
const WORKERS = 3;

/** Each round: a client hands a job in, and its key is taken away right after the job was stored. */
const ROUNDS = 3;
const ROUND_MS = 1500;

/** The store loses the answer to each third submission at most, while it loses answers, in ms. */
const WORK_MS = 500;

/** Time for accepted jobs to start, in ms. */
const SETTLE_MS = 6000;

const STEP = { count: 2, cpu: 1000, mem_mb: 1024, estimate_ms: WORK_MS };

const KEYS = Array.from({ length: ROUNDS }, (_, round) => `key-${round}`);

await runCase(new URL('./', import.meta.url), async ({ fleet, jobs, record, isTroubled }) => {
  const started = new Set();
  const onEvent = (event, { task }) => {
    if (event === 'run started') started.add(task.split('.')[0]);
  };
  /** The job whose submission is awaited, and what follows once it is stored. */
  const awaited = { id: undefined, onStored: () => {} };
  const isAwaited = (tx) => tx.set.some(({ key }) => key === `${awaited.id}/s`);
  await fleet.start({
    entries: ENTRIES,
    workers: WORKERS,
    config: config(0),
    runner: { onEvent },
    store: {
      onWrite: (tx, { status }) => {
        if (status !== 200 || !isAwaited(tx)) return;
        record.add('store', 'stored a submission', { id: awaited.id, answerLost: isTroubled });
        setImmediate(awaited.onStored);
      },
      faultOf: (tx) => (isTroubled && isAwaited(tx) ? 'lost' : 'none'),
    },
  });
  const outcomes = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const endsAt = performance.now() + ROUND_MS;
    const job = jobs.add({ workMs: WORK_MS, steps: [STEP] });
    awaited.id = job.id;
    awaited.onStored = () => fleet.configure(config(round + 1));
    const name = `client-${round}`;
    const client = new Client({ name, host: HOST, prefix: PREFIX, key: KEYS[round], record });
    outcomes.push({ id: job.id, statuses: await client.submit(fleet.entries, job) });
    await sleep(endsAt - performance.now());
  }
  await sleep(SETTLE_MS);
  return outcomes
    .filter(({ id, statuses }) => started.has(id) && statuses.every(isRejection))
    .map(({ id, statuses }) => `REFUSED: job ${id} was answered ${statuses.join(', ')} and ran`);
});

/** The configuration after so many rounds: the keys of the clients of these are gone. */
function config(rounds) {
  const keys = ['key-of-others', ...KEYS.slice(rounds)];
  return configuration({ version: 1 + rounds, tenants: [{ name: 'studio', keys }] });
}

/** True of an answer that says that the job was not accepted; 0, 502 and 504 say nothing. */
function isRejection(status) {
  return status >= 400 && status !== 502 && status !== 504;
}
