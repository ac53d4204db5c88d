/** Entry point of the stand-ins' private binary: one stand-in per process. */
import { cac } from 'cac';
import * as z from 'zod';
import { startPlatform } from './platform/platform.js';
import { startProxy } from './proxy/proxy-server.js';
import { startRunner } from './runner/runner.js';
import { startWorker } from './worker/worker.js';

/** Longest wait of a runner for requests in progress after SIGTERM, in ms. */
const GRACE_MS = 10_000;

const count = z.coerce.number().int().min(0).optional();
const text = z.coerce.string().optional();

const runnerFlagsSchema = z.object({
  listen: text,
  guard: text,
  id: text,
  slots: count,
  connections: count,
  kinds: z
    .string()
    .transform((kinds) => kinds.split(','))
    .optional(),
  serviceMs: count,
  graceMs: count.default(GRACE_MS),
});

const workerFlagsSchema = z.object({
  listen: text,
  guard: text,
  id: text,
  rack: text,
  rackPosition: count,
  cores: count,
  memoryMb: count,
  accelerators: count,
  prepareMs: count,
  usageLagMs: count,
});

const platformFlagsSchema = z.object({ listen: text });

const proxyFlagsSchema = z.object({ listen: text, to: z.string(), admin: text });

const cli = cac('stand-ins');

cli
  .command('platform', 'Table service and object store in memory')
  .option('--listen <address>', 'IP:port, port 0 for any')
  .action((flags: unknown) => host(startPlatform(given(platformFlagsSchema, flags))));

cli
  .command('runner', 'Runner of short requests')
  .option('--listen <address>', 'IP:port, port 0 for any')
  .option('--guard <address>', 'Guard to announce itself to')
  .option('--id <name>', 'Its name')
  .option('--slots <n>', 'Requests at once')
  .option('--connections <n>', 'Connections at once')
  .option('--kinds <names>', 'Kinds it serves, with commas between; all if absent')
  .option('--service-ms <ms>', 'Service time where the body names none')
  .option('--grace-ms <ms>', 'Longest wait for requests in progress after SIGTERM')
  .action((flags: unknown) => host(startRunner(given(runnerFlagsSchema, flags))));

cli
  .command('worker', 'Worker that runs tasks under leases')
  .option('--listen <address>', 'IP:port, port 0 for any')
  .option('--guard <address>', 'Guard to announce itself to')
  .option('--id <name>', 'Its name')
  .option('--rack <name>', 'Its rack')
  .option('--rack-position <n>', 'Place of its rack in the row')
  .option('--cores <n>', 'Cores')
  .option('--memory-mb <mb>', 'Memory')
  .option('--accelerators <n>', 'Accelerators')
  .option('--prepare-ms <ms>', 'Time to prepare a task')
  .option('--usage-lag-ms <ms>', 'Lag of reported usage')
  .action((flags: unknown) => host(startWorker(given(workerFlagsSchema, flags))));

cli
  .command('proxy', 'TCP proxy that loses, delays or cuts')
  .option('--listen <address>', 'IP:port, port 0 for any')
  .option('--to <address>', 'Where connections go')
  .option('--admin <address>', 'Where PUT /faults is served')
  .action((flags: unknown) => host(startProxy(given(proxyFlagsSchema, flags))));

cli.help();
cli.parse();

/** The flags that were given, checked; the rest is left to the defaults. */
function given<T extends z.ZodObject>(schema: T, flags: unknown): Given<z.infer<T>> {
  const parsed = Object.entries(schema.parse(flags)).filter(([, value]) => value !== undefined);
  return Object.fromEntries(parsed) as Given<z.infer<T>>;
}

/** Flags without those that are absent. */
type Given<T> = { [K in keyof T]: Exclude<T[K], undefined> };

/** Says where it listens, then serves until SIGTERM or SIGINT. */
async function host(
  starting: Promise<{ address: string; admin?: string; close(): Promise<void> }>,
): Promise<void> {
  const standIn = await starting;
  const end = () => {
    void standIn.close().then(() => process.exit(0));
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
  const { address, admin } = standIn;
  console.log(JSON.stringify({ ready: true, address, ...(admin === undefined ? {} : { admin }) }));
}
