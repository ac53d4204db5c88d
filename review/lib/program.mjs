/** One program of the deploy file as a separate process: started, killed and started again. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url));

/** The commands of `deploy/system.toml`. */
const NODE_ARGS = {
  entry: ['--max-old-space-size=160', 'target/zincspan.mjs'],
  guard: ['--max-old-space-size=96', 'target/zincspan.mjs'],
};

const ENV = { entry: { ZINCSPAN_POLICY: 'deploy/policy.jsonc' }, guard: {} };

/** Variables that the platform passes on. */
const PASSED_VARIABLES = ['PATH', 'HOME', 'LANG'];

const live = new Set();
process.once('exit', () => live.forEach((child) => child.kill('SIGKILL')));

/** A program with its settings file. */
export class Program {
  #child;

  constructor({ name, role, settingsFile }) {
    this.name = name;
    this.role = role;
    this.settingsFile = settingsFile;
  }

  get pid() {
    return this.#child?.pid;
  }

  get isRunning() {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  start() {
    const passed = PASSED_VARIABLES.flatMap((name) =>
      process.env[name] === undefined ? [] : [[name, process.env[name]]],
    );
    const child = spawn(process.execPath, NODE_ARGS[this.role], {
      cwd: REPOSITORY,
      env: {
        ...Object.fromEntries(passed),
        ...ENV[this.role],
        ZINCSPAN_CONFIG: this.settingsFile,
      },
      stdio: 'ignore',
    });
    live.add(child);
    child.once('exit', () => live.delete(child));
    this.#child = child;
  }

  /** The process ends without notice. */
  async kill() {
    if (!this.isRunning) return;
    const exited = once(this.#child, 'exit');
    this.#child.kill('SIGKILL');
    await exited;
  }
}
