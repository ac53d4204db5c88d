/** Holds what callers were told of their requests against what the runners' ledgers say. */
import { isDeepStrictEqual } from 'node:util';
import type { RunEntry, RunnerLedger } from '@zincspan/stand-ins';
import { problemOf, type SentRequest } from './request-log.js';

/** Bounds of a runner, as it announces them. */
const SLOTS = 8;
const CONNECTIONS = 60;

/** A line for each answer that isn't true; requests must have ended and runners be idle. */
export function auditRequests(sent: SentRequest[], ledgers: RunnerLedger[]): string[] {
  const runs = groupBy(
    ledgers.flatMap(({ entries }) => entries),
    ({ bodyDigest }) => bodyDigest,
  );
  const bySame = groupBy(sent, ({ digest }) => digest);
  return [
    ...sent.flatMap((request) => auditAnswer(request, runs.get(request.digest) ?? [])),
    ...[...bySame].flatMap(([digest, same]) => auditRuns(same, runs.get(digest) ?? [])),
    ...ledgers.flatMap(auditSlots),
  ];
}

/** An answer is whole and to its own request; whoever got one, had it run. */
function auditAnswer(request: SentRequest, runs: RunEntry[]): string[] {
  const { name, answer, body } = request;
  if (answer === undefined) return [];
  const told = problemOf(request);
  if (told === undefined) {
    const { echo } = answer.body as { echo?: unknown };
    if (!isDeepStrictEqual(echo, JSON.parse(JSON.stringify(body)))) {
      return [`${name}: answered ${JSON.stringify(answer.body).slice(0, 200)}`];
    }
    return runs.length > 0 ? [] : [`${name}: answered, but nothing ran`];
  }
  if (told.kind === 'internal') return [`${name}: internal error: ${told.detail}`];
  if (told.ran === undefined || !told.remedy) return [`${name}: a problem without ran or remedy`];
  return [];
}

/** Runs of one body, which repeats with a key share. */
function auditRuns(same: SentRequest[], runs: RunEntry[]): string[] {
  const { name, idempotent } = same[0]!;
  const times = runs.reduce((sum, { count }) => sum + count, 0);
  const twice = !idempotent && times > 1 ? [`${name}: not idempotent, but ran ${times} times`] : [];
  return [...twice, ...same.flatMap((request) => auditNotRun(request, same, runs))];
}

/** "Not run" holds for what ran before the answer, and for good unless it was sent once more after it. */
function auditNotRun(request: SentRequest, same: SentRequest[], runs: RunEntry[]): string[] {
  const { name, endedAt = 0 } = request;
  if (problemOf(request)?.ran !== 'not-run' || runs.length === 0) return [];
  const sentAgain = same.some(({ sentAt }) => sentAt >= endedAt);
  const ranBefore = runs.some(({ at }) => at < endedAt);
  return ranBefore || !sentAgain ? [`${name}: told "not run", but it ran`] : [];
}

function auditSlots({ maxInUse, maxConnections, violations }: RunnerLedger): string[] {
  return [
    ...(maxInUse > SLOTS ? [`${maxInUse} slots of ${SLOTS} in use`] : []),
    ...(maxConnections > CONNECTIONS ? [`${maxConnections} connections of ${CONNECTIONS}`] : []),
    ...(violations > 0 ? [`${violations} requests came while every slot was taken`] : []),
  ];
}

function groupBy<T>(items: T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  items.forEach((item) => groups.set(keyOf(item), [...(groups.get(keyOf(item)) ?? []), item]));
  return groups;
}
