/**
 * The HTTP interface that workers and runners offer to the guard beside them. Bodies are JSON.
 *
 * Worker:
 *   GET  /v1/worker                      what it has (Worker)
 *   POST /v1/tasks                       prepare a task, held at the barrier (workerTaskSchema) -> 201 workerTaskStatusSchema
 *   POST /v1/tasks/:task/start           pass the barrier -> 200, 409 if not ready or lapsed
 *   POST /v1/tasks/:task/lease           renew { leaseMs } -> 200 status, 404 if unknown
 *   POST /v1/tasks/:task/checkpoint      { limitMs } -> 200 { checkpoint }, 409 refused, 504 too late
 *   POST /v1/tasks/:task/throttle        { cores } -> 200
 *   POST /v1/tasks/:task/stop            -> 200 status, once it surely doesn't run any more
 *   GET  /v1/tasks                       all tasks (status list); ended ones stay until DELETE /v1/tasks/:task
 *   GET  /v1/events?after=N&waitMs=M     long poll: { next, tasks: status[] } changed since N
 * A task whose lease isn't renewed stops by itself, and says `lapsed`.
 *
 * Runner:
 *   POST /v1/run/:kind                   the request's body and content type, headers x-request-id and
 *                                        x-deadline-ms (time left) -> whole answer with content-length
 *   GET  /v1/health                      200 while it serves
 *
 * Both announce themselves to their guard: POST /v1/upstream with an Upstream, repeated every few seconds;
 * DELETE /v1/upstream withdraws.
 */
import * as z from 'zod';

/** Order to prepare a task. `task` names it; preparing the same name again answers its status. */
export const workerTaskSchema = z.strictObject({
  task: z.string().min(1).max(300),
  accelerators: z.array(z.int().min(0)),
  cores: z.number().min(0),
  memoryMb: z.number().min(0),
  leaseMs: z.int().min(100),
  /** Which member of how many. */
  member: z.int().min(0),
  tasks: z.int().min(1),
  kind: z.string(),
  params: z.record(z.string(), z.unknown()),
  checkpoint: z.optional(z.string()),
  checkpointable: z.boolean(),
});
export type WorkerTask = z.infer<typeof workerTaskSchema>;

/** State of a task on its worker. */
export const workerTaskStateSchema = z.enum([
  'preparing',
  'ready',
  'running',
  'succeeded',
  'failed',
  'stopped',
  'lapsed',
]);
export type WorkerTaskState = z.infer<typeof workerTaskStateSchema>;

/** A worker's word on one task. Usage is as of `usage.lagMs` ago. */
export const workerTaskStatusSchema = z.strictObject({
  task: z.string(),
  state: workerTaskStateSchema,
  detail: z.string().default(''),
  result: z.optional(z.unknown()),
  ranMs: z.number().min(0),
  usage: z.strictObject({
    cores: z.number(),
    memoryMb: z.number(),
    progress: z.number().min(0).max(1),
    lagMs: z.number().min(0),
  }),
});
export type WorkerTaskStatus = z.infer<typeof workerTaskStatusSchema>;

/** Answer of the event poll. */
export const workerEventsSchema = z.strictObject({
  next: z.int().min(0),
  tasks: z.array(workerTaskStatusSchema),
});

/** Name under which a member of an attempt runs on its worker. */
export function taskName({
  key,
  attempt,
  member,
}: {
  key: string;
  attempt: number;
  member: number;
}): string {
  return `${key.replaceAll('/', '~')}~${attempt}~${member}`;
}
