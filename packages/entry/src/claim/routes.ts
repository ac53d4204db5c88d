/** The caller API of claims over HTTP. Callers see the claims of their own account only. */
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi';
import { claimKey, nameSchema, type ClaimRow } from '@zincspan/core';
import * as z from 'zod';
import { callingAccount } from '../http/auth.js';
import { parseInput, reading } from '../job/body.js';
import { idempotencyKeySchema } from '../job/routes.js';
import { idParamSchema, waitForRow, type RowWaitDeps } from '../job/row-wait.js';
import { isSettledClaim, type ClaimService } from './claim-service.js';
import type { ClaimStore } from './claim-store.js';

const claimBodySchema = z.strictObject({ guarantee: nameSchema });

const listQuerySchema = z.strictObject({
  after: z.optional(nameSchema),
  limit: z.coerce.number().int().min(1).max(500).default(100),
});

/** What the routes need. */
export interface ClaimRouteDeps extends RowWaitDeps {
  service: ClaimService;
  store: ClaimStore;
}

/** Registers `/v1/claims`. */
export function registerClaimRoutes(server: Server, deps: ClaimRouteDeps): void {
  const options = { auth: 'account' };
  const one = '/v1/claims/{id}';
  const handle = (fn: (req: Request, h: ResponseToolkit) => Promise<ResponseObject>) => ({
    options,
    handler: fn,
  });
  server.route([
    { method: 'POST', path: '/v1/claims', ...handle((req, h) => claim(deps, req, h)) },
    { method: 'GET', path: '/v1/claims', ...handle((req, h) => list(deps, req, h)) },
    { method: 'GET', path: one, ...handle((req, h) => read(deps, req, h)) },
    { method: 'GET', path: `${one}/wait`, ...handle((req, h) => wait(deps, req, h)) },
    { method: 'DELETE', path: one, ...handle((req, h) => release(deps, req, h)) },
  ]);
}

async function claim(
  { service }: ClaimRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const { guarantee } = parseInput(claimBodySchema, req.payload);
  const key = parseInput(idempotencyKeySchema, req.headers['idempotency-key']);
  const { row, isNew } = await service.claim(callingAccount(req).name, guarantee, key);
  const res = h.response(claimStatus(row)).code(isNew ? 202 : 200);
  return res.header('location', `/v1/claims/${row.id}`);
}

async function read(
  { service }: ClaimRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const { id } = parseInput(idParamSchema, req.params);
  return h.response(claimStatus(await service.read(callingAccount(req).name, id)));
}

async function wait(
  deps: ClaimRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const readRow = deps.service.read.bind(deps.service);
  const isDone = isSettledClaim;
  return h.response(
    claimStatus(await waitForRow(deps, req, { keyOf: claimKey, read: readRow, isDone })),
  );
}

async function list(
  { store }: ClaimRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const { after, limit } = parseInput(listQuerySchema, req.query);
  const { name } = callingAccount(req);
  const from = after === undefined ? {} : { after };
  const rows = await reading(() => store.list(name, { ...from, limit }));
  const next = rows.length === limit ? rows[rows.length - 1]?.id : undefined;
  return h.response({ claims: rows.map(claimStatus), next });
}

async function release(
  { service }: ClaimRouteDeps,
  req: Request,
  h: ResponseToolkit,
): Promise<ResponseObject> {
  const { id } = parseInput(idParamSchema, req.params);
  return h.response(claimStatus(await service.release(callingAccount(req).name, id)));
}

/** A claim as its caller sees it. Times are wall-clock ms, `heldAfterMs` counts from the submission. */
function claimStatus(row: ClaimRow): object {
  const { heldAt, submittedAt } = row;
  return heldAt === undefined ? row : { ...row, heldAfterMs: heldAt - submittedAt };
}
