/** Messages between a cell's owner and the guards of its workers. */
import * as z from 'zod';

const taskNameSchema = z.string().max(160);

/** Names one run of one task. */
export const runNameSchema = z.strictObject({ task: taskNameSchema, run: z.int().min(1) });
export type RunName = z.infer<typeof runNameSchema>;

/** The runner beside a guard, as it describes itself. */
export const runnerFactsSchema = z.strictObject({
  /** Names one life of the runner: a new one for every start, also where the runner keeps its id. */
  id: z.string(),
  service: z.string(),
  failureDomain: z.string(),
  /** The kind of machine and the rack, among others. */
  labels: z.array(z.string()),
  capacity: z.strictObject({
    milliCores: z.number(),
    memoryMb: z.number(),
    accelerators: z.number(),
  }),
  /** It takes nothing new, and ends soon. */
  draining: z.boolean(),
  /** Least time until a draining runner ends, in ms. */
  remainingMs: z.optional(z.number()),
  /** It works slowly for this long after its start, in ms; absent once it is warm. */
  coldMs: z.optional(z.number()),
  /** It answered the guard's last call. */
  reachable: z.boolean(),
  /** No lease can be left on it: nothing that ran there runs any more. */
  leaseLapsed: z.boolean(),
});
export type RunnerFacts = z.infer<typeof runnerFactsSchema>;

/** A run that its runner lists as running. */
export const runStatusSchema = runNameSchema.extend({
  /** Last saved checkpoint; empty if there is none. */
  checkpoint: z.string(),
  /** Share of the work that is done; 100 while a lasting task works. */
  percent: z.number(),
  /** Of a task that serves users: the tail of its response times, in ms. Of others: thousandths of a core in use. */
  load: z.optional(z.number()),
  /** Share at which the guard had it work; absent if it never set one. */
  pace: z.optional(z.number()),
});
export type RunStatus = z.infer<typeof runStatusSchema>;

/** How a runner says that a run ended. */
export const runEndKindSchema = z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']);

/** An end as its runner lists it, under a number that rises within the runner's life. */
export const listedEndSchema = runNameSchema.extend({
  number: z.int().min(1),
  how: runEndKindSchema,
  checkpoint: z.string(),
});
export type ListedEnd = z.infer<typeof listedEndSchema>;

/** Why a start was refused, for good: the run is barred and will never run. */
export const startRefusalSchema = z.enum([
  /** The run was stopped or ended there before. */
  'old',
  /** No room beside what runs there, or what is still being stopped. */
  'room',
  /** The order was older than its lease. */
  'late',
  /** The placement advisor's ticket isn't valid. */
  'ticket',
  /** The runner is draining, says it is unhealthy, or doesn't answer. */
  'unavailable',
  /** The runner knows no such task. */
  'unknown',
]);
export type StartRefusal = z.infer<typeof startRefusalSchema>;

/** A runner's life that ended without leaving first, with what was on it. */
export const runnerCrashSchema = z.strictObject({
  /** The life that ended. */
  runner: z.string(),
  /** How long the guard had known it when it fell silent, in ms. */
  livedMs: z.number().min(0),
  /** Runs that were there when it fell silent; `ranMs`: since when each had been there, in ms. */
  runs: z.array(runNameSchema.extend({ ranMs: z.number().min(0) })),
});
export type RunnerCrash = z.infer<typeof runnerCrashSchema>;

/** What a guard tells the owner: all that it knows, each time. */
export const cellContactSchema = z.strictObject({
  /** Absent until a runner has announced itself and listed its runs. */
  runner: z.optional(runnerFactsSchema),
  running: z.array(runStatusSchema),
  /** Ends that the owner hasn't confirmed yet. */
  ends: z.array(listedEndSchema),
  /** Orders that are being carried out. Without a runner: starts for an earlier one that may still reach it. */
  inProgress: z.array(runNameSchema),
  refused: z.array(runNameSchema.extend({ reason: startRefusalSchema })),
  /** The last crash of the runner beside the guard, told again for some seconds: the owner may change meanwhile. */
  crash: z.optional(runnerCrashSchema),
});
export type CellContact = z.infer<typeof cellContactSchema>;

/** An order to start a run. */
export const startOrderSchema = runNameSchema.extend({
  spec: z.string(),
  checkpoint: z.string(),
  ticket: z.optional(z.string()),
});
export type StartOrder = z.infer<typeof startOrderSchema>;

/** An order to let a run work at a share of its speed. */
export const paceOrderSchema = runNameSchema.extend({ percent: z.int().min(0).max(100) });
export type PaceOrder = z.infer<typeof paceOrderSchema>;

/** A runner's speed in percent of the usual, and the number of observations behind it. */
export const heldSpeedSchema = z.strictObject({
  speed: z.int().min(1).max(1000),
  weight: z.int().min(0),
});
export type HeldSpeed = z.infer<typeof heldSpeedSchema>;

/** What is to be so on the guard's runner, and how long its tasks may go on without another contact. */
export const cellOrdersSchema = z.strictObject({
  term: z.int().min(1),
  /** The life of the runner that the orders are for; empty without one. */
  runner: z.string(),
  /** From the moment the contact was sent, in ms; 0: no authority. */
  leaseMs: z.number().min(0),
  /** Time since the store last confirmed that the sender owns the cell, in ms. */
  unconfirmedMs: z.number().min(0),
  /** Ends up to this number are durable. */
  confirmedEnd: z.int().min(0),
  starts: z.array(startOrderSchema),
  stops: z.array(runNameSchema),
  /** At which share runs that fill a worker may work, in percent. */
  paces: z.array(paceOrderSchema),
  /**
   * What the sender has learned about the runner's speed, for the guard to hold for a later owner. Sent only to a guard whose
   * heartbeats show that it knows this field.
   */
  workerSpeed: z.optional(heldSpeedSchema),
});
export type CellOrders = z.infer<typeof cellOrdersSchema>;

/** A caller's call that an entry has another one serve, as it can't reach the store itself. */
export const forwardedCallSchema = z.strictObject({
  call: z.enum(['submit', 'state', 'cancel']),
  host: z.string(),
  path: z.string(),
  key: z.optional(z.string()),
  /** The job handed in, checked by the entry that serves it. */
  job: z.optional(z.unknown()),
  /** How long the caller still waits, in ms. */
  budgetMs: z.number().min(0),
});
export type ForwardedCall = z.infer<typeof forwardedCallSchema>;

/** A job's row that an entry has just written: the cell's owner needn't wait for the store's feed. */
export const jobNewsSchema = z.strictObject({
  key: z.string().max(200),
  value: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  version: z.int().min(1),
});
export type JobNews = z.infer<typeof jobNewsSchema>;

/** A submission that an entry has let through, for the next write of the cell's owner. */
export const acceptanceSchema = z.strictObject({
  jobId: z.string().max(200),
  /** The submission's row. */
  value: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  /** Of the configuration's row by which it was let through. */
  configVersion: z.int().min(0),
  /** It isn't sent to the store after this time, in ms. */
  timeoutMs: z.number().min(0),
});
export type AcceptanceCall = z.infer<typeof acceptanceSchema>;

/** What became of it. */
export const acceptanceResultSchema = z.discriminatedUnion('outcome', [
  z.strictObject({ outcome: z.literal('done'), version: z.int().min(1) }),
  /** The job was accepted before. */
  z.strictObject({ outcome: z.literal('exists') }),
  /** Another configuration is in force; nothing was done. */
  z.strictObject({ outcome: z.literal('config-changed') }),
  /** Surely not done. */
  z.strictObject({ outcome: z.literal('refused'), detail: z.string() }),
  /** It may have been done. */
  z.strictObject({ outcome: z.literal('unknown'), detail: z.string() }),
]);
export type AcceptanceResult = z.infer<typeof acceptanceResultSchema>;

/** What the caller is to be told. */
export const forwardedResultSchema = z.looseObject({
  outcome: z.string(),
  /** Of the configuration by which it was served. */
  configVersion: z.optional(z.int()),
});
export type ForwardedResult = z.infer<typeof forwardedResultSchema>;
