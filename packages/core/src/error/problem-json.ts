/** Problems as bodies of HTTP answers, problem+json (RFC 9457), the same from entries and guards. */
import { PROBLEM_STATUS, type Problem } from './problem.js';

/** Media type of a problem's body. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** Body of a problem answer. */
export function problemBody(cause: Problem, status: number = PROBLEM_STATUS[cause.kind]): object {
  const { kind, ran, detail, remedy, retryAfterMs, facts } = cause;
  return {
    type: `urn:zincspan:problem:${kind}`,
    title: kind,
    status,
    detail,
    kind,
    ran,
    remedy,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(facts === undefined ? {} : { facts }),
  };
}
