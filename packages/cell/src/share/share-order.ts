/**
 * Order of groups while accounts compete: among groups of one priority, those within their accounts' shares go first, each by
 * urgency. A group is never passed by one of a lower priority that it preceded by urgency.
 */
import { NO_RESOURCES, addResources, type Resources } from '@zincspan/core';
import type { RankedGroup } from '../owner/ranked-groups.js';
import { totalTasksFitting, type AvailableWorker } from '../placing/available-worker.js';
import type { AccountShares } from './account-shares.js';
import { toResources } from './account-usage.js';

/** A group with its place in the order by urgency. */
interface Entry extends RankedGroup {
  place: number;
}

/** Entries of one priority that are still to be emitted, each list in order of urgency. */
interface PriorityQueue {
  within: Entry[];
  beyond: Entry[];
}

/** Orders groups that are sorted by urgency, guaranteed ones first. Wide groups are split where their account's share ends. */
export function orderByShares(
  ranked: readonly RankedGroup[],
  { shares, workers }: { shares: AccountShares; workers: readonly AvailableWorker[] },
): RankedGroup[] {
  const contested = contestedServices(ranked, shares, workers);
  if (contested.size === 0) return [...ranked];
  const guaranteed = ranked.filter(({ factors }) => factors.claim);
  const others = markBeyondShare(ranked, shares, contested);
  if (others.every(({ isBeyondShare }) => !isBeyondShare)) return [...ranked];
  noteDeferrals(others, shares);
  return [...guaranteed, ...mergePriorities(others)];
}

/** Services where several accounts run or wait and something waits that doesn't fit. */
function contestedServices(
  ranked: readonly RankedGroup[],
  shares: AccountShares,
  workers: readonly AvailableWorker[],
): Set<string> {
  const services = new Set(ranked.map(({ pending }) => pending.group.service));
  return new Set(
    [...services].filter((service) => {
      if ((shares.of(service)?.competitors ?? 0) < 2) return false;
      const ofService = workers.filter((worker) => worker.service === service);
      return !fitsAll(
        ranked.filter(({ pending }) => pending.group.service === service),
        ofService,
      );
    }),
  );
}

/** Whether each group would fit by itself, and all together by their sum. Where only their combination doesn't, the next pass sees it. */
function fitsAll(ranked: readonly RankedGroup[], workers: readonly AvailableWorker[]): boolean {
  const free = workers.reduce(
    (sum, worker) => addResources(sum, toResources(worker.free)),
    NO_RESOURCES,
  );
  const demand = ranked.reduce((sum, each) => addResources(sum, demandOf(each)), NO_RESOURCES);
  const fitsTogether =
    demand.accelerators <= free.accelerators &&
    demand.cores <= free.cores &&
    demand.memoryMb <= free.memoryMb;
  if (!fitsTogether) return false;
  return ranked.every(({ pending: { group } }) => {
    // Waiting for a rack, or for a worker where nothing fails, is not for want of capacity.
    const anywhere = { ...group, rack: undefined, avoided: new Set<string>(), startsAlone: false };
    return totalTasksFitting(anywhere, workers) >= group.indexes.length;
  });
}

function demandOf({ pending: { group } }: RankedGroup): Resources {
  return addResources(NO_RESOURCES, toResources(group.demand), group.indexes.length);
}

/**
 * The groups that aren't guaranteed, in order of urgency, each marked if it is beyond its account's share. An account's share is
 * filled by what it runs, then by its guaranteed groups, then by priority and urgency.
 */
function markBeyondShare(
  ranked: readonly RankedGroup[],
  shares: AccountShares,
  contested: ReadonlySet<string>,
): Entry[] {
  const planned = new Map<string, Resources>();
  const inOrder = ranked
    .map((each, place): Entry => ({ ...each, place }))
    .sort((a, b) => fillRank(a) - fillRank(b) || a.place - b.place);
  return inOrder
    .flatMap((entry) => {
      const { service } = entry.pending.group;
      const serviceShares = contested.has(service) ? shares.of(service) : undefined;
      if (serviceShares === undefined) return [entry];
      const { account } = entry.pending.job.submission;
      const key = JSON.stringify([service, account]);
      const before = planned.get(key) ?? NO_RESOURCES;
      planned.set(key, addResources(before, demandOf(entry)));
      if (entry.factors.claim) return [entry];
      const isWithin = (more: Resources): boolean => serviceShares.isWithinShare(account, more);
      const tasks = entry.pending.group.indexes.length;
      if (!isWithin(before)) return splitAt(entry, 0);
      // Without regard to its size: a gang that alone exceeds the share must be able to start.
      if (!isDivisible(entry)) return splitAt(entry, tasks);
      const demand = toResources(entry.pending.group.demand);
      // As for gangs, a task is within the share if the ones before it leave the account within its share.
      const started = countFitting(tasks - 1, (count) =>
        isWithin(addResources(before, demand, count)),
      );
      return splitAt(entry, started + 1);
    })
    .filter(({ factors }) => !factors.claim)
    .sort((a, b) => a.place - b.place);
}

function fillRank({ factors }: RankedGroup): number {
  return factors.claim ? -1 : factors.priority;
}

/** Tasks that start one by one, anywhere. The limit of tasks per worker counts over all tasks that are placed together. */
function isDivisible({ pending: { group } }: RankedGroup): boolean {
  return !group.gang && !group.oneRack && group.maxPerWorker === undefined;
}

/** Largest count up to `limit` for which the condition holds; it holds for all smaller ones then. */
function countFitting(limit: number, fits: (count: number) => boolean): number {
  let low = 0;
  let high = limit;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (fits(middle)) low = middle;
    else high = middle - 1;
  }
  return low;
}

function splitAt(entry: Entry, count: number): Entry[] {
  const { pending } = entry;
  const { indexes } = pending.group;
  const part = (isBeyondShare: boolean, ownIndexes: readonly number[]): Entry => ({
    ...entry,
    isBeyondShare,
    pending: { ...pending, group: { ...pending.group, indexes: ownIndexes } },
  });
  return [part(false, indexes.slice(0, count)), part(true, indexes.slice(count))].filter(
    (each) => each.pending.group.indexes.length > 0,
  );
}

/** Notes the groups beyond their account's share that go after one of their priority of an account within its share. */
function noteDeferrals(entries: readonly Entry[], shares: AccountShares): void {
  /** By service and priority: the last entry of each account, as entries are in order of urgency. */
  const lastWithin = new Map<string, Map<string, Entry>>();
  entries
    .filter(({ isBeyondShare }) => !isBeyondShare)
    .forEach((entry) => setLast(lastWithin, priorityKey(entry), entry));
  entries
    .filter(({ isBeyondShare }) => isBeyondShare)
    .forEach((entry) => {
      const passing = lastOfOthers(lastWithin.get(priorityKey(entry)), entry);
      if (passing !== undefined && passing.place > entry.place) {
        shares.noteDeferral(entry.pending.job);
      }
    });
}

function setLast(lists: Map<string, Map<string, Entry>>, key: string, entry: Entry): void {
  const list = lists.get(key) ?? new Map<string, Entry>();
  lists.set(key, list);
  // Deleted first, so that the newest is the last one of the map.
  list.delete(accountOf(entry));
  list.set(accountOf(entry), entry);
}

/** The last entry of another account. */
function lastOfOthers(
  list: ReadonlyMap<string, Entry> | undefined,
  entry: Entry,
): Entry | undefined {
  return [...(list?.values() ?? [])]
    .slice(-2)
    .findLast((each) => accountOf(each) !== accountOf(entry));
}

function priorityKey(entry: Entry): string {
  return JSON.stringify([entry.pending.group.service, priorityOf(entry)]);
}

function accountOf({ pending }: RankedGroup): string {
  return pending.job.submission.account;
}

function priorityOf({ factors }: RankedGroup): number {
  return factors.priority;
}

function mergePriorities(entries: readonly Entry[]): RankedGroup[] {
  const priorities = [...new Set(entries.map(priorityOf))].sort((a, b) => a - b);
  // Reversed, so that the next entry is the last of its list.
  const queues = priorities.map((priority): PriorityQueue => {
    const own = entries.filter((entry) => priorityOf(entry) === priority).reverse();
    return {
      within: own.filter(({ isBeyondShare }) => !isBeyondShare),
      beyond: own.filter(({ isBeyondShare }) => isBeyondShare),
    };
  });
  return entries.flatMap(() => takeNext(queues) ?? []);
}

/** Takes the most urgent head, unless a group of a higher priority that is more urgent still waits behind the head of its own queue. */
function takeNext(queues: readonly PriorityQueue[]): RankedGroup | undefined {
  let next = queues.reduce<PriorityQueue | undefined>(
    (best, queue) => (best === undefined || headPlace(queue) < headPlace(best) ? queue : best),
    undefined,
  );
  if (next === undefined) return undefined;
  for (let index = queues.indexOf(next) - 1; index >= 0; index--) {
    const higher = queues[index];
    if (higher !== undefined && bestPlace(higher) < headPlace(next)) next = higher;
  }
  return (next.within.length > 0 ? next.within : next.beyond).pop();
}

function headPlace({ within, beyond }: PriorityQueue): number {
  return (within.at(-1) ?? beyond.at(-1))?.place ?? Infinity;
}

function bestPlace({ within, beyond }: PriorityQueue): number {
  return Math.min(within.at(-1)?.place ?? Infinity, beyond.at(-1)?.place ?? Infinity);
}
