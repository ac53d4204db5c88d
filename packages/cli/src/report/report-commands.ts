/** Commands that show what runs: status, jobs, upstreams. */
import type { JobRow } from '@zincspan/core';
import type { DependencyContainer } from 'tsyringe';
import { countFlag, textFlag, type Command, type Flags } from '../command/command.js';
import { CLIENT, OUTPUT } from '../container/container.js';
import { formatTable, formatTime } from '../output/table.js';
import {
  readJobs,
  readProcesses,
  readUpstreams,
  type ProcessReport,
  type UpstreamReport,
} from './report-calls.js';

/** They change nothing. */
export const REPORT_COMMANDS: readonly Command[] = [
  {
    name: 'status',
    description: 'Show every process and what its parts say of themselves',
    run: status,
  },
  {
    name: 'jobs',
    description: 'List jobs of all client accounts',
    options: [
      ['--account <name>', 'Of this client account only'],
      ['--state <state>', 'queued, started, succeeded, failed, cancelled or refused'],
      ['--limit <count>', 'How many at once; default 100'],
      ['--after <key>', 'Go on after a listing that was cut'],
    ],
    run: jobs,
  },
  {
    name: 'upstreams',
    description: 'List the runners and workers that are announced',
    run: upstreams,
  },
];

async function status(c: DependencyContainer): Promise<void> {
  const answer = await readProcesses(c.resolve(CLIENT));
  const rows = answer.processes.map((one) => [
    one.process,
    one.role,
    one.failureDomain,
    formatParts(one),
  ]);
  const lost = answer.unreachable.map(({ process, why }) => [
    process,
    '-',
    '-',
    `no answer: ${why}`,
  ]);
  c.resolve(OUTPUT).result(answer, () =>
    formatTable(['PROCESS', 'ROLE', 'FAILURE DOMAIN', 'STATUS'], [...rows, ...lost]),
  );
}

/** `part: key value, key value; part: …`, with what isn't a plain value as JSON. */
function formatParts({ status: parts }: ProcessReport): string {
  return Object.entries(parts)
    .map(([name, value]) => `${name}: ${formatPart(value)}`)
    .join('; ');
}

function formatPart(value: unknown): string {
  if (typeof value !== 'object' || value === null) return String(value);
  if (Array.isArray(value)) return JSON.stringify(value);
  return Object.entries(value)
    .map(([key, one]) => `${key} ${typeof one === 'object' ? JSON.stringify(one) : String(one)}`)
    .join(', ');
}

async function jobs(c: DependencyContainer, _args: string[], flags: Flags): Promise<void> {
  const account = textFlag(flags, 'account');
  const state = textFlag(flags, 'state');
  const after = textFlag(flags, 'after');
  const limit = countFlag(flags, 'limit');
  const answer = await readJobs(c.resolve(CLIENT), {
    ...(account === undefined ? {} : { account }),
    ...(state === undefined ? {} : { state }),
    ...(after === undefined ? {} : { after }),
    ...(limit === undefined ? {} : { limit }),
  });
  c.resolve(OUTPUT).result(answer, () => {
    const table = formatTable(
      ['JOB', 'ACCOUNT', 'KIND', 'STATE', 'TASKS', 'FAILURE DOMAIN', 'SUBMITTED', 'STARTED', 'END'],
      answer.jobs.map(jobCells),
    );
    return answer.next === undefined ? table : `${table}\nMore: --after ${answer.next}`;
  });
}

function jobCells(job: JobRow): unknown[] {
  const { shape, kind } = job.spec;
  return [
    job.id,
    job.account,
    kind,
    job.state,
    `${shape.tasks}x${shape.acceleratorsPerTask}`,
    job.failureDomain,
    formatTime(job.submittedAt),
    formatTime(job.startedAt),
    job.outcome && `${job.outcome.kind} (${job.outcome.ran})`,
  ];
}

async function upstreams(c: DependencyContainer): Promise<void> {
  const answer = await readUpstreams(c.resolve(CLIENT));
  c.resolve(OUTPUT).result(answer, () =>
    formatTable(
      ['UPSTREAM', 'TYPE', 'FAILURE DOMAIN', 'GUARD', 'LINK', 'STATE', 'DRAINED', 'SIZE'],
      answer.upstreams.map(upstreamCells),
    ),
  );
}

function upstreamCells(one: UpstreamReport): unknown[] {
  const { upstream, failureDomain, guard, linked, state, drained } = one;
  const size =
    upstream.type === 'worker'
      ? `${upstream.accelerators} accelerators, ${upstream.cores} cores, ${upstream.memoryMb} MB, rack ${upstream.rack}`
      : `${upstream.slots} slots, ${upstream.connections} connections`;
  return [
    upstream.id,
    upstream.type,
    failureDomain,
    guard,
    linked ? 'up' : 'down',
    state,
    drained ? 'yes' : 'no',
    size,
  ];
}
