/** One request to the runner: whole answers only, the deadline carried, failures told as problems. */
import {
  MAX_BODY_BYTES,
  problem,
  type Problem,
  type Ran,
  type RequestRun,
  type Runner,
} from '@zincspan/core';
import { HttpCaller, HttpError, type HttpFailure } from '../http/http-call.js';

/** What came of a request at the runner. */
export type RunnerAnswer =
  | { outcome: 'answered'; status: number; contentType: string; body: RequestRun['body'] }
  | { outcome: 'problem'; problem: Problem };

const RAN: Record<HttpFailure, Ran> = {
  'not-connected': 'not-run',
  silent: 'unknown',
  cut: 'unknown',
  'too-long': 'ran',
  lost: 'unknown',
};

/** Calls one runner, over no more connections than it has slots or connections to give. */
export class RunnerClient {
  readonly #caller: HttpCaller;

  constructor({ address, slots, connections }: Runner) {
    this.#caller = new HttpCaller({ address, sockets: Math.min(slots, connections) });
  }

  /** Runs a request. `timeLeftMs` is told to the runner, `timeoutMs` is how long its answer is awaited. */
  async run(
    req: RequestRun,
    { timeLeftMs, timeoutMs }: { timeLeftMs: number; timeoutMs: number },
  ): Promise<RunnerAnswer> {
    try {
      const { status, contentType, body } = await this.#caller.call({
        method: 'POST',
        path: `/v1/run/${encodeURIComponent(req.kind)}`,
        headers: {
          'content-type': req.contentType,
          'x-request-id': req.requestId,
          'x-deadline-ms': String(Math.floor(timeLeftMs)),
        },
        body: req.body,
        timeoutMs,
        maxBytes: MAX_BODY_BYTES,
      });
      return { outcome: 'answered', status, contentType, body };
    } catch (err) {
      const failure = err instanceof HttpError ? err.failure : 'lost';
      return { outcome: 'problem', problem: failed(failure, (err as Error).message) };
    }
  }

  close(): void {
    this.#caller.close();
  }
}

function failed(failure: HttpFailure, detail: string): Problem {
  return problem('upstream-failed', {
    detail: `The runner gave no whole answer (${failure}): ${detail}`,
    remedy:
      RAN[failure] === 'not-run'
        ? 'Try again: another runner may be reachable.'
        : 'It may have run. Repeat it only if its kind is idempotent.',
    ran: RAN[failure],
  });
}
