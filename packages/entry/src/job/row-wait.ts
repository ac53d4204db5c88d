/** Waiting over HTTP until the row of a job or claim is done, the same for both. */
import type { Request } from '@hapi/hapi';
import { nameSchema, type ProcessContext } from '@zincspan/core';
import * as z from 'zod';
import { callingAccount } from '../http/auth.js';
import type { Owners } from '../owner/owners.js';
import type { Timers } from '../owner/timers.js';
import { parseInput } from './body.js';
import { longPoll } from './long-poll.js';
import type { RowWatch } from './row-watch.js';

export const idParamSchema = z.strictObject({ id: nameSchema });

const waitQuerySchema = z.strictObject({
  timeoutMs: z.coerce.number().int().min(0).max(120_000).default(30_000),
});

/** What waiting needs of the entry. */
export interface RowWaitDeps {
  ctx: ProcessContext;
  owners: Owners;
  watch: RowWatch;
  timers: Timers;
}

/** Which rows are waited for. `read` throws if the account has no such row. */
export interface RowWaitOptions<Row extends { failureDomain: string }> {
  keyOf: (account: string, id: string) => string;
  read: (account: string, id: string) => Promise<Row>;
  isDone: (row: Row) => boolean;
}

/** The row that the caller asked for, once it is done or the caller's `timeoutMs` have passed. */
export async function waitForRow<Row extends { failureDomain: string }>(
  { ctx, owners, watch, timers }: RowWaitDeps,
  req: Request,
  { keyOf, read, isDone }: RowWaitOptions<Row>,
): Promise<Row> {
  const { id } = parseInput(idParamSchema, req.params);
  const { timeoutMs } = parseInput(waitQuerySchema, req.query);
  const { name } = callingAccount(req);
  const key = keyOf(name, id);
  return longPoll({
    key,
    timeoutMs,
    read: () => read(name, id),
    isDone,
    watch,
    whenChanged: ({ failureDomain }, ms) => owners.whenChanged(failureDomain, key, ms),
    timers,
    clock: ctx.clock,
  });
}
