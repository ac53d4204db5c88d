/** A VM's runner over HTTP, life after life: it reports to the guard beside it and is called by it. */
import type Hapi from '@hapi/hapi';
import Wreck from '@hapi/wreck';
import * as z from 'zod';
import { closeServer, createServer, serverAddress } from '../server/http-server.js';
import { delay } from '../server/delay.js';
import { cutConnection, neverAnswer } from '../server/raw-answer.js';
import type { StandIn } from '../server/stand-in.js';
import type { GangBoard } from './gang-board.js';
import { RunnerModel, type RunnerObserver } from './runner-model.js';

const BAD_REQUEST = 400;
const REFUSED = 409;
const WRONG_LIFE = 421;
const UNAVAILABLE = 503;

/** A heartbeat is acknowledged within this time or isn't, in ms. */
const BEAT_TIMEOUT_MS = 1000;

/** A draining runner goes on for this long after it was heard, in ms. */
const DRAIN_MS = 2500;

/** A runner that a task crashed is back as another life after this time, in ms. */
const AWAY_MS = 1500;

/** Longest wait for an end, in ms. */
const MOST_WAIT_MS = 2000;

const faultsSchema = z.strictObject({
  /** Calls are answered with 503, or not at all. */
  down: z.enum(['no', 'unhealthy', 'silent']).default('no'),
  /** Of so many orders each is carried out late and not answered; 0: none. */
  lateEach: z.int().min(0).default(0),
  lateMs: z.number().min(0).default(2500),
  /** Heartbeats aren't sent. */
  mute: z.boolean().default(false),
});
/** What a runner does wrong. */
export type FleetRunnerFaults = z.infer<typeof faultsSchema>;

const startSchema = z.object({
  task: z.string(),
  run: z.int(),
  spec: z.string(),
  deadline_ms: z.number(),
  fencing_token: z.number().default(0),
  checkpoint: z.string().default(''),
  ticket: z.optional(z.string()),
});

const stopSchema = z.object({
  task: z.string(),
  run: z.int(),
  fencing_token: z.number().default(0),
});

const paceSchema = stopSchema.extend({ percent: z.number().min(0).max(100) });

const holdSchema = z.object({
  fencing_token: z.number().default(0),
  last_seen: z.int(),
  deadline_ms: z.optional(z.number()),
  wait_ms: z.int().max(MOST_WAIT_MS).default(0),
});

/** What a runner is made of. */
export interface FleetRunnerOptions {
  /** The VM; lives are numbered after it. */
  vm: string;
  listen?: string;
  /** Where the guard takes heartbeats. */
  guard: string;
  /** Address that the guard is told, if it isn't the own one. */
  advertised?: (address: string) => Promise<string>;
  service: string;
  failureDomain: string;
  rack: string;
  slots?: number;
  heartbeatMs?: number;
  holdMaxMs?: number;
  board: GangBoard;
  observer?: RunnerObserver;
  /** A start of a task that nobody knows is refused. */
  isKnown?: (task: string, spec: string) => boolean;
}

/** A runner that the host may crash, replace and drain. */
export interface FleetRunner extends StandIn<FleetRunnerFaults> {
  readonly life: RunnerModel;
  /** It crashes and comes back as another life. */
  replace(options?: ReturnOptions): void;
  /** It says that it leaves, goes on a while, and comes back as another life. */
  drain(options?: ReturnOptions): Promise<void>;
}

/** How a runner comes back. */
export interface ReturnOptions {
  /** Under the id that it had: only its birth tells the lives apart. Otherwise under a new one, the default. */
  keepsId?: boolean;
}

class RunnerServer implements FleetRunner {
  readonly faults = faultsSchema.parse({});

  readonly #options: Required<Omit<FleetRunnerOptions, 'observer'>> & { observer: RunnerObserver };

  readonly #server: Hapi.Server;

  #life: RunnerModel;

  #lives = 0;

  #lastBornMs = 0;

  /** Crashes that tasks caused. */
  #crashes = 0;

  #address = '';

  #sequence = 0;

  #orders = 0;

  #draining = false;

  /** It has crashed and isn't back yet. */
  #away = false;

  #timer: NodeJS.Timeout | undefined;

  #closed = false;

  constructor(options: FleetRunnerOptions) {
    this.#options = {
      listen: '127.0.0.1:0',
      advertised: (address) => Promise.resolve(address),
      slots: 8,
      heartbeatMs: 500,
      holdMaxMs: 6000,
      observer: {},
      isKnown: () => true,
      ...options,
    };
    this.#life = this.#newLife({ keepsId: false });
    this.#server = createServer(this.#options.listen, {
      schema: faultsSchema,
      faults: this.faults,
    });
    this.#server.route([
      { method: 'POST', path: '/-/run-start', handler: (req, h) => this.#start(req, h) },
      { method: 'POST', path: '/-/run-stop', handler: (req, h) => this.#stop(req, h) },
      { method: 'POST', path: '/-/pace', handler: (req, h) => this.#pace(req, h) },
      { method: 'POST', path: '/-/hold', handler: (req, h) => this.#hold(req, h) },
    ]);
  }

  get address(): string {
    return this.#address;
  }

  get life(): RunnerModel {
    return this.#life;
  }

  async start(): Promise<void> {
    await this.#server.start();
    this.#address = await this.#options.advertised(serverAddress(this.#server));
    await this.#beat();
  }

  replace({ keepsId = false }: ReturnOptions = {}): void {
    this.#life.crash();
    this.#draining = false;
    this.#sequence = 0;
    this.#life = this.#newLife({ keepsId });
  }

  async drain(options: ReturnOptions = {}): Promise<void> {
    const { life } = this;
    this.#draining = true;
    await delay(DRAIN_MS);
    // It was replaced meanwhile.
    if (life !== this.#life || this.#closed) return;
    await this.#send('DELETE', life.id);
    if (life === this.#life) this.replace(options);
  }

  async close(): Promise<void> {
    this.#closed = true;
    clearTimeout(this.#timer);
    this.#life.crash();
    await closeServer(this.#server);
  }

  kill(): Promise<void> {
    return this.close();
  }

  #newLife({ keepsId }: Required<ReturnOptions>): RunnerModel {
    const { vm, slots, board, holdMaxMs, observer } = this.#options;
    if (!keepsId) this.#lives += 1;
    this.#lastBornMs = Math.max(this.#lastBornMs + 1, Date.now());
    return new RunnerModel({
      id: `${vm}-life-${this.#lives}`,
      bornMs: this.#lastBornMs,
      slots,
      board,
      holdMaxMs,
      observer,
      onCrash: () => this.#crash(),
    });
  }

  #crash(): void {
    const { life } = this;
    this.#crashes += 1;
    this.#away = true;
    life.crash();
    setTimeout(() => {
      if (this.#closed) return;
      this.#away = false;
      // By turns under a new id and under the same.
      if (life === this.#life) this.replace({ keepsId: this.#crashes % 2 === 0 });
    }, AWAY_MS);
  }

  async #beat(): Promise<void> {
    if (this.#closed) return;
    const { service, failureDomain: zone, rack, slots, heartbeatMs } = this.#options;
    this.#sequence += 1;
    if (!this.faults.mute && !this.#away) {
      await this.#send('PUT', this.#life.id, {
        service,
        address: this.#address,
        zone,
        version: 'v1',
        slots,
        state: this.#draining ? 'draining' : 'ready',
        ...(this.#draining ? { remaining_ms: DRAIN_MS } : {}),
        cold_remaining_ms: 0,
        capacity: { cpu: 64_000, mem_mb: 256_000, gpu: slots },
        labels: ['a', rack],
        clock_ms: this.#life.clockMs,
        born: this.#life.bornMs,
        sequence: this.#sequence,
      });
    }
    this.#timer = setTimeout(() => {
      void this.#beat();
    }, heartbeatMs);
  }

  async #send(method: 'PUT' | 'DELETE', id: string, payload?: object): Promise<void> {
    try {
      const url = `http://${this.#options.guard}/-/instances/${id}`;
      const body = payload === undefined ? {} : { payload };
      const res = await Wreck.request(method, url, { timeout: BEAT_TIMEOUT_MS, ...body });
      await Wreck.read(res, { timeout: BEAT_TIMEOUT_MS });
    } catch {
      // The guard is away; the next heartbeat finds it, or its next life at the same address.
    }
  }

  async #start(req: Hapi.Request, h: Hapi.ResponseToolkit): Promise<Hapi.Lifecycle.ReturnValue> {
    const call = startSchema.parse(req.payload);
    const { task, run, spec, checkpoint, ticket } = call;
    if (!this.#options.isKnown(task, spec)) {
      return h.response({ reason: 'unknown' }).code(BAD_REQUEST);
    }
    const order = (life: RunnerModel): string =>
      life.start({
        task,
        run,
        spec,
        checkpoint,
        deadlineMs: call.deadline_ms,
        term: call.fencing_token,
        ...(ticket === undefined ? {} : { ticket }),
      });
    return this.#order(req, h, order);
  }

  async #stop(req: Hapi.Request, h: Hapi.ResponseToolkit): Promise<Hapi.Lifecycle.ReturnValue> {
    const { task, run, fencing_token: term } = stopSchema.parse(req.payload);
    return this.#order(req, h, (life) => life.stop({ task, run, term }));
  }

  async #pace(req: Hapi.Request, h: Hapi.ResponseToolkit): Promise<Hapi.Lifecycle.ReturnValue> {
    const { task, run, percent, fencing_token: term } = paceSchema.parse(req.payload);
    return this.#order(req, h, (life) => life.pace({ task, run, percent, term }));
  }

  async #hold(req: Hapi.Request, h: Hapi.ResponseToolkit): Promise<Hapi.Lifecycle.ReturnValue> {
    const fault = this.#fault(req, h);
    if (fault !== undefined) return fault;
    const { life } = this;
    const call = holdSchema.parse(req.payload);
    const { fencing_token: term, last_seen: confirmed, deadline_ms: deadlineMs } = call;
    const word = life.hold({ term, confirmed, deadlineMs });
    if (word !== 'ok') return refuse(h, life, word);
    if (call.wait_ms > 0) await life.ended(call.wait_ms);
    if (this.#life !== life || this.#closed || this.#away) return cutConnection(req, h);
    return {
      clock_ms: life.clockMs,
      born: life.bornMs,
      running: life
        .running()
        .map(({ task, run, checkpoint, percent, load }) => [task, run, checkpoint, percent, load]),
      finished: life
        .finished()
        .map(({ number, task, run, how, checkpoint }) => [number, task, run, how, checkpoint]),
    };
  }

  #order(
    req: Hapi.Request,
    h: Hapi.ResponseToolkit,
    carryOut: (life: RunnerModel) => string,
  ): Hapi.Lifecycle.ReturnValue {
    const fault = this.#fault(req, h);
    if (fault !== undefined) return fault;
    const { life } = this;
    const { lateEach, lateMs } = this.faults;
    this.#orders += 1;
    if (lateEach > 0 && this.#orders % lateEach === 0) {
      setTimeout(() => {
        // Another life may be there by then: it takes what was meant for its id.
        if (this.#life.id === life.id && !this.#away) carryOut(this.#life);
      }, lateMs);
      return neverAnswer(h);
    }
    const word = carryOut(life);
    return word === 'ok' ? { clock_ms: life.clockMs } : refuse(h, life, word);
  }

  /** What a call gets that isn't served; undefined if it is. */
  #fault(req: Hapi.Request, h: Hapi.ResponseToolkit): Hapi.Lifecycle.ReturnValue | undefined {
    if (this.#away) return cutConnection(req, h);
    if (this.faults.down === 'silent') return neverAnswer(h);
    if (this.faults.down === 'unhealthy') return h.response({}).code(UNAVAILABLE);
    const expected = req.raw.req.headers['x-expect-instance'];
    return expected === this.#life.id ? undefined : h.response().code(WRONG_LIFE);
  }
}

/** Starts one in this process. */
export async function startFleetRunner(options: FleetRunnerOptions): Promise<FleetRunner> {
  const runner = new RunnerServer(options);
  await runner.start();
  return runner;
}

function refuse(
  h: Hapi.ResponseToolkit,
  { clockMs }: RunnerModel,
  reason: string,
): Hapi.ResponseObject {
  return h.response({ clock_ms: clockMs, reason }).code(REFUSED);
}
