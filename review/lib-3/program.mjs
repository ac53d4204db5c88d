/** One process of the system, started by the command of the deploy file. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

const RUN = {
  entry: ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/zincspan.mjs'],
  guard: ['--max-old-space-size=96', '--max-semi-space-size=4', 'target/zincspan.mjs'],
};

const ENV = { entry: { ZINCSPAN_POLICY: 'deploy/policy.jsonc' }, guard: {} };

/** What a started process gets of the caller's environment. */
const KEPT_VARIABLES = ['PATH', 'HOME', 'LANG'];

/** Messages of the system's log that go into the record. */
const RECORDED = [
  'starting',
  'started',
  'ownership taken',
  'ownership lost',
  'run lost',
  'contact with the owner failed',
  'orders received from the owner of a new term',
  'runner crashed',
  'runner crash counted against task',
  'cannot decode job row; ignoring it',
  'stopping run',
  'worker quarantined',
  'pace changed',
];

/** Nothing that was started here outlives the trial, however it ends. */
const LIVE = new Set();
process.once('exit', () => LIVE.forEach((child) => child.kill('SIGKILL')));

/** A process that can be killed and started again. */
export class Program {
  #options;

  #child;

  #watchers = new Set();

  #isOwner = false;

  constructor(options) {
    this.#options = options;
  }

  /** True while its log says that it owns the cell. */
  get isOwner() {
    return this.#isOwner;
  }

  get name() {
    return this.#options.name;
  }

  /** Starts it, also again. */
  start() {
    const { role, settingsFile, name, record } = this.#options;
    const kept = KEPT_VARIABLES.map((key) => [key, process.env[key] ?? '']);
    const env = { ...Object.fromEntries(kept), ...ENV[role], ZINCSPAN_CONFIG: settingsFile };
    const child = spawn(process.execPath, RUN[role], {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    LIVE.add(child);
    child.once('exit', (code, signal) => {
      LIVE.delete(child);
      record.note('process ended', { name, code, signal });
    });
    [child.stdout, child.stderr].forEach((stream) =>
      createInterface({ input: stream }).on('line', (line) => this.#onLine(line)),
    );
  }

  /** Resolves with the first log line from now on that has this message. */
  async logged(msg) {
    return new Promise((resolve) => {
      const watcher = (line) => {
        if (line.msg !== msg) return;
        this.#watchers.delete(watcher);
        resolve(line);
      };
      this.#watchers.add(watcher);
    });
  }

  /** Lets it stand still. */
  freeze() {
    this.#options.record.note('signal', { name: this.name, signal: 'SIGSTOP' });
    this.#child.kill('SIGSTOP');
  }

  /** Lets a frozen process go on. */
  resume() {
    this.#options.record.note('signal', { name: this.name, signal: 'SIGCONT' });
    this.#child.kill('SIGCONT');
  }

  /** Kills it without notice. */
  async kill() {
    await this.#end('SIGKILL');
  }

  /** Stops it as the platform does for planned work; resolves once it has ended. */
  async terminate() {
    await this.#end('SIGTERM');
  }

  async #end(signal) {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    this.#options.record.note('signal', { name: this.name, signal });
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
  }

  #onLine(text) {
    const line = parse(text);
    const { msg } = line;
    if (msg === 'ownership taken') this.#isOwner = true;
    if (msg === 'ownership lost' || msg === 'starting') this.#isOwner = false;
    if (RECORDED.includes(msg)) this.#options.record.note('log', pick(this.name, line));
    [...this.#watchers].forEach((watcher) => watcher(line));
  }
}

function pick(name, { msg, err, term, task, run, vm, runner, reason, key, outcome, all, percent }) {
  const detail = err?.message ?? err;
  const line = { name, msg, term, task, run, vm, runner, reason, err: detail, key, outcome, all };
  return { ...line, percent };
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return { msg: text };
  }
}
