/**
 * Counts the runner crashes during a task's runs and decides when the task itself is the cause. A task that crashes each runner
 * that starts it would, if restarted without limit, keep a runner down all the time and take down the runs of other tasks there.
 */

/** Runner crashes during the runs of one task. Stored with its progress, so that a new owner continues the count. */
export interface CrashRecord {
  /** Latest run that was counted, as a crash may be reported several times. */
  run: number;
  /** Consecutive crashes right after the start of a run. */
  atStart: number;
  /** Those of `atStart` with no run of another job there as young. Absent in older rows, where all of them count. */
  alone?: number;
  /** All crashes. */
  all: number;
}

/** One runner crash as seen by one run. */
export interface CrashObservation {
  run: number;
  /** Age of the run at the crash, in ms; undefined if unknown, which tells nothing about its start. */
  ranMs: number | undefined;
  /** No run of another job there was as young. */
  isAlone: boolean;
}

/**
 * A run younger than this when its runner crashed may have caused the crash. Tasks that crash their runner do so at their start,
 * and the guard may notice a fraction of a second late; tasks take several seconds, so most other runs there are older.
 */
export const MAX_SUSPECT_AGE_MS = 1000;

/** For this long a runner counts as recently restarted: one that restarts repeatedly by itself does so again within this time. */
export const RECENT_RESTART_MS = 10_000;

/**
 * Consecutive crashes at the start, without equally young runs of other jobs there, after which a task is not started again;
 * such runs might be the cause instead. On a recently restarted runner this limit doesn't apply, as the runner may be at fault.
 */
const MAX_ISOLATED_START_CRASHES = 2;

/**
 * Total crashes after which a task is not started again: for tasks that crash their runner later than at the start, when all
 * runners were recently restarted, or when guards can't tell. A task may start five times, twice after the third crash, which
 * allows for one crash that was not counted.
 */
const MAX_CRASHES = 4;

/** Runs on a crashed runner that may have caused the crash: those that had just started or, if there are none, all. */
export function selectSuspects<T extends { ranMs: number }>(runs: readonly T[]): readonly T[] {
  const young = runs.filter(({ ranMs }) => ranMs < MAX_SUSPECT_AGE_MS);
  return young.length > 0 ? young : runs;
}

/** The record with one more crash. */
export function addCrash(
  record: CrashRecord | undefined,
  { run, ranMs, isAlone }: CrashObservation,
): CrashRecord {
  const { atStart, all, alone = atStart } = record ?? { atStart: 0, all: 0 };
  if (ranMs === undefined) return { run, atStart, alone, all: all + 1 };
  // It got past its start, so it did not cause the earlier crashes at that point.
  if (ranMs >= MAX_SUSPECT_AGE_MS) return { run, atStart: 0, alone: 0, all: all + 1 };
  return { run, atStart: atStart + 1, alone: alone + (isAlone ? 1 : 0), all: all + 1 };
}

/** True if the task may have crashed its runner at the start; its next run will show. */
export function isSuspect(record: CrashRecord | undefined): boolean {
  return record !== undefined && record.atStart > 0;
}

/**
 * True if the task must not be started again after the crash of a runner that had run for `livedMs`. For a lasting task only
 * crashes at its start count, as over time it sees crashes that it did not cause.
 */
export function isCrashLooping(
  { atStart, alone = atStart, all }: CrashRecord,
  { lasting, livedMs }: { lasting: boolean; livedMs: number },
): boolean {
  if ((lasting ? atStart : all) >= MAX_CRASHES) return true;
  return alone >= MAX_ISOLATED_START_CRASHES && livedMs >= RECENT_RESTART_MS;
}
