/** Parses responses of the table service and the object store and checks them against their schemas. */
import { ProblemError, problem, type Ran } from '@zincspan/core';
import type { z } from 'zod';
import type { StoreResponse } from './store-http-client.js';

/** Parses a response body by `schema`. Throws ProblemError `internal` if it doesn't match. */
export function parseResponse<T extends z.ZodType>(
  schema: T,
  { status, body }: StoreResponse,
  ran: Ran,
): z.infer<T> {
  const parsed = schema.safeParse(parseJson(body));
  if (parsed.success) return parsed.data;
  throw unexpectedResponse(status, ran);
}

/** The error for a response that the store's API doesn't define. */
export function unexpectedResponse(status: number, ran: Ran): ProblemError {
  return new ProblemError(
    problem('internal', {
      detail: `The store sent an unexpected response with status ${status}.`,
      remedy:
        'Check that the configured store address is right and that the version of the store is supported.',
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
