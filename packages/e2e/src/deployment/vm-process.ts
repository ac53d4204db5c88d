/** One process of a deployment, started and watched by the harness. */
import { spawn, type ChildProcess } from 'node:child_process';
import { EventEmitter, on, once } from 'node:events';
import { createInterface } from 'node:readline';

/** What to start. `main` is a JavaScript file. */
export interface VmProcessOptions {
  name: string;
  main: string;
  args: string[];
  nodeArgs?: string[];
  /** Beside this process's own variables. */
  env?: Record<string, string>;
}

const KEPT_LINES = 20_000;

/** Nothing that was started here outlives the harness, however it ends. */
const LIVE = new Set<ChildProcess>();
process.once('exit', () => LIVE.forEach((child) => child.kill('SIGKILL')));

/** A child process whose lines can be awaited, and which can be killed, frozen and resumed. */
export class VmProcess {
  readonly name: string;

  readonly lines: string[] = [];

  #child: ChildProcess | undefined;

  readonly #output = new EventEmitter();

  readonly #options: VmProcessOptions;

  constructor(options: VmProcessOptions) {
    this.name = options.name;
    this.#options = options;
  }

  /** Kept after the process has ended. */
  get pid(): number {
    if (this.#child?.pid === undefined) throw new Error(`${this.name} isn't running.`);
    return this.#child.pid;
  }

  get running(): boolean {
    return (
      this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null
    );
  }

  /** Starts the process and resolves once a line of its output satisfies `ready`. */
  async start(ready: (line: string) => boolean, timeoutMs = 20_000): Promise<string> {
    this.#spawn();
    return this.line(ready, timeoutMs);
  }

  /** Resolves with the first line, from now on, that satisfies `matches`. */
  async line(matches: (line: string) => boolean, timeoutMs = 20_000): Promise<string> {
    const done = new AbortController();
    const signal = AbortSignal.any([done.signal, AbortSignal.timeout(timeoutMs)]);
    try {
      return await Promise.race([this.#matching(matches, signal), this.#exit(signal)]);
    } catch (err) {
      const why =
        (err as Error).name === 'AbortError' ? `nothing awaited within ${timeoutMs} ms` : `${err}`;
      throw new Error(`${this.name}: ${why}:\n${this.lines.slice(-20).join('\n')}`);
    } finally {
      done.abort();
    }
  }

  async #matching(matches: (line: string) => boolean, signal: AbortSignal): Promise<string> {
    for await (const [line] of on(this.#output, 'line', { signal })) {
      if (matches(line)) return line;
    }
    throw new Error('output ended');
  }

  async #exit(signal: AbortSignal): Promise<never> {
    if (this.#child !== undefined) await once(this.#child, 'exit', { signal });
    throw new Error('exited early');
  }

  /** Runs the process to its end. */
  async complete(): Promise<{ code: number | null; lines: string[] }> {
    const child = this.#spawn();
    await once(child, 'close');
    return { code: child.exitCode, lines: this.lines };
  }

  kill(): Promise<void> {
    return this.#signal('SIGKILL');
  }

  /** Planned stop; resolves with the exit code. */
  async terminate(): Promise<number | null> {
    await this.#signal('SIGTERM');
    return this.#child?.exitCode ?? null;
  }

  freeze(): void {
    process.kill(this.pid, 'SIGSTOP');
  }

  /** Its settings may have changed. */
  hangUp(): void {
    if (this.running) process.kill(this.pid, 'SIGHUP');
  }

  resume(): void {
    process.kill(this.pid, 'SIGCONT');
  }

  #spawn(): ChildProcess {
    const { main, args, nodeArgs = [], env = {} } = this.#options;
    const child = spawn(process.execPath, [...nodeArgs, main, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    [child.stdout, child.stderr].forEach((stream) => {
      createInterface({ input: stream }).on('line', (line) => this.#onLine(line));
    });
    this.#child = child;
    LIVE.add(child);
    child.once('exit', () => LIVE.delete(child));
    return child;
  }

  async #signal(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    if (child === undefined || !this.running) return;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
  }

  #onLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > KEPT_LINES) this.lines.shift();
    this.#output.emit('line', line);
  }
}
