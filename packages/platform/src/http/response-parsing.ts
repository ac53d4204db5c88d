/** Reading the platform's answers, each checked against its schema. */
import { ProblemError, problem, type Ran } from '@zincspan/core';
import type { z } from 'zod';
import type { StoreResponse } from './store-http-client.js';

/** The body of an answer as its schema describes it. Throws ProblemError `internal` if it doesn't fit. */
export function parseResponse<T extends z.ZodType>(
  schema: T,
  { status, body }: StoreResponse,
  ran: Ran,
): z.infer<T> {
  const parsed = schema.safeParse(parseJson(body));
  if (parsed.success) return parsed.data;
  throw unexpectedResponse(status, ran);
}

/** For an answer that the interface doesn't allow. */
export function unexpectedResponse(status: number, ran: Ran): ProblemError {
  return new ProblemError(
    problem('internal', {
      detail: `The store's answer with status ${status} wasn't understood.`,
      remedy: 'Check that the address given for the store is right and its version is supported.',
      ran,
    }),
  );
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
