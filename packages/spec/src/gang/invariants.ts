/** What must hold in every state of the gang model. */
import { RIVAL, type GangBounds, type GangState, type Guard } from './state.js';

/** The first broken invariant of a state. */
export function gangViolation(s: GangState, bounds: GangBounds): string | undefined {
  return (
    startsOnce(s, bounds) ??
    answerIsTrue(s) ??
    gangIsWhole(s, bounds) ??
    runsAsTheRowSays(s) ??
    acceleratorsAreApart(s)
  );
}

function startsOnce({ starts }: GangState, { idempotent, tasks }: GangBounds): string | undefined {
  if (new Set(starts).size < starts.length) return 'a member of one attempt starts at most once';
  if (idempotent || starts.length <= tasks) return undefined;
  return 'a non-idempotent job starts at most once';
}

function answerIsTrue({ row, starts, facts }: GangState): string | undefined {
  if (row.ran === 'not-run' && starts.length > 0) return 'not-run: never started and never will';
  if (row.ran === 'ran' && starts.length === 0) return 'ran: a member has started';
  if (row.st !== 'succeeded') return undefined;
  const ends = facts.filter(({ kind, attempt }) => kind === 'ok' && attempt === row.attempt);
  const members = new Set(ends.map(({ member }) => member));
  return members.size === row.at.length ? undefined : 'succeeded: every member has succeeded';
}

function gangIsWhole({ starts, facts }: GangState, { tasks }: GangBounds): string | undefined {
  const isWhole = starts.every((start) => {
    const attempt = Number(start.split('.')[0]);
    const ready = facts.filter((fact) => fact.kind === 'ready' && fact.attempt === attempt);
    return new Set(ready.map(({ member }) => member)).size === tasks;
  });
  return isWhole ? undefined : 'a member starts only when every member has been ready';
}

/** Covers that the rest of a broken gang is stopped: a row moves on only when no member runs. */
function runsAsTheRowSays({ row, guards }: GangState): string | undefined {
  const runs = guards.every((guard, g) =>
    guard.tasks.every(({ st, attempt, member }) => {
      if (st !== 'running') return true;
      return row.st === 'started' && row.attempt === attempt && row.at[member]?.[0] === g;
    }),
  );
  return runs ? undefined : 'a member runs only while the row says started for it, there';
}

function acceleratorsAreApart({ guards }: GangState): string | undefined {
  const isApart = guards.every((guard) => guard.tasks.length <= 1 || !isTaken(guard));
  return isApart ? undefined : 'an accelerator has one reservation';
}

function isTaken({ tasks }: Guard): boolean {
  return tasks.some(({ attempt }) => attempt === RIVAL || attempt > 0);
}
