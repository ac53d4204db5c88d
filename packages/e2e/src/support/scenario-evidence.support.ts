/** What a failed scenario leaves for tracing, written before its processes are stopped. */
import { AfterStep, Before, Status } from '@cucumber/cucumber';
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { readTimeline } from '@zincspan/cli';
import { operatorClient } from '../audit/entry-view.js';
import { problemOf, type SentRequest } from '../audit/request-log.js';
import { readRows, readRunnerLedger, readWorkerLedger } from '../audit/stand-in-calls.js';
import type { Deployment } from '../deployment/deployment.js';
import type { E2eWorld } from './e2e-world.support.js';
import { stateOf } from './faulty-world.support.js';

const FOLDER = 'reports/scenarios';
const MAX_EVENTS = 10_000;

/** Pauses of this process, which stand-ins and callers of a scenario share. */
const pauses = monitorEventLoopDelay({ resolution: 10 });
pauses.enable();

Before(() => pauses.reset());

AfterStep(async function (this: E2eWorld, { pickle, result }) {
  if (result.status !== Status.FAILED || this.deployment === undefined) return;
  const folder = join(FOLDER, `${pickle.name.replace(/\W+/g, '-')}-${Date.now()}`);
  await keepEvidence(this, folder, result.message ?? '');
});

/** Writes one file for each process's log, and one for each other kind of record. */
async function keepEvidence(world: E2eWorld, folder: string, failure: string): Promise<void> {
  const { deployment } = world;
  await mkdir(folder, { recursive: true });
  const write = (name: string, lines: string[]): Promise<void> =>
    writeFile(join(folder, name), lines.map((line) => `${line}\n`).join(''));
  const logs = deployment.started.map(({ name, pid, lines }) => write(`${name}.${pid}.log`, lines));
  await Promise.all([
    ...logs,
    write('failure.txt', [failure, `Longest pause of this process: ${pauses.max / 1e6} ms`]),
    write('metrics.ndjson', deployment.metrics.figures().map(toJson)),
    write('answers.ndjson', [...world.answers].map(toJson)),
    write('requests.ndjson', stateOf(world).requests.sent.map(describeRequest)),
    readEvents(deployment).then((events) => write('timeline.ndjson', events)),
    readLedgers(deployment).then((ledgers) => write('ledgers.ndjson', ledgers)),
    readRows(deployment.layout.platform.upstream)
      .catch((err: unknown) => [String(err)])
      .then((rows) => write('rows.ndjson', rows.map(toJson))),
  ]);
}

/** Events of all processes that an entry reaches. */
async function readEvents(deployment: Deployment): Promise<string[]> {
  const entries = deployment.layout.entries.map(({ id }) => id);
  try {
    const client = operatorClient(deployment, { entries });
    const { events } = await readTimeline(client, { limit: MAX_EVENTS });
    return events.map(toJson);
  } catch (err) {
    return [`No entry gave its time line: ${String(err)}`];
  }
}

async function readLedgers({ layout }: Deployment): Promise<string[]> {
  return Promise.all(
    layout.upstreams.map(async ({ id, type, vm }) => {
      const read = type === 'runner' ? readRunnerLedger : readWorkerLedger;
      const ledger = await read(vm.upstream).catch(String);
      return toJson({ id, ledger });
    }),
  );
}

function describeRequest(sent: SentRequest): string {
  const { name, kind, url, sentAt, endedAt, answer, cut } = sent;
  const { status } = answer ?? {};
  const told = problemOf(sent);
  return toJson({ name, kind, url, sentAt, endedAt, status, told, cut: cut?.message });
}

function toJson(value: unknown): string {
  return JSON.stringify(value);
}
