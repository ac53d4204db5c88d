/**
 * How often runners crashed under a task, and when that is its own fault. The load it answers: a task that crashes each runner
 * that starts it. Started without end, one such task keeps a runner away all the time, and what runs beside it is lost.
 */

/** Crashes under one task. Kept with its progress, so that a new owner goes on counting. */
export interface CrashRecord {
  /** The newest run that was counted: a crash is told several times. */
  run: number;
  /** Crashes in a row right after the start. */
  atStart: number;
  /** Crashes in all. */
  all: number;
}

/**
 * A run this young when its runner crashed may have crashed it, in ms. Tasks that crash their runners do so 10 ms after the
 * start; the guard may notice a part of a second late. Most others on the runner are older: jobs take 3 to 16 s.
 */
export const SUSPECT_WITHIN_MS = 1000;

/** Crashes in a row at the start after which a task is given up: the second comes with nothing else as young beside it. */
const MOST_AT_START = 2;

/** Crashes in all after which it is given up: a task that crashes its runner later than at its start. */
const MOST_IN_ALL = 5;

/** With one more crash, under a run that was `ranMs` old. */
export function withCrash(
  record: CrashRecord | undefined,
  { run, ranMs }: { run: number; ranMs: number },
): CrashRecord {
  const { atStart, all } = record ?? { atStart: 0, all: 0 };
  if (ranMs < SUSPECT_WITHIN_MS) return { run, atStart: atStart + 1, all: all + 1 };
  // It got past its start: earlier crashes there weren't its doing.
  return { run, atStart: 0, all: all + 1 };
}

/** The next run shows whether the task crashed its runner. */
export function isSuspect(record: CrashRecord | undefined): boolean {
  return record !== undefined && record.atStart > 0;
}

/** True if the task isn't to be started again. One that lasts meets crashes that aren't its own in time. */
export function isGivenUp(
  { atStart, all }: CrashRecord,
  { lasting }: { lasting: boolean },
): boolean {
  return atStart >= MOST_AT_START || (!lasting && all >= MOST_IN_ALL);
}
