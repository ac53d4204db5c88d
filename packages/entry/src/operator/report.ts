/** What operators ask about the whole system: time line, processes, upstreams, jobs. */
import {
  checkValue,
  hybridStampSchema,
  jobRowSchema,
  jobStateSchema,
  mergeTimelines,
  nameSchema,
  type JobRow,
  type TimelineEvent,
} from '@zincspan/core';
import * as z from 'zod';
import type { EntryDeps } from '../app.js';
import { askProcesses, type UnreachableProcess } from './ask-processes.js';

/** Rows read at once, and the most that one listing reads before it hands out a cursor. */
const PAGE_ROWS = 500;
const MAX_SCANNED_ROWS = 10_000;

const timelineQuerySchema = z.object({
  /** Wall-clock ms. */
  since: z.coerce.number().min(0).optional(),
  job: z.string().max(200).optional(),
  limit: z.coerce.number().int().min(1).max(10_000).default(2000),
});

const jobsQuerySchema = z.object({
  account: nameSchema.optional(),
  state: jobStateSchema.optional(),
  after: z.string().max(300).optional(),
  limit: z.coerce.number().int().min(1).max(1000).default(100),
});
type JobsQuery = z.infer<typeof jobsQuerySchema>;

/** Answer of the time line: `dropped` tells of events that rings no longer hold. */
export interface MergedTimeline {
  events: TimelineEvent[];
  dropped: Record<string, number>;
  unreachable: UnreachableProcess[];
}

/** A listing of jobs; `next` goes on from where it stopped, if there may be more. */
export interface JobListing {
  jobs: JobRow[];
  next?: string;
}

/** Merges this process's ring with those of all it can reach, in causal order. */
export async function readTimeline(deps: EntryDeps, query: unknown): Promise<MergedTimeline> {
  const { since, job, limit } = checkValue(query, timelineQuerySchema, { source: 'The query' });
  const from = since === undefined ? {} : { since: hybridStampSchema.parse([since, 0]) };
  const req = { ...from, ...(job === undefined ? {} : { job }), limit };
  const { answers, unreachable } = await askProcesses(deps, 'timeline.read', req);
  const { timeline, self } = deps.ctx;
  const rings = [timeline.read(req), ...answers.map(({ answer }) => answer.events)];
  const dropped = answers.map(({ process, answer }) => [process, answer.dropped]);
  return {
    events: mergeTimelines(rings).slice(-limit),
    dropped: Object.fromEntries([[self.id, timeline.dropped], ...dropped]),
    unreachable,
  };
}

/** Status of every process, this one first. */
export async function readProcesses(deps: EntryDeps): Promise<object> {
  const { answers, unreachable } = await askProcesses(deps, 'process.status', {});
  const { id, role, failureDomain } = deps.ctx.self;
  const own = { process: id, role, failureDomain, status: deps.status() };
  const others = answers.map(({ answer, ...process }) => ({ ...process, status: answer.status }));
  return { processes: [own, ...others], unreachable };
}

/** Every upstream that this entry knows. */
export function readUpstreams({ upstreams, bundles, ctx }: EntryDeps): object {
  const drained = new Set(bundles.current?.bundle.drained);
  const now = ctx.clock.now();
  const known = upstreams.all().map(({ upstream, failureDomain, guard, state, expiresAt }) => ({
    upstream,
    failureDomain,
    guard,
    state,
    drained: drained.has(upstream.id),
    linked: upstreams.guardPeer(guard) !== undefined,
    expiresInMs: Math.max(0, Math.round(expiresAt - now)),
  }));
  return { upstreams: known.sort((a, b) => (a.upstream.id < b.upstream.id ? -1 : 1)) };
}

/** Jobs of one account or all, in order of account and id. */
export async function readJobs({ table }: EntryDeps, query: unknown): Promise<JobListing> {
  const wanted = checkValue(query, jobsQuerySchema, { source: 'The query' });
  const prefix = wanted.account === undefined ? 'jobs/' : `jobs/${wanted.account}/`;
  const jobs: JobRow[] = [];
  let { after } = wanted;
  for (let scanned = 0; scanned < MAX_SCANNED_ROWS; scanned += PAGE_ROWS) {
    const options = after === undefined ? {} : { after };
    const rows = await table.scan(prefix, { ...options, limit: PAGE_ROWS });
    for (const { key, value } of rows) {
      const job = matchingJob(value, wanted);
      if (job) jobs.push(job);
      after = key;
      if (jobs.length === wanted.limit) return { jobs, next: key };
    }
    if (rows.length < PAGE_ROWS) return { jobs };
  }
  return after === undefined ? { jobs } : { jobs, next: after };
}

function matchingJob(value: unknown, { state }: JobsQuery): JobRow | undefined {
  const row = jobRowSchema.safeParse(value);
  if (!row.success) return undefined;
  return state === undefined || row.data.state === state ? row.data : undefined;
}
