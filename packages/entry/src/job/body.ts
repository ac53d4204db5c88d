/** Checking what callers send, and telling them what is wrong with it. */
import { ProblemError, problem, toProblem } from '@zincspan/core';
import type { z } from 'zod';

/** The parsed value, or ProblemError `bad-input` that names the first field at fault. */
export function parseInput<T extends z.ZodType>(schema: T, input: unknown): z.infer<T> {
  const parsed = schema.safeParse(input);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const where = issue?.path.join('.') || 'body';
  throw new ProblemError(
    problem('bad-input', {
      detail: `${where}: ${issue?.message ?? 'not valid'}.`,
      remedy: 'Mend this field and send the request again.',
    }),
  );
}

/** Runs a reading of the table. A reading that fails says nothing of whether its job ran. */
export async function reading<T>(read: () => Promise<T>): Promise<T> {
  try {
    return await read();
  } catch (err) {
    throw new ProblemError({ ...toProblem(err), ran: 'unknown' });
  }
}

/** ProblemError `not-found` for a job or claim that the account doesn't have. */
export function notFound(what: string, id: string): ProblemError {
  return new ProblemError(
    problem('not-found', {
      detail: `This account has no ${what} ${id}.`,
      remedy: `Take the id from the answer to the ${what}'s submission.`,
      ran: 'unknown',
    }),
  );
}
