/** Typed messages between zincspan's own processes: every method, what it takes and what it answers. */
import * as z from 'zod';
import { bundleDeltaSchema, bundleHeadSchema } from '../bundle/bundle.js';
import { hybridStampSchema } from '../clock/hybrid-clock.js';
import { problemSchema } from '../error/problem.js';
import { memberSchema } from '../gang/shape.js';
import { jobRowSchema, ranSchema } from '../job/job.js';
import { contactTimesSchema } from '../lease/contact-times.js';
import { timelineEventSchema } from '../timeline/event.js';
import {
  cellContactSchema,
  acceptanceResultSchema,
  acceptanceSchema,
  cellOrdersSchema,
  forwardedCallSchema,
  jobNewsSchema,
  forwardedResultSchema,
} from './cell-messages.js';
import { announcementSchema } from '../upstream/upstream.js';
import { incarnationSchema, nameSchema } from '../vm/vm.js';

const none = z.strictObject({});

/** Longest request or answer body, in bytes; the bound is told to whoever exceeds it. */
export const MAX_BODY_BYTES = 1_048_576;

/** Bytes of a caller's body or a runner's answer. */
const bytesSchema = z.instanceof(Uint8Array);

// --- Requests to runners -------------------------------------------------------------------------------------

/** A request on its way to a runner. The deadline travels as time left, as clocks differ. */
export const requestRunSchema = z.strictObject({
  requestId: z.string().min(8).max(128),
  account: nameSchema,
  kind: nameSchema,
  idempotent: z.boolean(),
  urgent: z.boolean(),
  timeLeftMs: z.number().min(0),
  contentType: z.string().max(200),
  body: bytesSchema,
});
export type RequestRun = z.infer<typeof requestRunSchema>;

/** Load of a runner, told with each answer so that entries choose well. */
export const runnerLoadSchema = z.strictObject({
  inUse: z.int().min(0),
  queued: z.int().min(0),
  /** 0 at a guard that no runner has announced itself to. */
  slots: z.int().min(0),
});
export type RunnerLoad = z.infer<typeof runnerLoadSchema>;

/** How a request ended at its guard. An answer is whole: `length` is the body's length in bytes. */
export const requestResultSchema = z.discriminatedUnion('outcome', [
  z.strictObject({
    outcome: z.literal('answered'),
    status: z.int(),
    contentType: z.string(),
    body: bytesSchema,
    length: z.int().min(0),
    serviceMs: z.number(),
    load: runnerLoadSchema,
  }),
  z.strictObject({ outcome: z.literal('problem'), problem: problemSchema, load: runnerLoadSchema }),
]);
export type RequestResult = z.infer<typeof requestResultSchema>;

/** What a guard knows of a request id. `never-seen` also bars the id for good. */
export const settleResultSchema = z.discriminatedUnion('state', [
  z.strictObject({ state: z.literal('ended'), result: requestResultSchema }),
  z.strictObject({ state: z.literal('running') }),
  z.strictObject({ state: z.literal('never-seen') }),
  /** It was seen, but the answer is no longer kept. */
  z.strictObject({ state: z.literal('forgotten') }),
]);
export type SettleResult = z.infer<typeof settleResultSchema>;

// --- Reservations on workers ---------------------------------------------------------------------------------

/** Names an attempt of a job, or a claim's hold (attempt 0), on one guard. */
export const attemptRefSchema = z.strictObject({
  /** `jobs/<account>/<id>` or `claims/<account>/<id>`. */
  key: z.string().max(200),
  attempt: z.int().min(0),
  member: z.int().min(0),
});
export type AttemptRef = z.infer<typeof attemptRefSchema>;

/** Part of every order an owner gives: guards refuse terms below the highest seen, and other incarnations' orders. */
export const orderSchema = z.strictObject({
  failureDomain: nameSchema,
  term: z.int().min(1),
  /** Incarnation of the guard that the order is for. */
  incarnation: incarnationSchema,
});
export type Order = z.infer<typeof orderSchema>;

/** What the tasks of a job need to run. */
export const taskSpecSchema = z.strictObject({
  account: nameSchema,
  kind: nameSchema,
  tasks: z.int().min(1),
  params: z.record(z.string(), z.unknown()),
  checkpoint: z.optional(z.string()),
  checkpointable: z.boolean(),
  maxRunMs: z.int().min(1),
});
export type TaskSpec = z.infer<typeof taskSpecSchema>;

/**
 * Asks a guard to set accelerators, cores and memory aside. With `task` the worker also prepares it, held at the
 * barrier: nothing of it runs before `gang.start`. Without `task` it holds a claimed guarantee.
 */
export const gangReserveSchema = z.strictObject({
  order: orderSchema,
  ref: attemptRefSchema,
  member: memberSchema,
  /** Not started within this time, the guard drops it by itself. Claims are renewed by repeating the call. */
  ttlMs: z.int().min(100),
  task: z.optional(taskSpecSchema),
  /** Taken from the capacity that this claim holds, not from the free capacity. */
  within: z.optional(z.string().max(200)),
});
export type GangReserve = z.infer<typeof gangReserveSchema>;

/** A task's end as a guard saw it, kept until an owner has acknowledged it. */
export const taskEndSchema = z.strictObject({
  ref: attemptRefSchema,
  incarnation: incarnationSchema,
  outcome: z.enum([
    'succeeded',
    'failed',
    'stopped',
    'checkpointed',
    'lease-lapsed',
    'never-started',
  ]),
  detail: z.string().max(1000).default(''),
  checkpoint: z.optional(z.string()),
  result: z.optional(z.unknown()),
  ranMs: z.number().min(0),
});
export type TaskEnd = z.infer<typeof taskEndSchema>;

/** Where a reservation stands on its guard. */
export const reservationStateSchema = z.enum([
  'preparing',
  'ready',
  'running',
  'stopping',
  'ended',
  'held',
]);
export type ReservationState = z.infer<typeof reservationStateSchema>;

/** One reservation as a guard reports it. */
export const reservationSchema = z.strictObject({
  ref: attemptRefSchema,
  member: memberSchema,
  state: reservationStateSchema,
  term: z.int(),
  within: z.optional(z.string()),
  end: z.optional(taskEndSchema),
  ranMs: z.number().min(0).default(0),
});
export type Reservation = z.infer<typeof reservationSchema>;

/** Lagged usage of a running task. */
export const taskUsageSchema = z.strictObject({
  ref: attemptRefSchema,
  cores: z.number().min(0),
  memoryMb: z.number().min(0),
  progress: z.number().min(0).max(1),
  lagMs: z.number().min(0),
});
export type TaskUsage = z.infer<typeof taskUsageSchema>;

// --- What owners tell other entries ------------------------------------------------------------------------------

/** Sizes of gangs, in accelerators, whose expected waits an owner tells. */
export const WAIT_SIZES = [1, 8, 16, 32, 64, 128] as const;

/** How a failure domain stands, told by its owner so that any entry can choose among failure domains. */
export const ownerSummarySchema = z.strictObject({
  failureDomain: nameSchema,
  term: z.int().min(1),
  workers: z.int().min(0),
  /** Accelerators that are free now. */
  free: z.int().min(0),
  queued: z.int().min(0),
  /** Expected wait in ms of a job that isn't urgent, for each of WAIT_SIZES. */
  waitsMs: z.array(z.int().min(0)).max(WAIT_SIZES.length),
});
export type OwnerSummary = z.infer<typeof ownerSummarySchema>;

const order = z.strictObject({ order: orderSchema, ref: attemptRefSchema });

/**
 * Every method that travels on a link. `req` and `res` are checked on arrival. Methods without an answer worth
 * having answer `{}`; a refused call answers a Problem instead (the link rejects with ProblemError).
 */
export const METHODS = {
  // Guard to entry: membership.
  'upstream.announce': {
    req: announcementSchema,
    res: z.strictObject({ bundleVersion: z.int().min(0) }),
  },
  // Entry to guard: requests.
  'request.run': { req: requestRunSchema, res: requestResultSchema },
  'request.settle': {
    req: z.strictObject({ requestId: z.string(), incarnation: incarnationSchema }),
    res: settleResultSchema,
  },
  'request.cancel': { req: z.strictObject({ requestId: z.string() }), res: none },
  // Owner to guard: gangs. All idempotent by (key, attempt, member).
  'gang.reserve': {
    req: gangReserveSchema,
    res: z.strictObject({
      state: reservationStateSchema,
      contact: z.optional(contactTimesSchema),
    }),
  },
  /** Passes the barrier. Answers `ended` with the end if the reservation is gone. */
  'gang.start': {
    req: order,
    res: z.strictObject({ state: reservationStateSchema, end: z.optional(taskEndSchema) }),
  },
  /** Releases what hasn't started, stops what has; answers once it surely doesn't run any more. */
  'gang.stop': {
    req: order.extend({ checkpoint: z.boolean(), limitMs: z.int().min(0) }),
    res: taskEndSchema,
  },
  'gang.throttle': { req: order.extend({ cores: z.number().min(0) }), res: none },
  /** The owner has written the end down; the guard may forget it. */
  'gang.forget': { req: order, res: none },
  'guard.inventory': {
    req: z.strictObject({ order: orderSchema }),
    res: z.strictObject({ reservations: z.array(reservationSchema), highestTerm: z.int() }),
  },
  'guard.drain': { req: z.strictObject({ on: z.boolean() }), res: none },
  // Guard to the owner of its failure domain.
  'task.ready': {
    req: z.strictObject({ ref: attemptRefSchema, incarnation: incarnationSchema }),
    res: none,
  },
  'task.ended': { req: taskEndSchema, res: none },
  'task.usage': { req: z.strictObject({ usages: z.array(taskUsageSchema) }), res: none },
  // Guard to another entry than the owner's.
  /** Whether the owner that the guard knows, or one that replaced it, is alive as far as the entry can tell. */
  'owner.reachable': {
    req: z.strictObject({
      failureDomain: nameSchema,
      term: z.int().min(1),
      /** Absent: it has said itself that it no longer owns the failure domain. */
      holder: z.optional(z.strictObject({ id: nameSchema, incarnation: incarnationSchema })),
    }),
    res: z.strictObject({ reachable: z.boolean() }),
  },
  // Entry to entry.
  'owner.changed': {
    req: z.strictObject({
      failureDomain: nameSchema,
      term: z.int(),
      holder: z.optional(nameSchema),
    }),
    res: none,
  },
  /** Told again when it changes, and every few seconds. */
  'owner.summary': { req: ownerSummarySchema, res: none },
  'job.queued': { req: z.strictObject({ row: jobRowSchema, version: z.int() }), res: none },
  'job.cancel': {
    req: z.strictObject({ account: nameSchema, id: nameSchema }),
    res: z.strictObject({ ran: ranSchema }),
  },
  'claim.changed': { req: z.strictObject({ account: nameSchema, id: nameSchema }), res: none },
  /** Answers once the owner has changed the row, or `changed: false` after `timeoutMs`. */
  'row.wait': {
    req: z.strictObject({ key: z.string().max(200), timeoutMs: z.int().min(0).max(60_000) }),
    res: z.strictObject({ changed: z.boolean() }),
  },
  // Guard to the owner of its cell, and back.
  /** Answers what is to be so on the guard's runner. Refused with `not-owner` by any other entry. */
  'cell.contact': { req: cellContactSchema, res: cellOrdersSchema },
  /** There is news for the guard: it makes a contact at once. */
  'cell.poke': { req: none, res: none },
  // Entry to entry, of one cell.
  'caller.forward': { req: forwardedCallSchema, res: forwardedResultSchema },
  'job.news': { req: jobNewsSchema, res: none },
  /** Refused with `not-owner` by any other entry than the cell's owner: then nothing was done. */
  'cell.accept': { req: acceptanceSchema, res: acceptanceResultSchema },
  /** How many jobs of a queue wait. Refused with `not-owner` by any other entry than the cell's owner. */
  'cell.waiting': {
    req: z.strictObject({ queue: z.string() }),
    res: z.strictObject({ count: z.int().min(0) }),
  },
  // Any to any.
  'bundle.fetch': {
    req: z.strictObject({ have: z.int().min(0) }),
    res: z.strictObject({ delta: z.optional(bundleDeltaSchema) }),
  },
  'bundle.head': { req: bundleHeadSchema, res: none },
  /** A small change sent along at once, instead of its head only. Answers the version then in force. */
  'bundle.push': {
    req: z.strictObject({ delta: bundleDeltaSchema }),
    res: z.strictObject({ version: z.int().min(0) }),
  },
  'timeline.read': {
    req: z.strictObject({
      since: z.optional(hybridStampSchema),
      job: z.optional(z.string()),
      limit: z.int().min(1).max(10_000).default(2000),
    }),
    res: z.strictObject({ events: z.array(timelineEventSchema), dropped: z.int() }),
  },
  'process.status': {
    req: none,
    res: z.strictObject({ status: z.record(z.string(), z.unknown()) }),
  },
} as const;
export type Method = keyof typeof METHODS;
export type MethodReq<M extends Method> = z.infer<(typeof METHODS)[M]['req']>;
export type MethodRes<M extends Method> = z.infer<(typeof METHODS)[M]['res']>;
