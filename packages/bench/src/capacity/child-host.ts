/** A child process of the bench that answers one order after the other over its IPC channel. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

/** Starts one of the bench's own programs. */
export class ChildHost<Order, Answer> {
  readonly #child: ChildProcess;

  constructor({ main, arg, nodeArgs = [] }: { main: string; arg: unknown; nodeArgs?: string[] }) {
    const file = fileURLToPath(new URL(main, import.meta.url));
    this.#child = fork(file, [JSON.stringify(arg)], { execArgv: nodeArgs });
  }

  get pid(): number {
    if (this.#child.pid === undefined) throw new Error('The host did not start.');
    return this.#child.pid;
  }

  /** Sends an order and awaits its answer; one at a time. Rejects if the host ends. */
  async ask(order: Order): Promise<Answer> {
    const over = new AbortController();
    const { signal } = over;
    try {
      const answer = once(this.#child, 'message', { signal });
      const exit = once(this.#child, 'exit', { signal }).then(() => {
        throw new Error('A host of the bench ended early.');
      });
      this.#child.send(order as object);
      const [message] = (await Promise.race([answer, exit])) as [Answer];
      exit.catch(() => {});
      return message;
    } finally {
      over.abort();
    }
  }

  async stop(): Promise<void> {
    if (this.#child.exitCode !== null) return;
    const exited = once(this.#child, 'exit');
    this.#child.kill('SIGKILL');
    await exited;
  }
}

/** In the child: answers each order. */
export function answerOrders<Order, Answer>(answer: (order: Order) => Promise<Answer>): void {
  process.on('message', (order) => {
    answer(order as Order).then(
      (done) => process.send?.(done as object),
      (err: unknown) => {
        console.error(err);
        process.exitCode = 1;
        process.disconnect();
        // Open links would keep it alive.
        process.kill(process.pid);
      },
    );
  });
}

/** In the child: the argument that the host was started with. */
export function hostArgument<T>(): T {
  return JSON.parse(process.argv[2] ?? '{}') as T;
}
