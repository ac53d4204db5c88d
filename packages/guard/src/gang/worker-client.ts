/** The worker's HTTP interface, typed. Answers are checked; failures are told apart by what they mean. */
import {
  MAX_BODY_BYTES,
  workerEventsSchema,
  workerTaskStatusSchema,
  type WorkerTask,
  type WorkerTaskStatus,
} from '@zincspan/core';
import * as z from 'zod';
import { HttpCaller, HttpError, type HttpAnswer, type HttpCall } from '../http/http-call.js';

const statusListSchema = z.array(workerTaskStatusSchema);
const checkpointSchema = z.object({ checkpoint: z.string() });

const CALL_MS = 2000;
const SOCKETS = 16;

/** Answer to an order about one task. `refused` and `unknown-task` are the worker's own word. */
export type TaskAnswer =
  | { outcome: 'done'; status: WorkerTaskStatus }
  | { outcome: 'refused'; detail: string }
  | { outcome: 'unknown-task' };

/** Answer to a checkpoint. */
export type CheckpointAnswer =
  { outcome: 'done'; checkpoint: string } | { outcome: 'refused'; detail: string };

/** Talks to one worker. All methods throw HttpError when no whole, sensible answer came. */
export class WorkerClient {
  readonly #caller: HttpCaller;

  readonly #callMs: number;

  constructor({ address, callMs = CALL_MS }: { address: string; callMs?: number }) {
    this.#caller = new HttpCaller({ address, sockets: SOCKETS });
    this.#callMs = callMs;
  }

  get address(): string {
    return this.#caller.address;
  }

  async prepare(task: WorkerTask): Promise<TaskAnswer> {
    return toTaskAnswer(await this.#post('/v1/tasks', task));
  }

  async start(task: string): Promise<TaskAnswer> {
    return toTaskAnswer(await this.#post(taskPath(task, 'start')));
  }

  async renew(task: string, leaseMs: number): Promise<TaskAnswer> {
    return toTaskAnswer(await this.#post(taskPath(task, 'lease'), { leaseMs }));
  }

  /** Answered once the task surely doesn't run any more. */
  async stop(task: string): Promise<TaskAnswer> {
    return toTaskAnswer(await this.#post(taskPath(task, 'stop')));
  }

  async throttle(task: string, cores: number): Promise<boolean> {
    const { status } = await this.#post(taskPath(task, 'throttle'), { cores });
    return status < 300;
  }

  async checkpoint(task: string, limitMs: number): Promise<CheckpointAnswer> {
    const path = taskPath(task, 'checkpoint');
    const answer = await this.#post(path, { limitMs }, limitMs + this.#callMs);
    if (answer.status >= 300) return { outcome: 'refused', detail: detailOf(answer) };
    return { outcome: 'done', ...read(checkpointSchema, answer) };
  }

  async forget(task: string): Promise<void> {
    await this.#call({ method: 'DELETE', path: `/v1/tasks/${encodeURIComponent(task)}` });
  }

  async list(): Promise<WorkerTaskStatus[]> {
    return read(statusListSchema, await this.#call({ method: 'GET', path: '/v1/tasks' }));
  }

  /** Long poll for changes since `after`. */
  async events(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<{ next: number; tasks: WorkerTaskStatus[] }> {
    const path = `/v1/events?after=${after}&waitMs=${waitMs}`;
    const timeoutMs = waitMs + this.#callMs;
    return read(workerEventsSchema, await this.#call({ method: 'GET', path, timeoutMs, signal }));
  }

  close(): void {
    this.#caller.close();
  }

  async #post(path: string, body: object = {}, timeoutMs = this.#callMs): Promise<HttpAnswer> {
    return this.#call({
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify(body)),
      timeoutMs,
    });
  }

  async #call(call: Pick<HttpCall, 'method' | 'path'> & Partial<HttpCall>): Promise<HttpAnswer> {
    return this.#caller.call({ timeoutMs: this.#callMs, maxBytes: MAX_BODY_BYTES, ...call });
  }
}

function taskPath(task: string, order: string): string {
  return `/v1/tasks/${encodeURIComponent(task)}/${order}`;
}

function toTaskAnswer(answer: HttpAnswer): TaskAnswer {
  if (answer.status === 404) return { outcome: 'unknown-task' };
  if (answer.status >= 400 && answer.status < 500) {
    return { outcome: 'refused', detail: detailOf(answer) };
  }
  return { outcome: 'done', status: read(workerTaskStatusSchema, answer) };
}

function read<T>(schema: z.ZodType<T>, { status, body }: HttpAnswer): T {
  if (status >= 300) throw new HttpError('lost', `The worker answered ${status}.`);
  try {
    return schema.parse(JSON.parse(body.toString('utf8')));
  } catch (err) {
    throw new HttpError('cut', `The worker's answer can't be read: ${(err as Error).message}`);
  }
}

function detailOf({ status, body }: HttpAnswer): string {
  return `${status} ${body.toString('utf8').slice(0, 200)}`;
}
