/** A runner over HTTP: reports to the guard beside it, is called by it, and may crash and come back under a new id. */
import { createHash } from 'node:crypto';
import { createServer, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { RunnerModel } from '@zincspan/stand-ins';

/** Interval between heartbeats, in ms. */
const HEARTBEAT_MS = 1500;

/** A heartbeat that isn't answered within this time isn't acknowledged, in ms. */
const HEARTBEAT_TIMEOUT_MS = 1000;

const MAX_LEASE_MS = 6000;

const ID_DIGITS = 10;

const OK = 200;
const BAD_REQUEST = 400;
const REFUSED = 409;
const OTHER_LIFE = 421;

/** One VM's runner over its successive lives. */
export class Runner {
  life;

  #options;

  #server;

  #lives = 0;

  #sequence = 0;

  #isAway = false;

  #isClosed = false;

  /** `slots`: tasks at once; `capacity` as reported; `control`: host and port where the guard takes heartbeats. */
  constructor(options) {
    this.#options = options;
    this.#server = createServer((req, res) => {
      this.#serve(req, res).catch((err) => answer(res, BAD_REQUEST, { error: String(err) }));
    });
  }

  async start() {
    const { host, port } = this.#options;
    await new Promise((resolve) => {
      this.#server.listen(port, host, resolve);
    });
    this.#beginLife();
    void this.#beat();
  }

  /** The runner crashes with all that runs on it, and is back after so long, in ms, under a new id. */
  async crash(awayMs) {
    this.#isAway = true;
    this.life.crash();
    this.#server.closeAllConnections();
    await sleep(awayMs);
    if (this.#isClosed) return;
    this.#beginLife();
    this.#isAway = false;
    await this.#sendHeartbeat();
  }

  close() {
    this.#isClosed = true;
    this.life?.crash();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #beginLife() {
    const { vm, slots, board, observer } = this.#options;
    this.#lives += 1;
    this.#sequence = 0;
    this.life = new RunnerModel({
      id: idOf(vm, this.#lives),
      slots,
      board,
      observer,
      holdMaxMs: MAX_LEASE_MS,
    });
  }

  async #beat() {
    while (!this.#isClosed) {
      if (!this.#isAway) await this.#sendHeartbeat();
      await sleep(HEARTBEAT_MS, undefined, { ref: false });
    }
  }

  async #sendHeartbeat() {
    const { control, host, port, service, failureDomain, rack, capacity, slots } = this.#options;
    this.#sequence += 1;
    await put(`http://${control}/-/instances/${this.life.id}`, {
      service,
      address: `${host}:${port}`,
      zone: failureDomain,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity,
      labels: ['a', rack],
      clock_ms: this.life.clockMs,
      sequence: this.#sequence,
    });
  }

  async #serve(req, res) {
    const parts = [];
    for await (const part of req) parts.push(part);
    const { life } = this;
    if (this.#isAway) {
      req.socket.destroy();
      return;
    }
    if (req.headers['x-expect-instance'] !== life.id) {
      answer(res, OTHER_LIFE, {});
      return;
    }
    const { status, body } = await carryOut(life, req.url, JSON.parse(Buffer.concat(parts)));
    if (this.life !== life || this.#isAway) req.socket.destroy();
    else answer(res, status, body);
  }
}

/** Carries out a call of the guard and returns the answer. */
async function carryOut(life, path, call) {
  const { task, run, fencing_token: term = 0 } = call;
  switch (path) {
    case '/-/run-start': {
      const { spec, checkpoint = '', deadline_ms: deadlineMs, ticket } = call;
      return reply(life, life.start({ task, run, spec, checkpoint, deadlineMs, term, ticket }));
    }
    case '/-/run-stop':
      return reply(life, life.stop({ task, run, term }));
    case '/-/pace':
      return reply(life, life.pace({ task, run, percent: call.percent, term }));
    case '/-/hold':
      return hold(life, call);
    default:
      return { status: BAD_REQUEST, body: {} };
  }
}

/** An id of the platform's form, a new one for each life. */
function idOf(vm, number) {
  const digest = createHash('sha256').update(`${vm} ${number}`).digest('hex');
  return `i-${digest.slice(0, ID_DIGITS)}`;
}

async function hold(life, call) {
  const { fencing_token: term = 0, last_seen: confirmed, deadline_ms: deadlineMs } = call;
  const word = life.hold({ term, confirmed, deadlineMs });
  if (word !== 'ok') return reply(life, word);
  if (call.wait_ms > 0) await life.ended(call.wait_ms);
  const running = life
    .running()
    .map(({ task, run, checkpoint, percent, load }) => [task, run, checkpoint, percent, load]);
  const finished = life
    .finished()
    .map(({ number, task, run, how, checkpoint }) => [number, task, run, how, checkpoint]);
  return { status: OK, body: { clock_ms: life.clockMs, running, finished } };
}

function reply({ clockMs }, word) {
  if (word === 'ok') return { status: OK, body: { clock_ms: clockMs } };
  return { status: REFUSED, body: { clock_ms: clockMs, reason: word } };
}

function answer(res, status, body) {
  if (res.destroyed || res.headersSent) return;
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Resolves also if nobody answers: the next heartbeat follows. */
function put(url, body) {
  return new Promise((resolve) => {
    const payload = JSON.stringify(body);
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(payload),
    };
    const req = request(url, { method: 'PUT', headers, timeout: HEARTBEAT_TIMEOUT_MS }, (res) => {
      res.resume();
      res.once('close', resolve);
    });
    req.once('timeout', () => req.destroy());
    req.once('error', resolve);
    req.end(payload);
  });
}
