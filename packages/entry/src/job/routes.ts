/** The caller API of jobs over HTTP. Callers see the jobs of their own account only. */
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi';
import {
  isFinal,
  jobKey,
  jobSpecSchema,
  jobStateSchema,
  nameSchema,
  type JobRow,
} from '@zincspan/core';
import * as z from 'zod';
import { callingAccount } from '../http/auth.js';
import { parseInput, reading } from './body.js';
import type { JobService } from './job-service.js';
import type { JobStore } from './job-store.js';
import { idParamSchema, waitForRow, type RowWaitDeps } from './row-wait.js';

/** Rows that one listing reads at most. */
const MOST_READ = 2000;

/** Header by which a caller marks repeats of one submission. */
export const idempotencyKeySchema = z.optional(z.string().min(1).max(200));

const listQuerySchema = z.strictObject({
  state: z.optional(jobStateSchema),
  after: z.optional(nameSchema),
  limit: z.coerce.number().int().min(1).max(500).default(100),
});

/** What the routes need. */
export interface JobRouteDeps extends RowWaitDeps {
  service: JobService;
  store: JobStore;
}

/** Registers `/v1/jobs`. */
export function registerJobRoutes(server: Server, deps: JobRouteDeps): void {
  const options = { auth: 'account' };
  const one = '/v1/jobs/{id}';
  const handle = (fn: (req: Request, h: ResponseToolkit) => Promise<ResponseObject>) => ({
    options,
    handler: fn,
  });
  server.route([
    { method: 'POST', path: '/v1/jobs', ...handle((req, h) => submit(deps, req, h)) },
    { method: 'GET', path: '/v1/jobs', ...handle((req, h) => list(deps, req, h)) },
    { method: 'GET', path: one, ...handle((req, h) => read(deps, req, h)) },
    { method: 'GET', path: `${one}/wait`, ...handle((req, h) => wait(deps, req, h)) },
    { method: 'POST', path: `${one}/cancel`, ...handle((req, h) => cancel(deps, req, h)) },
    { method: 'DELETE', path: one, ...handle((req, h) => cancel(deps, req, h)) },
  ]);
}

/** A job as its caller sees it. Times are wall-clock ms. */
export function jobStatus(row: JobRow): object {
  const { id, failureDomain, spec, state, attempt, cancelRequested, submittedAt } = row;
  const { startedAt, endedAt, outcome } = row;
  return {
    id,
    kind: spec.kind,
    shape: spec.shape,
    failureDomain,
    state,
    final: isFinal(row),
    attempt,
    cancelRequested,
    submittedAt,
    startedAt,
    endedAt,
    outcome,
  };
}

async function submit(
  { service }: JobRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const spec = parseInput(jobSpecSchema, req.payload);
  const key = parseInput(idempotencyKeySchema, req.headers['idempotency-key']);
  const { row, isNew } = await service.submit(callingAccount(req), spec, key);
  const res = h.response(jobStatus(row)).code(isNew ? 202 : 200);
  return res.header('location', `/v1/jobs/${row.id}`);
}

async function read(
  { service }: JobRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const { id } = parseInput(idParamSchema, req.params);
  return h.response(jobStatus(await service.read(callingAccount(req).name, id)));
}

async function wait(deps: JobRouteDeps, req: Request, h: ResponseToolkit): Promise<ResponseObject> {
  const readRow = deps.service.read.bind(deps.service);
  return h.response(
    jobStatus(await waitForRow(deps, req, { keyOf: jobKey, read: readRow, isDone: isFinal })),
  );
}

async function cancel(
  { service }: JobRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const { id } = parseInput(idParamSchema, req.params);
  const row = await service.cancel(callingAccount(req).name, id);
  return h.response(jobStatus(row)).code(isFinal(row) ? 200 : 202);
}

/** `next`, if there is one, is the `after` of the following page; a page may hold fewer jobs than asked for. */
async function list(
  { store }: JobRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const { state, after, limit } = parseInput(listQuerySchema, req.query);
  const { name } = callingAccount(req);
  const found: JobRow[] = [];
  let last = after;
  let next: string | undefined;
  for (let seen = 0; seen < MOST_READ;) {
    const from = last === undefined ? {} : { after: last };
    const page = await reading(() => store.list(name, { ...from, limit }));
    const matching = page.filter((row) => state === undefined || row.state === state);
    const taken = matching.slice(0, limit - found.length);
    found.push(...taken);
    seen += page.length;
    const isCut = taken.length < matching.length;
    last = (isCut ? taken : page).slice(-1)[0]?.id ?? last;
    next = isCut || page.length === limit ? last : undefined;
    if (found.length >= limit || next === undefined) break;
  }
  return h.response({ jobs: found.map(jobStatus), next });
}
