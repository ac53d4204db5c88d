/** A runner stand-in over HTTP: one life at a time, with the rules of runs from the project's runner model. */
import { createServer, request } from 'node:http';
import { RunnerModel } from '@zincspan/stand-ins';
import { nowMs } from './record.mjs';

const HEARTBEAT_MS = 1500;
const HEARTBEAT_TIMEOUT_MS = 1000;
const HOLD_MAX_MS = 6000;
const STATUS = { ok: 200, refused: 409, wrongInstance: 421 };

/** Runs at once: more than any trial gives to one runner, so that only the scheduler limits them. */
const SLOTS = 2000;

/** The runner of one VM. */
export class Runner {
  #options;

  #server;

  #life;

  #lives = 0;

  #sequence = 0;

  #timer;

  #isAway = false;

  /** Unix time until which a draining runner goes on at least; undefined while it is ready. */
  #leavesAt;

  constructor(options) {
    this.#options = options;
    this.#beginLife();
  }

  /** Names its present life. */
  get id() {
    return this.#life.id;
  }

  /** Serves at its address and sends heartbeats. */
  async start() {
    const { host, port } = this.#options;
    this.#server = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => {
      this.#server.listen(port, host, resolve);
    });
    this.#beat();
  }

  /** Says that it leaves, at the earliest after this time, and goes on working. */
  drain(remainingMs) {
    this.#leavesAt = nowMs() + remainingMs;
    this.#options.record.note('runner drains', { runner: this.#life.id, remainingMs });
    this.#beat();
  }

  /** Loses all that runs; a new life begins after `awayMs`. */
  crash(awayMs) {
    this.#options.record.note('runner crashes', { runner: this.#life.id });
    this.#isAway = true;
    this.#life.crash();
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#isAway = false;
      this.#beginLife();
      this.#beat();
    }, awayMs);
  }

  /** Ends it, and what runs on it. */
  stop() {
    clearTimeout(this.#timer);
    this.#isAway = true;
    this.#life.crash();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #beginLife() {
    const { machine, board, record, watch, Life = RunnerModel } = this.#options;
    this.#lives += 1;
    this.#sequence = 0;
    const log =
      (what) =>
      ({ life, task, run }, how) => {
        record.note(what, { runner: life, task, run, ...(how === undefined ? {} : { how }) });
        watch?.(what, { runner: life, task, run, how });
      };
    this.#life = new Life({
      id: `i-${machine}-${this.#lives}`,
      slots: SLOTS,
      holdMaxMs: HOLD_MAX_MS,
      board,
      observer: {
        onStart: log('run starts'),
        onEnd: log('run ends'),
        onConfirmed: (life, { task, run, how }) => log('end confirmed')({ life, task, run }, how),
        onLapse: (life) => record.note('lease lapses', { runner: life }),
      },
    });
  }

  #beat() {
    clearTimeout(this.#timer);
    const { service, host, port, zone, capacity, labels, guard, machine } = this.#options;
    this.#sequence += 1;
    const isDraining = this.#leavesAt !== undefined;
    send(guard, `/-/instances/${this.#life.id}`, {
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: isDraining ? 'draining' : 'ready',
      ...(isDraining ? { remaining_ms: Math.max(0, Math.round(this.#leavesAt - nowMs())) } : {}),
      cold_remaining_ms: 0,
      capacity,
      labels,
      machine,
      clock_ms: this.#life.clockMs,
      sequence: this.#sequence,
    });
    this.#timer = setTimeout(() => this.#beat(), HEARTBEAT_MS);
  }

  async #serve(req, res) {
    const call = JSON.parse(await readAll(req));
    if (this.#isAway) {
      res.destroy();
      return;
    }
    const life = this.#life;
    if (req.headers['x-expect-instance'] !== life.id) {
      answer(res, STATUS.wrongInstance, {});
      return;
    }
    const word = carryOut(life, req.url, call);
    if (word !== 'ok') {
      answer(res, STATUS.refused, { clock_ms: life.clockMs, reason: word });
      return;
    }
    if (req.url === '/-/hold' && call.wait_ms > 0) await life.ended(call.wait_ms);
    if (life !== this.#life || this.#isAway) res.destroy();
    else answer(res, STATUS.ok, req.url === '/-/hold' ? listing(life) : { clock_ms: life.clockMs });
  }
}

function carryOut(life, path, call) {
  const { task, run, fencing_token: term = 0 } = call;
  switch (path) {
    case '/-/run-start': {
      const { spec, checkpoint = '', deadline_ms: deadlineMs } = call;
      return life.start({ task, run, spec, checkpoint, deadlineMs, term });
    }
    case '/-/run-stop':
      return life.stop({ task, run, term });
    case '/-/pace':
      return life.pace({ task, run, percent: call.percent, term });
    default:
      return life.hold({ term, confirmed: call.last_seen, deadlineMs: call.deadline_ms });
  }
}

function listing(life) {
  const running = life.running();
  return {
    clock_ms: life.clockMs,
    running: running.map(({ task, run, checkpoint, percent, load }) => [
      task,
      run,
      checkpoint,
      percent,
      load,
    ]),
    finished: life
      .finished()
      .map(({ number, task, run, how, checkpoint }) => [number, task, run, how, checkpoint]),
  };
}

function answer(res, status, body) {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/** A heartbeat; one that isn't acknowledged is followed by the next. */
function send(address, path, body) {
  const [host, port] = address.split(':');
  const options = { host, port, path, method: 'PUT', timeout: HEARTBEAT_TIMEOUT_MS };
  const req = request({ ...options, headers: { 'content-type': 'application/json' } }, (res) =>
    res.resume(),
  );
  req.on('timeout', () => req.destroy());
  req.on('error', () => undefined);
  req.end(JSON.stringify(body));
}

async function readAll(stream) {
  const parts = [];
  for await (const part of stream) parts.push(part);
  return Buffer.concat(parts).toString('utf8') || '{}';
}
