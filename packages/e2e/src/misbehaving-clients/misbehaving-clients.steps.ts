import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import Wreck from '@hapi/wreck';
import { encodeFleetConfig, encodeFleetJob } from '@zincspan/stand-ins';
import { controlOf, frontOf, linksOf, metricsOf, readinessOf } from '../fleet/fleet-settings.js';
import { Fleet, SERVICE, type FleetProcess } from '../fleet/fleet.js';
import { FleetCaller, SOAK_HOST as HOST, type FleetAnswer } from '../soak/fleet-caller.js';
import { until } from '../support/until.js';
import { PAYLOADS } from './payloads.js';
import { UsageWatch } from './process-usage.js';
import { RawClients } from './raw-clients.js';

const STEP = { timeout: 90_000 };

const PREFIX = '/proofs/';
const KEY = 'ordinary-key';

/** As in deploy/system.toml, with less than the usual heap, so that few clients show what many would do. */
const NODE_ARGS = ['--max-old-space-size=64', '--max-semi-space-size=4'];

/** How long the clients send before anything is checked, in ms. */
const SENDING_MS = 3000;

/** How often each client connects again. */
const RECONNECTS = 3;

const ID_DIGITS = 16;

/** A listener of the fleet, and an ordinary request to it. */
interface Listener {
  role: 'entry' | 'guard';
  addressOf: (process: FleetProcess) => string;
  ordinary: { method: string; path: string; body?: object; status: number };
}

const HEARTBEAT = {
  service: SERVICE,
  address: '127.0.0.1:1',
  zone: 'hall-1',
  state: 'ready',
  sequence: 1,
};

const LISTENERS: Record<string, Listener> = {
  'the job API': {
    role: 'entry',
    addressOf: ({ vm }) => frontOf(vm),
    ordinary: { method: 'GET', path: `${PREFIX}${'0'.repeat(ID_DIGITS)}`, status: 410 },
  },
  readiness: {
    role: 'entry',
    addressOf: ({ vm }) => readinessOf(vm),
    ordinary: { method: 'GET', path: '/-/ready', status: 200 },
  },
  metrics: {
    role: 'entry',
    addressOf: ({ vm }) => metricsOf(vm),
    ordinary: { method: 'GET', path: '/metrics', status: 200 },
  },
  links: {
    role: 'entry',
    addressOf: ({ vm }) => linksOf(vm),
    ordinary: { method: 'GET', path: '/', status: 426 },
  },
  heartbeats: {
    role: 'guard',
    addressOf: ({ vm }) => controlOf(vm),
    ordinary: { method: 'PUT', path: '/-/instances/other', body: HEARTBEAT, status: 200 },
  },
};

interface ClientsWorld {
  fleet: Fleet;
  caller: FleetCaller;
  clients: RawClients;
  watch: UsageWatch;
  limits: { memoryMb: number; maxDescriptors: number };
}

function findListener(
  world: ClientsWorld,
  name: string,
): { listener: Listener; process: FleetProcess } {
  const listener = LISTENERS[name];
  assert.ok(listener, `No listener "${name}".`);
  const [process] = listener.role === 'entry' ? world.fleet.entries : world.fleet.workers;
  assert.ok(process, `No ${listener.role} in this scenario.`);
  return { listener, process };
}

async function callJobApi(
  { fleet, caller }: ClientsWorld,
  method: 'GET' | 'POST',
  id: string,
  body?: object,
): Promise<Extract<FleetAnswer, { outcome: 'answered' }> | undefined> {
  const [entry] = fleet.entries;
  assert.ok(entry);
  const path = `${PREFIX}${id}`;
  const answer = await caller.call(entry, { method, path, key: KEY, ...(body ? { body } : {}) });
  return answer.outcome === 'answered' ? answer : undefined;
}

async function completeJob(world: ClientsWorld, number: number): Promise<void> {
  const id = number.toString(16).padStart(ID_DIGITS, '0');
  const step = { tasks: 1, accelerators: 1, estimateMs: 100, gang: false, checkpointing: false };
  const spec = JSON.stringify({ number, workMs: 50, failRuns: 0, gangs: {}, checkpointMs: 0 });
  const body = encodeFleetJob(spec, [{ ...step, after: [] }]);
  await until(
    'the job to be accepted',
    async () => (await callJobApi(world, 'POST', id, body))?.status === 200,
  );
  await until('the job to complete', async () => {
    const answer = await callJobApi(world, 'GET', id);
    return (answer?.body as { state?: string } | undefined)?.state === 'completed';
  });
}

Given(
  'an entry, and a guard with its runner, on machines of {int} MB and {int} descriptors',
  STEP,
  async function (this: ClientsWorld, memoryMb: number, maxDescriptors: number) {
    this.limits = { memoryMb, maxDescriptors };
    this.fleet = await Fleet.start({
      entries: 1,
      workers: 1,
      observer: {},
      isKnown: () => true,
      limits: this.limits,
      nodeArgs: NODE_ARGS,
    });
    this.fleet.configure(
      encodeFleetConfig({
        version: 1,
        host: HOST,
        pathPrefix: PREFIX,
        service: SERVICE,
        maxAttempts: 3,
        account: 'crews',
        keys: [KEY],
      }),
    );
    this.caller = new FleetCaller();
    await completeJob(this, 1);
  },
);

When(
  /^(\d+) clients send (.+) to (\S+) of (.+)$/,
  STEP,
  async function (
    this: ClientsWorld,
    clients: string,
    payload: string,
    path: string,
    listenerName: string,
  ) {
    const { listener, process } = findListener(this, listenerName);
    const make = PAYLOADS[payload];
    assert.ok(make, `No payload "${payload}".`);
    this.watch = new UsageWatch({ pid: process.process.pid, ip: process.vm.ip });
    this.clients = new RawClients({
      address: listener.addressOf(process),
      clients: Number(clients),
      payload: make(path, HOST),
      reconnects: RECONNECTS,
    });
    this.clients.start();
    await sleep(SENDING_MS);
  },
);

Then(
  /^the process that serves (.+) has stayed within its machine$/,
  function (this: ClientsWorld, name: string) {
    const { process } = findListener(this, name);
    const { peak } = this.watch;
    assert.ok(
      process.process.running,
      `It has ended:\n${process.process.lines.slice(-5).join('\n')}`,
    );
    assert.ok(peak.memoryMb > 0 && peak.descriptors > 0, 'Nothing was measured.');
    assert.ok(peak.memoryMb <= this.limits.memoryMb, `It had ${peak.memoryMb} MB.`);
    const { descriptors } = peak;
    assert.ok(descriptors <= this.limits.maxDescriptors, `It had ${descriptors} descriptors open.`);
  },
);

Then(/^(.+) answers an ordinary request$/, STEP, async function (this: ClientsWorld, name: string) {
  const { listener, process } = findListener(this, name);
  const { method, path, body, status } = listener.ordinary;
  await until(`${name} to answer with ${status}`, async () => {
    const res = await Wreck.request(method, `http://${listener.addressOf(process)}${path}`, {
      timeout: 3000,
      headers: { host: HOST, authorization: `Token ${KEY}` },
      ...(body === undefined ? {} : { payload: JSON.stringify(body) }),
    });
    await Wreck.read(res, { timeout: 3000 });
    return res.statusCode === status;
  });
});

Then('an ordinary job is accepted and completes', STEP, async function (this: ClientsWorld) {
  await completeJob(this, 2);
});

After(STEP, async function (this: Partial<ClientsWorld>) {
  this.watch?.stop();
  await this.clients?.stop();
  this.caller?.close();
  await this.fleet?.stop();
});
