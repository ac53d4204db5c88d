/** Exit codes of `zincspan`. */
import { ProblemError, toProblem } from '@zincspan/core';
import type { ErrorReport } from './output/output.js';
import { UnreachableError } from './client/unreachable-error.js';
import { UsageError } from './usage-error.js';

export const EXIT = {
  ok: 0,
  /** Refused, or some other problem; the message says what to do. */
  refused: 1,
  /** Wrong command line or client settings. */
  usage: 2,
  /** No entry could be reached. */
  unreachable: 3,
  /** Another operator was first. */
  conflict: 4,
} as const;
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** The exit code that an error stands for. */
export function exitCodeOf(err: unknown): ExitCode {
  if (err instanceof UsageError || (err as Error).name === 'CACError') return EXIT.usage;
  if (err instanceof UnreachableError) return EXIT.unreachable;
  if (err instanceof ProblemError && err.problem.kind === 'conflict') return EXIT.conflict;
  return EXIT.refused;
}

/** What an error says to its reader: what happened, then the remedy. */
export function describeError(err: unknown): ErrorReport {
  if (err instanceof ProblemError) return err.problem;
  if (err instanceof UsageError || err instanceof UnreachableError) {
    return { detail: err.detail, remedy: err.remedy };
  }
  if ((err as Error).name === 'CACError') {
    return { detail: `${(err as Error).message}.`, remedy: 'See "zincspan --help".' };
  }
  return toProblem(err);
}
