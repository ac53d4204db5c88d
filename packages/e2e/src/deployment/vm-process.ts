/** One process of a deployment, started and watched by the harness. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

/** What to start. `main` is a JavaScript file. */
export interface VmProcessOptions {
  name: string;
  main: string;
  args: string[];
  nodeArgs?: string[];
}

const KEPT_LINES = 400;

/** A child process whose lines can be awaited, and which can be killed, frozen and resumed. */
export class VmProcess {
  readonly name: string;

  readonly lines: string[] = [];

  #child: ChildProcess | undefined;

  #watchers = new Set<(line: string) => void>();

  readonly #options: VmProcessOptions;

  constructor(options: VmProcessOptions) {
    this.name = options.name;
    this.#options = options;
  }

  get pid(): number {
    if (this.#child?.pid === undefined) throw new Error(`${this.name} isn't running.`);
    return this.#child.pid;
  }

  get running(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Starts the process and resolves once a line of its output satisfies `ready`. */
  async start(ready: (line: string) => boolean, timeoutMs = 20_000): Promise<string> {
    const { main, args, nodeArgs = [] } = this.#options;
    this.#child = spawn(process.execPath, [...nodeArgs, main, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    [this.#child.stdout, this.#child.stderr].forEach((stream) => {
      if (stream !== null) createInterface({ input: stream }).on('line', (line) => this.#onLine(line));
    });
    return this.line(ready, timeoutMs);
  }

  /** Resolves with the first line, from now on, that satisfies `matches`. */
  line(matches: (line: string) => boolean, timeoutMs = 20_000): Promise<string> {
    return new Promise((resolve, reject) => {
      const child = this.#child;
      const finish = (settle: () => void): void => {
        clearTimeout(timer);
        this.#watchers.delete(watch);
        child?.off('exit', onExit);
        settle();
      };
      const watch = (line: string): void => {
        if (matches(line)) finish(() => resolve(line));
      };
      const fail = (why: string): void => {
        finish(() => reject(new Error(`${this.name} ${why}:\n${this.lines.slice(-20).join('\n')}`)));
      };
      const onExit = (): void => fail('exited early');
      const timer = setTimeout(() => fail(`said nothing awaited within ${timeoutMs} ms`), timeoutMs);
      this.#watchers.add(watch);
      child?.once('exit', onExit);
    });
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

  resume(): void {
    process.kill(this.pid, 'SIGCONT');
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
    [...this.#watchers].forEach((watch) => watch(line));
  }
}
