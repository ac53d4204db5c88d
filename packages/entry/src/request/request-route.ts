/** POST /v1/requests/:kind: a short request to a runner, answered on the caller's connection. */
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi';
import {
  ProblemError,
  problem,
  type EntrySettings,
  type Kind,
  type ProcessContext,
} from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import { callingAccount } from '../http/auth.js';
import type { RequestAdmission } from './admission.js';
import type { Answer } from './attempt.js';
import type { RequestIds } from './request-ids.js';
import { RequestLife } from './request-life.js';
import type { RequestOrder } from './request-order.js';
import type { RequestRouter } from './request-router.js';

/** What the route works with. */
export interface RequestRouteDeps {
  ctx: ProcessContext;
  settings: Pick<EntrySettings, 'limits'>;
  bundles: BundleSource;
  admission: RequestAdmission;
  router: RequestRouter;
  ids: RequestIds;
}

const REQUEST_ID_HEADER = 'zincspan-request-id';
const DEADLINE_HEADER = 'zincspan-deadline-ms';
const MAX_CONTENT_TYPE = 200;

/** Adds the route. */
export function registerRequestRoute(server: Server, deps: RequestRouteDeps): void {
  server.route({
    method: 'POST',
    path: '/v1/requests/{kind}',
    options: {
      auth: 'account',
      payload: {
        parse: false,
        output: 'data',
        maxBytes: deps.settings.limits.bodyBytes,
        defaultContentType: 'application/octet-stream',
      },
      response: { emptyStatusCode: 200 },
    },
    handler: (req, h) => handleRequest(req, h, deps),
  });
}

async function handleRequest(
  req: Request,
  h: ResponseToolkit,
  deps: RequestRouteDeps,
): Promise<ResponseObject> {
  const { ctx, admission, ids, settings } = deps;
  const order = readOrder(req, deps.bundles, ids);
  const deadlineMs = readDeadline(req, settings.limits);
  const leave = admission.enter(order.account);
  const life = new RequestLife({ clock: ctx.clock, deadlineMs });
  endWithCaller(req, life);
  const startedAt = ctx.clock.now();
  try {
    const answer = await deps.router.run(order, { life });
    ctx.metrics.count('request.answered');
    return answerResponse(h, answer, order.requestId);
  } finally {
    life.end();
    leave();
    ctx.metrics.timing('request.ms', ctx.clock.now() - startedAt, { kind: order.kind.name });
  }
}

/** hapi tells of a lost caller only while the body is still arriving; the response's end tells always. */
function endWithCaller({ raw: { res } }: Request, life: RequestLife): void {
  res.once('close', () => {
    if (!res.writableEnded) life.end('caller-left');
  });
}

function answerResponse(h: ResponseToolkit, answer: Answer, requestId: string): ResponseObject {
  const body = Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength);
  const res = h.response(body).code(answer.status).header(REQUEST_ID_HEADER, requestId);
  // The runner's content type is passed on as it is, without a charset of hapi's.
  res.type(answer.contentType || 'application/octet-stream').charset('');
  return res;
}

function readOrder(req: Request, bundles: BundleSource, ids: RequestIds): RequestOrder {
  const kind = findKind(bundles, String(req.params.kind));
  const contentType = req.raw.req.headers['content-type'] ?? 'application/octet-stream';
  if (contentType.length > MAX_CONTENT_TYPE) {
    throw badInput(
      `The content type is longer than ${MAX_CONTENT_TYPE} characters.`,
      'Shorten it.',
    );
  }
  const body = Buffer.isBuffer(req.payload) ? new Uint8Array(req.payload) : new Uint8Array();
  const account = callingAccount(req).name;
  return { requestId: ids.next(), account, kind, contentType, body };
}

function findKind(bundles: BundleSource, name: string): Kind {
  const kind = bundles.current?.bundle.kinds.find((candidate) => candidate.name === name);
  if (kind === undefined) {
    throw new ProblemError(
      problem('not-found', {
        detail: `The bundle in force has no kind ${name}.`,
        remedy: 'Check the name, or ask an operator to declare the kind.',
      }),
    );
  }
  if (kind.path === 'request') return kind;
  throw badInput(`Kind ${name} is a kind of job.`, 'Submit it with PUT /v1/jobs.');
}

function readDeadline(req: Request, limits: EntrySettings['limits']): number {
  const text = req.raw.req.headers[DEADLINE_HEADER];
  if (text === undefined) return limits.defaultDeadlineMs;
  if (typeof text !== 'string' || !/^[1-9]\d{0,8}$/.test(text)) {
    throw badInput(
      `Zincspan-Deadline-Ms is ${String(text)}.`,
      'Give a whole number of milliseconds.',
    );
  }
  return Math.min(Number(text), limits.maxDeadlineMs);
}

function badInput(detail: string, remedy: string): ProblemError {
  return new ProblemError(problem('bad-input', { detail, remedy }));
}
