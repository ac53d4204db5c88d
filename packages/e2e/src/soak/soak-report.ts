/** What a soak run prints: operations, faults by kind, violations, seed. */
import { problemOf, type SentRequest } from '../audit/request-log.js';
import type { FaultMaker } from './fault-maker.js';
import type { SoakLoad } from './soak-load.js';

const SHOWN = 20;

/** Prints the report. */
export function printReport({
  seed,
  lengthMs,
  load,
  faults,
  violations,
}: {
  seed: number;
  lengthMs: number;
  load: SoakLoad;
  faults: FaultMaker;
  violations: string[];
}): void {
  const { sent } = load.requests;
  const { jobs } = load.jobs;
  say(
    `seed ${seed}, ${lengthMs / 60_000} min (the seed repeats the faults, not their interleaving)`,
  );
  say(`requests ${sent.length}: ${countBy(sent.map(endOf))}`);
  say(
    `jobs ${jobs.length}: ${countBy(jobs.map(({ status, refusedAs }) => status?.state ?? `refused (${refusedAs})`))}`,
  );
  say(
    `faults ${sum(Object.values(faults.made))}: ${formatCounts(faults.made)}; skipped ${faults.skipped}`,
  );
  say(`violations ${violations.length}`);
  violations.slice(0, SHOWN).forEach((line) => say(`  ${line}`));
}

function endOf(request: SentRequest): string {
  if (request.answer === undefined) return 'cut';
  const told = problemOf(request);
  return told === undefined ? 'answered' : `${told.kind} (${told.ran})`;
}

function countBy(names: string[]): string {
  const counts: Record<string, number> = {};
  names.forEach((name) => {
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return formatCounts(counts);
}

function formatCounts(counts: Record<string, number>): string {
  return Object.entries(counts)
    .sort(([, a], [, b]) => b - a)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}

function sum(counts: number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

function say(line: string): void {
  console.log(line);
}
