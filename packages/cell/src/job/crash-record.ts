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
  /** Those among them with nothing of another job there that was as young; absent in rows of before: all of them. */
  alone?: number;
  /** Crashes in all. */
  all: number;
}

/** One crash, as it concerns one run. */
export interface CrashObservation {
  run: number;
  /** How long the run had been there, in ms; undefined: that isn't known, and says nothing of its start. */
  ranMs: number | undefined;
  /** Nothing of another job there was as young. */
  isAlone: boolean;
}

/**
 * A run this young when its runner crashed may have crashed it, in ms. A task that crashes its runner does so as it starts, and the
 * guard may notice a part of a second late; tasks take several seconds, so that most others on the runner are older.
 */
export const MAX_SUSPECT_AGE_MS = 1000;

/** A runner's life counts as fresh for this long, in ms: one that goes down and up by itself does so again within it. */
export const RECENT_RESTART_MS = 10_000;

/**
 * Crashes in a row at the start, with nothing of others as young beside it, after which a task is given up: others that are as
 * young may be the cause. On a runner that had only just come back it decides nothing, as that runner may be what crashes.
 */
const MAX_ISOLATED_START_CRASHES = 2;

/**
 * Crashes in all after which it is given up: of a task that crashes its runner later than at its start, where all runners are
 * fresh, or where guards can't tell. Five starts are allowed, two after the third crash: one crash that nobody counted is
 * reckoned with.
 */
const MAX_CRASHES = 4;

/** Which of the runs on a crashed runner may have crashed it: those that had just been started, or else all. */
export function selectSuspects<T extends { ranMs: number }>(runs: readonly T[]): readonly T[] {
  const young = runs.filter(({ ranMs }) => ranMs < MAX_SUSPECT_AGE_MS);
  return young.length > 0 ? young : runs;
}

/** With one more crash. */
export function addCrash(
  record: CrashRecord | undefined,
  { run, ranMs, isAlone }: CrashObservation,
): CrashRecord {
  const { atStart, all, alone = atStart } = record ?? { atStart: 0, all: 0 };
  if (ranMs === undefined) return { run, atStart, alone, all: all + 1 };
  // It got past its start: earlier crashes there weren't its doing.
  if (ranMs >= MAX_SUSPECT_AGE_MS) return { run, atStart: 0, alone: 0, all: all + 1 };
  return { run, atStart: atStart + 1, alone: alone + (isAlone ? 1 : 0), all: all + 1 };
}

/** The next run shows whether the task crashed its runner. */
export function isSuspect(record: CrashRecord | undefined): boolean {
  return record !== undefined && record.atStart > 0;
}

/**
 * True if the task isn't to be started again, after the crash of a life of `livedMs`. Of a task that lasts only crashes at its start
 * count, as in time it meets others that aren't its own.
 */
export function isCrashLooping(
  { atStart, alone = atStart, all }: CrashRecord,
  { lasting, livedMs }: { lasting: boolean; livedMs: number },
): boolean {
  if ((lasting ? atStart : all) >= MAX_CRASHES) return true;
  return alone >= MAX_ISOLATED_START_CRASHES && livedMs >= RECENT_RESTART_MS;
}
