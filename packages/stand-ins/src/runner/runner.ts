/** Stand-in for a runner: serves short requests on a few slots and keeps a ledger of what ran. */
import { runnerSchema, type Runner } from '@zincspan/core';
import { Announcer } from '../server/announcer.js';
import { closeServer, createServer, serverAddress } from '../server/http-server.js';
import type { StandIn } from '../server/stand-in.js';
import type { RunnerLedger } from './run-ledger.js';
import { runnerFaultsSchema, type RunnerFaults } from './runner-faults.js';
import { RunnerService } from './runner-service.js';

/** How a runner stand-in is set up. */
export interface RunnerOptions {
  listen?: string;
  id?: string;
  slots?: number;
  connections?: number;
  kinds?: string[];
  /** Service time where the body names none, in ms. */
  serviceMs?: number;
  /** Longest wait for requests in progress on a planned stop, in ms. */
  graceMs?: number;
  /** `IP:port` of the guard to announce itself to. */
  guard?: string;
  faults?: Partial<RunnerFaults>;
}

/** Stand-in of a runner. */
export interface RunnerStandIn extends StandIn<RunnerFaults> {
  readonly runner: Runner;
  ledger(): RunnerLedger;
}

/** Starts a runner in this process. */
export async function startRunner({
  listen = '127.0.0.1:0',
  id = 'runner-1',
  slots = 8,
  connections = 60,
  kinds = [],
  serviceMs = 10,
  graceMs = 0,
  guard,
  faults = {},
}: RunnerOptions = {}): Promise<RunnerStandIn> {
  const service = new RunnerService({
    slots,
    serviceMs,
    faults: runnerFaultsSchema.parse(faults),
  });
  const server = createServer(listen, { schema: runnerFaultsSchema, faults: service.faults });
  service.register(server);
  let announcer: Announcer | undefined;
  server.route({
    method: 'POST',
    path: '/withdraw',
    handler: async (_req, h) => {
      await announcer?.withdraw();
      return h.response().code(204);
    },
  });
  await server.start();
  const address = serverAddress(server);
  const runner = runnerSchema.parse({ type: 'runner', id, address, slots, connections, kinds });
  announcer = guard === undefined ? undefined : new Announcer({ guard, upstream: runner });
  void announcer?.start();
  const kill = async () => {
    announcer?.fallSilent();
    await closeServer(server);
  };
  return {
    address,
    runner,
    faults: service.faults,
    ledger: () => service.ledger.read(),
    close: async () => {
      await announcer?.withdraw();
      await closeServer(server, graceMs);
    },
    kill,
  };
}
