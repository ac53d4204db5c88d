/** The worker's HTTP interface over its set of tasks. */
import type { Lifecycle, Request, ResponseToolkit, ServerRoute } from '@hapi/hapi';
import { workerTaskSchema, type Worker } from '@zincspan/core';
import * as z from 'zod';
import { delay } from '../server/delay.js';
import { pathParam, type Handler } from '../server/http-server.js';
import { neverAnswer } from '../server/raw-answer.js';
import { checkpointRef } from './task-params.js';
import type { TaskSet } from './task-set.js';
import type { WorkerFaults } from './worker-faults.js';
import type { StandInTask } from './worker-task.js';

const leaseSchema = z.strictObject({ leaseMs: z.int().min(1) });
const checkpointSchema = z.strictObject({ limitMs: z.number().min(0) });
const throttleSchema = z.strictObject({ cores: z.number().min(0) });
const eventsQuerySchema = z.object({
  after: z.coerce.number().int().min(0).default(0),
  waitMs: z.coerce.number().min(0).max(60_000).default(0),
});

type TaskHandler = (
  task: StandInTask,
  req: Request,
  h: ResponseToolkit,
) => Lifecycle.ReturnValue | Promise<Lifecycle.ReturnValue>;

/** What the routes serve. */
export interface WorkerRoutesOptions {
  tasks: TaskSet;
  faults: WorkerFaults;
  describe: () => Worker;
}

/** All routes of the worker, `/ledger` included. */
export function workerRoutes({ tasks, faults, describe }: WorkerRoutesOptions): ServerRoute[] {
  const underFaults =
    (handler: Handler): Handler =>
    async (req, h) => {
      await delay(faults.slowMs);
      if (faults.freeze) return neverAnswer(h);
      return Reflect.apply(handler, undefined, [req, h]) as Lifecycle.ReturnValue;
    };
  const onTask = (handler: TaskHandler): Handler =>
    underFaults((req, h) => {
      const task = tasks.find(pathParam(req, 'task'));
      if (task === undefined) return answerError(h, 404, 'No such task.');
      return handler(task, req, h);
    });
  return [
    { method: 'GET', path: '/ledger', handler: () => tasks.ledger.read() },
    { method: 'GET', path: '/v1/worker', handler: underFaults(() => describe()) },
    { method: 'GET', path: '/v1/tasks', handler: underFaults(() => tasks.list()) },
    { method: 'GET', path: '/v1/events', handler: underFaults(eventsHandler(tasks)) },
    { method: 'POST', path: '/v1/tasks', handler: underFaults(prepareHandler(tasks)) },
    { method: 'POST', path: '/v1/tasks/{task}/start', handler: onTask(startHandler(tasks)) },
    { method: 'POST', path: '/v1/tasks/{task}/lease', handler: onTask(leaseHandler(tasks)) },
    { method: 'POST', path: '/v1/tasks/{task}/throttle', handler: onTask(throttleHandler(tasks)) },
    { method: 'POST', path: '/v1/tasks/{task}/checkpoint', handler: onTask(checkpointer(faults)) },
    { method: 'POST', path: '/v1/tasks/{task}/stop', handler: onTask(stopHandler(tasks)) },
    { method: 'DELETE', path: '/v1/tasks/{task}', handler: onTask(forgetHandler(tasks)) },
  ];
}

function prepareHandler(tasks: TaskSet): Handler {
  return (req, h) => {
    const task = tasks.prepare(workerTaskSchema.parse(req.payload));
    if (task === undefined) return answerError(h, 409, 'Its accelerators are not free.');
    return h.response(task.status()).code(201);
  };
}

function eventsHandler(tasks: TaskSet): Handler {
  return async (req) => {
    const { after, waitMs } = eventsQuerySchema.parse(req.query);
    const changed = tasks.changedSince(after);
    if (changed.tasks.length > 0 || waitMs === 0) return changed;
    await tasks.nextChange(waitMs);
    return tasks.changedSince(after);
  };
}

function startHandler(tasks: TaskSet): TaskHandler {
  return (task, req, h) => {
    if (!tasks.start(task)) return answerError(h, 409, `It is ${task.state}, not ready.`);
    return task.status();
  };
}

function leaseHandler(tasks: TaskSet): TaskHandler {
  return (task, req) => {
    const { leaseMs } = leaseSchema.parse(req.payload);
    tasks.change(task, () => task.renew(leaseMs));
    return task.status();
  };
}

function throttleHandler(tasks: TaskSet): TaskHandler {
  return (task, req) => {
    const { cores } = throttleSchema.parse(req.payload);
    tasks.change(task, () => task.throttle(cores));
    return task.status();
  };
}

function checkpointer(faults: WorkerFaults): TaskHandler {
  return async (task, req, h) => {
    const { limitMs } = checkpointSchema.parse(req.payload);
    if (faults.refuseCheckpoint || !task.order.checkpointable || task.state !== 'running') {
      return answerError(h, 409, 'It can not be checkpointed.');
    }
    const { progress } = task;
    const { checkpointMs } = task.params;
    await delay(Math.min(checkpointMs, limitMs));
    if (checkpointMs > limitMs) return answerError(h, 504, 'The checkpoint took too long.');
    return { checkpoint: checkpointRef(progress) };
  };
}

function stopHandler(tasks: TaskSet): TaskHandler {
  return async (task) => {
    await delay(task.ended ? 0 : task.params.stopMs);
    tasks.change(task, () => task.stop());
    return task.status();
  };
}

function forgetHandler(tasks: TaskSet): TaskHandler {
  return (task, req, h) => {
    if (!tasks.forget(task)) return answerError(h, 409, 'It still runs; stop it first.');
    return h.response().code(204);
  };
}

function answerError(h: ResponseToolkit, status: number, error: string): Lifecycle.ReturnValue {
  return h.response({ error }).code(status);
}
