/** Commands that show what runs: status, jobs, upstreams. */
import type { JobRow } from '@zincspan/core';
import type { DependencyContainer } from 'tsyringe';
import { countFlag, textFlag, type Command, type Flags } from '../command/command.js';
import { CLIENT, OUTPUT } from '../container/container.js';
import { formatTable, formatTime } from '../output/table.js';
import { formatProcess } from './format-process.js';
import { readJobs, readProcesses, readUpstreams, type UpstreamReport } from './report-calls.js';

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
  c.resolve(OUTPUT).result(answer, () => {
    const rows = answer.processes.flatMap(formatProcess);
    const lost = answer.unreachable.map(({ process, why }) => [
      process,
      '-',
      '-',
      'no answer',
      why,
    ]);
    return formatTable(['PROCESS', 'ROLE', 'FAILURE DOMAIN', 'PART', 'STATUS'], [...rows, ...lost]);
  });
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
