/** POST /v1/requests/:kind: a short request to a runner, answered on the caller's connection. */
import type { Request, ResponseObject, ResponseToolkit, Server } from '@hapi/hapi';
import {
  ProblemError,
  problem,
  toProblem,
  type AccountLimiter,
  type EntrySettings,
  type Kind,
  type ProcessContext,
} from '@zincspan/core';
import { callingAccount } from '../http/auth.js';
import type { Answer } from './attempt.js';
import type { KindDirectory } from './kind-directory.js';
import type { KeyedAnswer, KeyedRequests } from './keyed-requests.js';
import type { RefusalNotes } from './refusal-notes.js';
import type { RequestIds } from './request-ids.js';
import { RequestLife } from './request-life.js';
import type { RequestOrder } from './request-order.js';
import type { RequestRouter } from './request-router.js';

/** What the route works with. */
export interface RequestRouteDeps {
  ctx: ProcessContext;
  settings: Pick<EntrySettings, 'limits'>;
  kinds: KindDirectory;
  limiter: AccountLimiter;
  router: RequestRouter;
  keyed: KeyedRequests;
  ids: RequestIds;
  refusals: RefusalNotes;
}

const REQUEST_ID_HEADER = 'zincspan-request-id';
const DEADLINE_HEADER = 'zincspan-deadline-ms';
const KEY_HEADER = 'idempotency-key';
const MAX_CONTENT_TYPE = 200;
const MAX_KEY = 255;

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
  const { ctx, ids, limiter, settings } = deps;
  const order = readOrder(req, deps.kinds, ids);
  const deadlineMs = readDeadline(req, settings.limits);
  const key = readKey(req);
  admit(order, deps);
  const life = new RequestLife({ clock: ctx.clock, deadlineMs });
  endWithCaller(req, life);
  const startedAt = ctx.clock.now();
  try {
    const { answer, requestId } = await run(order, key, life, deps);
    ctx.metrics.count('request.answered');
    return answerResponse(h, answer, requestId);
  } catch (err) {
    deps.refusals.note(order, toProblem(err));
    throw err;
  } finally {
    const ms = ctx.clock.now() - startedAt;
    life.end();
    limiter.ended(order.account, ms);
    ctx.metrics.timing('request.ms', ms, { kind: order.kind.name });
  }
}

/** Idempotent kinds need no key: running them again does no harm. */
async function run(
  order: RequestOrder,
  key: string | undefined,
  life: RequestLife,
  { router, keyed }: RequestRouteDeps,
): Promise<KeyedAnswer> {
  if (key !== undefined && !order.kind.idempotent) return keyed.run(key, order, life);
  return { answer: await router.run(order, { life }), requestId: order.requestId };
}

/** Counts the request, or refuses it at once. */
function admit(order: RequestOrder, { ctx, limiter, refusals }: RequestRouteDeps): void {
  const admission = limiter.start(order.account, ctx.clock.now());
  if (admission.type === 'admitted') return;
  refusals.note(order, admission.problem);
  throw new ProblemError(admission.problem);
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

function readOrder(req: Request, kinds: KindDirectory, ids: RequestIds): RequestOrder {
  const kind = findKind(kinds, String(req.params.kind));
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

function findKind(kinds: KindDirectory, name: string): Kind {
  const kind = kinds.get(name);
  if (kind === undefined) {
    throw new ProblemError(
      problem('not-found', {
        detail: `The bundle in force has no kind ${name}.`,
        remedy: 'Check the name, or ask an operator to declare the kind.',
      }),
    );
  }
  if (kind.path === 'request') return kind;
  throw badInput(`Kind ${name} is a kind of job.`, 'Submit it with POST /v1/jobs.');
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

function readKey(req: Request): string | undefined {
  const key = req.raw.req.headers[KEY_HEADER];
  if (key === undefined) return undefined;
  if (typeof key === 'string' && key.length > 0 && key.length <= MAX_KEY) return key;
  throw badInput('The Idempotency-Key is unusable.', `Give one of 1 to ${MAX_KEY} characters.`);
}

function badInput(detail: string, remedy: string): ProblemError {
  return new ProblemError(problem('bad-input', { detail, remedy }));
}
