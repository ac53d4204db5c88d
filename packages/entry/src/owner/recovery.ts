/** Rebuilds the view of a failure domain from its guards and its rows, when its lease is gained. */
import { jobKey, claimKey, toProblem } from '@zincspan/core';
import type { ClaimKeeper } from '../claim/claim-keeper.js';
import { askInventory, byKey, isClaim, stopOrphan, type FoundReservation } from './inventory.js';
import type { JobKeeper } from './job-keeper.js';
import type { Ownership } from './ownership.js';
import { backoffMs, pause } from './timers.js';

/** Rows read at once. */
const READS_AT_ONCE = 16;

/** Guards asked at once: a failure domain may have a thousand. */
const GUARDS_AT_ONCE = 64;

/** Reads and settles everything, then returns. Guards that can't be reached are settled once they are. */
export async function recover(own: Ownership, jobs: JobKeeper, claims: ClaimKeeper): Promise<void> {
  // Guards first: from their answer on they refuse the owner before, so the rows no longer change under us.
  const answers: FoundReservation[] = [];
  await inParallel(GUARDS_AT_ONCE, own.workers.guards(), async (to) => {
    answers.push(...((await askInventory(own.orders, to)) ?? []));
  });
  const found = byKey(answers);
  await untilRead(own, () => recoverClaims(own, claims, found));
  await untilRead(own, () => recoverJobs(own, jobs, found));
  // Attempts that were reserved but not started are stopped here, before anything is placed anew.
  await settleOrphans(own, jobs, claims, [...found.values()].flat());
}

/** Settles what one guard holds, after it was linked again. */
export async function reconcile(
  own: Ownership,
  jobs: JobKeeper,
  claims: ClaimKeeper,
  guard: string,
): Promise<void> {
  const to = own.workers.guards().find((each) => each.guard === guard);
  if (to === undefined) return;
  const found = (await askInventory(own.orders, to)) ?? [];
  if (own.signal.aborted) return;
  found.forEach(({ end }) => {
    if (end !== undefined) jobs.memberEnded(end);
  });
  await settleOrphans(own, jobs, claims, found);
}

/** Looks for jobs and claims whose notification was lost. */
export async function rescan(own: Ownership, jobs: JobKeeper, claims: ClaimKeeper): Promise<void> {
  const listed = await own.jobs.listActive(own.failureDomain);
  const missing = listed.filter(({ key }) => !jobs.has(key));
  await readEach(missing, async ({ account, id, version }) => {
    const record = await own.jobs.read(account, id);
    if (record !== undefined) jobs.adopt({ ...record, activeVersion: version });
  });
  const cancelled = listed.filter(({ key, cancelRequested }) => cancelRequested && jobs.has(key));
  await Promise.all(cancelled.map(({ key }) => jobs.cancel(key)));
  const listedClaims = await own.claims.listActive(own.failureDomain);
  await readEach(listedClaims, ({ account, id }) => claims.changed(account, id));
}

async function recoverJobs(
  own: Ownership,
  jobs: JobKeeper,
  found: Map<string, FoundReservation[]>,
): Promise<void> {
  await readEach(await own.jobs.listActive(own.failureDomain), async ({ account, id, version }) => {
    const record = await own.jobs.read(account, id);
    if (record === undefined || own.signal.aborted) return;
    const reservations = found.get(jobKey(account, id)) ?? [];
    const lastAttempt = Math.max(0, ...reservations.map(({ ref }) => ref.attempt));
    jobs.adopt({ ...record, activeVersion: version }, { lastAttempt });
  });
}

async function recoverClaims(
  own: Ownership,
  claims: ClaimKeeper,
  found: Map<string, FoundReservation[]>,
): Promise<void> {
  await readEach(await own.claims.listActive(own.failureDomain), async ({ account, id }) => {
    const record = await own.claims.read(account, id);
    if (record === undefined || own.signal.aborted) return;
    claims.adopt(record, { found: found.get(claimKey(account, id)) ?? [] });
  });
}

/** Stops what belongs to no attempt under way: of jobs that are over, or of attempts that were given up. */
async function settleOrphans(
  own: Ownership,
  jobs: JobKeeper,
  claims: ClaimKeeper,
  found: FoundReservation[],
): Promise<void> {
  const orphans = found.filter(({ ref }) => {
    if (isClaim(ref.key)) return !claims.has(ref.key);
    return jobs.runner(ref.key)?.attempt !== ref.attempt;
  });
  own.ctx.metrics.count('owner.orphans', orphans.length);
  await Promise.all(orphans.map((each) => stopOrphan(own.orders, each)));
}

/** Repeats a reading of the table until it comes through: without it nothing can be decided. */
async function untilRead(own: Ownership, read: () => Promise<void>): Promise<void> {
  for (let tries = 0; !own.signal.aborted; tries += 1) {
    try {
      await read();
      return;
    } catch (err) {
      if (toProblem(err).kind !== 'store-unavailable') throw err;
      await pause(own.timers, backoffMs(tries), own.signal);
    }
  }
}

function readEach<T>(items: T[], read: (item: T) => Promise<void>): Promise<void> {
  return inParallel(READS_AT_ONCE, items, read);
}

/** Does something with each item, `limit` at a time. */
async function inParallel<T>(
  limit: number,
  items: T[],
  work: (item: T) => Promise<void>,
): Promise<void> {
  const rest = items.values();
  const worker = async (): Promise<void> => {
    for (const item of rest) await work(item);
  };
  await Promise.all(Array.from({ length: limit }, worker));
}
