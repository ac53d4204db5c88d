/** A runner on its machine over HTTP, life after life: sends heartbeats to the guard beside it and takes its calls. */
import { randomBytes } from 'node:crypto';
import { callJson, startJsonServer } from './json-http.mjs';
import { RunnerLife } from './runner-life.mjs';

/** Interval between heartbeats, in ms. */
const HEARTBEAT_MS = 1500;

/** A heartbeat that isn't acknowledged within this time failed, in ms. */
const HEARTBEAT_TIMEOUT_MS = 1000;

/** Longest wait of a call for an end, in ms. */
const MAX_WAIT_MS = 2000;

const ID_BYTES = 5;

const REFUSED = 409;
const OTHER_INSTANCE = 421;

/** What a runner reports as its room, unless told otherwise: thousandths of a core, MB, accelerators. */
export const DEFAULT_CAPACITY = { cpu: 64_000, mem_mb: 262_144, gpu: 8 };

/** A runner that can be crashed. */
export class Runner {
  #options;

  #life;

  #sequence = 0;

  #server;

  #timer;

  #closed = false;

  /** `name`: of its machine; `address`: where it takes calls; `guard`: where its heartbeats go. */
  constructor(options) {
    this.#options = { capacity: DEFAULT_CAPACITY, labels: ['a', 'r1-1'], ...options };
  }

  get name() {
    return this.#options.name;
  }

  /** Tasks that run there; none while it is down. */
  running() {
    return this.#life?.running() ?? [];
  }

  async start() {
    this.#server = await startJsonServer(this.#options.address, (call) => this.#serve(call));
    this.#beginLife();
  }

  /** Ends this life; the next one begins after `awayMs`. Until then nothing answers there. */
  crash(awayMs) {
    this.#options.record.add(this.name, 'runner crashed', { id: this.#life?.id });
    this.#life?.crash();
    this.#life = undefined;
    clearTimeout(this.#timer);
    setTimeout(() => this.#beginLife(), awayMs);
  }

  /** Sends a heartbeat with these fields changed. Resolves with the status of the answer. */
  async beat(changes = {}) {
    const life = this.#life;
    if (life === undefined) return 0;
    this.#sequence += 1;
    return this.sendBeat(life.id, { ...this.#report(life), ...changes });
  }

  /** Sends these bytes or this report as a heartbeat of an id. */
  async sendBeat(id, body) {
    const { status } = await callJson(this.#options.guard, {
      method: 'PUT',
      path: `/-/instances/${id}`,
      body,
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
    });
    return status;
  }

  async close() {
    this.#closed = true;
    clearTimeout(this.#timer);
    this.#life?.crash();
    await this.#server?.close();
  }

  #beginLife() {
    if (this.#closed) return;
    this.#sequence = 0;
    const { record, name, capacity, demandOf, workMsOf, checkpointMs, onEvent } = this.#options;
    const id = `i-${randomBytes(ID_BYTES).toString('hex')}`;
    this.#life = new RunnerLife({
      id,
      capacity,
      demandOf,
      workMsOf,
      checkpointMs,
      observe: (event, details) => {
        record.add(name, event, details);
        onEvent?.(event, { ...details, runner: id });
      },
    });
    record.add(name, 'runner began a life', { id });
    this.#beatAgain();
  }

  #beatAgain() {
    if (this.#closed) return;
    clearTimeout(this.#timer);
    void this.beat();
    this.#timer = setTimeout(() => this.#beatAgain(), HEARTBEAT_MS);
  }

  #report(life) {
    const { service, address, zone, capacity, labels } = this.#options;
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity,
      labels,
      clock_ms: life.clockMs,
      sequence: this.#sequence,
    };
  }

  async #serve({ method, path, headers, body }) {
    const life = this.#life;
    if (life === undefined) return 'reset';
    if (headers['x-expect-instance'] !== life.id) {
      return { status: OTHER_INSTANCE, body: { clock_ms: life.clockMs } };
    }
    switch (`${method} ${path}`) {
      case 'POST /-/run-start':
        return answerOf(life, life.start(body));
      case 'POST /-/run-stop':
        return answerOf(life, life.stop(body));
      case 'POST /-/pace':
        return answerOf(life, 'ok');
      case 'POST /-/hold':
        return hold(life, body);
      default:
        return { status: 404 };
    }
  }
}

async function hold(life, body) {
  const outcome = life.hold(body);
  if (outcome !== 'ok') return answerOf(life, outcome);
  const waitMs = Math.min(MAX_WAIT_MS, body.wait_ms ?? 0);
  if (waitMs > 0) await life.nextEnd(waitMs);
  return life.isOver ? 'reset' : { status: 200, body: life.listing() };
}

function answerOf({ clockMs }, outcome) {
  if (outcome === 'ok') return { status: 200, body: { clock_ms: clockMs } };
  return { status: REFUSED, body: { clock_ms: clockMs, reason: outcome } };
}
