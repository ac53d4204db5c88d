/** Everything that can go wrong towards a caller or a peer, as one tagged union. */
import * as z from 'zod';
import { ranSchema, type Ran } from '../job/job.js';
import { messageOf } from './message-of.js';

/** Stable kinds of problem, with the HTTP status each one maps to. */
export const PROBLEM_STATUS = {
  'bad-input': 400,
  'not-authenticated': 401,
  'not-allowed': 403,
  'not-found': 404,
  conflict: 409,
  'key-reused': 422,
  'too-large': 413,
  'never-fits': 422,
  'quota-exceeded': 429,
  overloaded: 503,
  draining: 503,
  'no-upstream': 503,
  'store-unavailable': 503,
  'deadline-passed': 504,
  'upstream-failed': 502,
  'upstream-lost': 502,
  'stale-term': 409,
  'not-owner': 409,
  cancelled: 409,
  internal: 500,
} as const;
export type ProblemKind = keyof typeof PROBLEM_STATUS;

export const problemKindSchema = z.enum(
  Object.keys(PROBLEM_STATUS) as [ProblemKind, ...ProblemKind[]],
);

/** A problem as it travels between processes and, as problem+json (RFC 9457), to callers. */
export const problemSchema = z.strictObject({
  kind: problemKindSchema,
  /** Did the work run? */
  ran: ranSchema,
  /** What happened, in a sentence. */
  detail: z.string(),
  /** What the reader can do about it. */
  remedy: z.string(),
  /** Another try makes sense after this long, in ms. */
  retryAfterMs: z.optional(z.int().min(0)),
  /** Numbers behind the refusal: a bound, a version, a term. */
  facts: z.optional(z.record(z.string(), z.union([z.string(), z.number()]))),
});
export type Problem = z.infer<typeof problemSchema>;

/** A problem thrown within a process. */
export class ProblemError extends Error {
  readonly problem: Problem;

  constructor(cause: Problem) {
    super(`${cause.kind}: ${cause.detail} ${cause.remedy}`);
    this.name = 'ProblemError';
    this.problem = cause;
  }
}

/** Makes a problem; `ran` defaults to `not-run`, as most refusals come before anything started. */
export function problem(
  kind: ProblemKind,
  {
    detail,
    remedy,
    ran = 'not-run',
    retryAfterMs,
    facts,
  }: Omit<Problem, 'kind' | 'ran'> & { ran?: Ran },
): Problem {
  return {
    kind,
    ran,
    detail,
    remedy,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(retryAfterMs) }),
    ...(facts === undefined ? {} : { facts }),
  };
}

/** The problem behind any thrown value; unexpected ones become `internal` with an unknown outcome. */
export function toProblem(err: unknown): Problem {
  if (err instanceof ProblemError) return err.problem;
  const detail = messageOf(err);
  return problem('internal', {
    detail,
    remedy: 'Report it with the time line of this job.',
    ran: 'unknown',
  });
}
