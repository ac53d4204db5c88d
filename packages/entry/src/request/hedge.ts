/** Two copies of an idempotent request at two runners: the first answer counts, the other copy is cancelled. */
import type { AttemptEnd } from './attempt.js';
import type { RequestLife } from './request-life.js';

/** An attempt under way. */
export interface StartedAttempt {
  runner: string;
  end: Promise<AttemptEnd>;
  /** Tells its guard that nobody waits for it any more. */
  cancel(): void;
}

/** Which attempt ended, and how. */
export interface EndedAttempt {
  runner: string;
  end: AttemptEnd;
}

/** Waits `delayMs` for the first attempt, then starts `second` beside it, if that gives one. */
export async function firstToAnswer(
  first: StartedAttempt,
  {
    delayMs,
    life,
    second,
  }: { delayMs: number; life: RequestLife; second: () => StartedAttempt | undefined },
): Promise<EndedAttempt> {
  const waiting = toEnded(first);
  const early = await Promise.race([waiting, life.pause(delayMs)]);
  if (early !== undefined) return early;
  const copy = life.over === undefined ? second() : undefined;
  if (copy === undefined) return waiting;
  const attempts = [first, copy];
  const winner = await Promise.race([waiting, toEnded(copy)]);
  const loser = attempts.find(({ runner }) => runner !== winner.runner) as StartedAttempt;
  if (winner.end.type !== 'answered') return worse(winner, await toEnded(loser));
  loser.cancel();
  return winner;
}

async function toEnded({ runner, end }: StartedAttempt): Promise<EndedAttempt> {
  return { runner, end: await end };
}

/** Of two ends the answer; without one, the end that leaves open whether it ran. */
function worse(a: EndedAttempt, b: EndedAttempt): EndedAttempt {
  if (b.end.type === 'answered') return b;
  const leavesOpen = ({ end }: EndedAttempt): boolean =>
    end.type === 'lost' ||
    end.type === 'life-over' ||
    (end.type === 'refused' && end.problem.ran !== 'not-run');
  return leavesOpen(a) ? a : b;
}
