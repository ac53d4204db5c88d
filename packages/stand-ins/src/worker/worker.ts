/** Stand-in for a worker: runs tasks under leases by its own clock and keeps a ledger of what ran. */
import { SystemClock, workerSchema, type Clock, type Worker } from '@zincspan/core';
import { Announcer } from '../server/announcer.js';
import { closeServer, createServer, serverAddress } from '../server/http-server.js';
import type { StandIn } from '../server/stand-in.js';
import type { WorkerLedger } from './task-ledger.js';
import { TaskSet } from './task-set.js';
import { workerFaultsSchema, type WorkerFaults } from './worker-faults.js';
import { workerRoutes } from './worker-routes.js';

/** How a worker stand-in is set up. Times in ms. */
export interface WorkerOptions {
  listen?: string;
  id?: string;
  rack?: string;
  rackPosition?: number;
  cores?: number;
  memoryMb?: number;
  accelerators?: number;
  /** From the order to prepare a task until it is ready. */
  prepareMs?: number;
  usageLagMs?: number;
  /** `IP:port` of the guard to announce itself to. */
  guard?: string;
  clock?: Clock;
  faults?: Partial<WorkerFaults>;
}

/** Stand-in of a worker. */
export interface WorkerStandIn extends StandIn<WorkerFaults> {
  readonly worker: Worker;
  ledger(): WorkerLedger;
}

/** Starts a worker in this process. */
export async function startWorker({
  listen = '127.0.0.1:0',
  id = 'worker-1',
  rack = 'rack-1',
  rackPosition = 0,
  cores = 64,
  memoryMb = 262_144,
  accelerators = 8,
  prepareMs = 5,
  usageLagMs = 1000,
  guard,
  clock = new SystemClock(),
  faults: initialFaults = {},
}: WorkerOptions = {}): Promise<WorkerStandIn> {
  const faults = workerFaultsSchema.parse(initialFaults);
  const tasks = new TaskSet({ clock, accelerators, prepareMs, usageLagMs, faults });
  const server = createServer(listen, { schema: workerFaultsSchema, faults });
  const describe = () =>
    workerSchema.parse({
      type: 'worker',
      id,
      address: serverAddress(server),
      rack,
      rackPosition,
      cores,
      memoryMb,
      accelerators,
    });
  server.route(workerRoutes({ tasks, faults, describe }));
  await server.start();
  const worker = describe();
  const announcer = guard === undefined ? undefined : new Announcer({ guard, upstream: worker });
  void announcer?.start();
  const kill = async () => {
    announcer?.fallSilent();
    tasks.close();
    await closeServer(server);
  };
  return {
    address: worker.address,
    worker,
    faults,
    ledger: () => tasks.ledger.read(),
    close: async () => {
      await announcer?.withdraw();
      await kill();
    },
    kill,
  };
}
