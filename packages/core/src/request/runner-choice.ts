/** What is asked of a runner chooser, and what it answers. */
import { problem, type Problem } from '../error/problem.js';
import type { RunnerLoad } from '../message/message.js';

/** A runner that can be chosen. `kinds` empty means every request kind. */
export interface ChoosableRunner {
  id: string;
  failureDomain: string;
  slots: number;
  kinds: string[];
}

/** What is asked. `exclude`: runners that were tried already; `reachable`: false of those without a link. */
export interface ChoiceQuery {
  kind: string;
  idempotent: boolean;
  timeLeftMs?: number;
  exclude?: ReadonlySet<string>;
  reachable?: (runner: string) => boolean;
}

export type Choice = { type: 'chosen'; runner: string } | { type: 'refused'; problem: Problem };

/** How a request ended. `ms` is service time where told, else the time it was waited for. */
export interface RequestEnd {
  kind: string;
  how: 'answered' | 'failed' | 'abandoned';
  ms?: number | undefined;
  /** From sending it until its answer. */
  elapsedMs?: number | undefined;
  load?: RunnerLoad | undefined;
}

/** No runner of the kind is there, or none that wasn't tried. */
export function noRunner({ kind, exclude }: ChoiceQuery): Problem {
  const tried = exclude?.size ?? 0;
  const remedy = 'Send the request again after retryAfterMs; operators: check the guards.';
  return problem('no-upstream', {
    detail: `No ${tried > 0 ? 'further ' : ''}runner for ${kind} is there.`,
    remedy,
    retryAfterMs: 1000,
    facts: { kind, tried },
  });
}

/** All runners have as much as they can take. */
export function runnersFull({
  kind,
  runners,
  slots,
  retryAfterMs,
}: {
  kind: string;
  runners: number;
  slots: number;
  retryAfterMs: number;
}): Problem {
  return problem('overloaded', {
    detail: `All ${runners} runners for ${kind} are full.`,
    remedy: 'Send the request again after retryAfterMs.',
    retryAfterMs,
    facts: { runners, slots },
  });
}
