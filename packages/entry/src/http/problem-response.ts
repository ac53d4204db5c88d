/** Problems as HTTP answers: problem+json (RFC 9457), for hapi's own errors as well. */
import type { Boom } from '@hapi/boom';
import type { Lifecycle, Request, ResponseObject, ResponseToolkit } from '@hapi/hapi';
import {
  PROBLEM_MEDIA_TYPE,
  PROBLEM_STATUS,
  ProblemError,
  problem,
  problemBody,
  toProblem,
  type Problem,
  type ProblemKind,
} from '@zincspan/core';

/** Kinds for the statuses that hapi answers by itself. */
const KIND_OF_STATUS: Record<number, ProblemKind> = {
  400: 'bad-input',
  401: 'not-authenticated',
  403: 'not-allowed',
  404: 'not-found',
  408: 'bad-input',
  409: 'conflict',
  413: 'too-large',
  415: 'bad-input',
  422: 'bad-input',
  429: 'quota-exceeded',
  503: 'overloaded',
};

const REMEDY_OF_KIND: Partial<Record<ProblemKind, string>> = {
  'not-found': 'Check the path and the method against the API page.',
  'too-large': 'Send a smaller body.',
  'not-authenticated': 'Send "Authorization: Bearer <token>" with a token of your account.',
};

/** Answers a problem, with `Retry-After` in whole seconds where another try makes sense. */
export function problemResponse(
  h: ResponseToolkit,
  cause: Problem,
  { status = PROBLEM_STATUS[cause.kind] }: { status?: number } = {},
): ResponseObject {
  const res = h.response(problemBody(cause, status)).code(status).type(PROBLEM_MEDIA_TYPE);
  if (cause.kind === 'not-authenticated') res.header('www-authenticate', 'Bearer');
  if (cause.retryAfterMs === undefined) return res;
  return res.header('retry-after', String(Math.ceil(cause.retryAfterMs / 1000)));
}

/** hapi extension `onPreResponse`: turns every error into a problem answer. */
export const answerProblems: Lifecycle.Method = (req, h) => {
  const { response } = req;
  if (!(response instanceof Error)) return h.continue;
  if (response instanceof ProblemError) return problemResponse(h, response.problem);
  const status = response.output.statusCode;
  if (status >= 500 && KIND_OF_STATUS[status] === undefined) {
    return problemResponse(h, toProblem(response));
  }
  return problemResponse(h, boomProblem(response, req), { status });
};

/** The problem behind an error that hapi or one of its parts made. No handler had run. */
function boomProblem(err: Boom, req: Request): Problem {
  const kind = KIND_OF_STATUS[err.output.statusCode] ?? 'bad-input';
  return problem(kind, {
    detail: `${req.method.toUpperCase()} ${req.path}: ${err.message || err.output.payload.error}.`,
    remedy: REMEDY_OF_KIND[kind] ?? 'Mend the request; what is wrong with it is said above.',
  });
}
