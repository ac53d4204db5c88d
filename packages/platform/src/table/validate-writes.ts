/** Rejects transactions that the table service would reject, before they are sent. */
import { ProblemError, problem, transactionSchema, type RowWrite } from '@zincspan/core';

const writesSchema = transactionSchema.shape.writes;

/** Throws ProblemError `bad-input` for too many writes, a bad key, or two writes of one row. */
export function validateWrites(writes: RowWrite[]): void {
  const parsed = writesSchema.safeParse(writes);
  if (!parsed.success) throw invalidWrites(parsed.error.issues[0]?.message ?? 'Malformed writes.');
  const keys = new Set(writes.map(({ key }) => key));
  if (keys.size < writes.length) throw invalidWrites('Two writes have the same key.');
}

function invalidWrites(detail: string): ProblemError {
  return new ProblemError(
    problem('bad-input', {
      detail: `The transaction was not sent: ${detail}`,
      remedy: 'Write 1 to 25 different rows with keys of 1 to 300 characters.',
    }),
  );
}
