/** Clients that write raw bytes to one address, keep their connections open and never read. */
import { connect, type Socket } from 'node:net';
import { once } from 'node:events';

export interface RawClientsOptions {
  /** `IP:port`. */
  address: string;
  clients: number;
  /** What each connection sends; undefined: nothing. */
  payload: Buffer | undefined;
  /** How often a client connects again after its connection was closed. */
  reconnects: number;
}

/** A bounded number of connections, opened at once. */
export class RawClients {
  readonly #options: RawClientsOptions;

  readonly #open = new Set<Socket>();

  #stopped = false;

  constructor(options: RawClientsOptions) {
    this.#options = options;
  }

  start(): void {
    Array.from({ length: this.#options.clients }, () => this.#connect(this.#options.reconnects));
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    const closed = [...this.#open].map((socket) => once(socket, 'close'));
    this.#open.forEach((socket) => socket.destroy());
    await Promise.all(closed);
  }

  #connect(reconnects: number): void {
    const { address, payload } = this.#options;
    const [host = '', port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    this.#open.add(socket);
    socket.pause();
    // A connection that the process closes is no failure; the client connects again.
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.#open.delete(socket);
      if (!this.#stopped && reconnects > 0) this.#connect(reconnects - 1);
    });
    if (payload !== undefined) socket.write(payload);
  }
}
