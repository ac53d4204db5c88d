/** One connection through the lossy proxy. */
import type { Socket } from 'node:net';
import { DelayLine } from './delay-line.js';
import type { ProxyFaults, Silence } from './proxy-faults.js';

/** Bytes both ways between a client and its server, until silenced or cut. */
export class ProxiedConnection {
  readonly #client: Socket;

  readonly #server: Socket;

  readonly #faults: ProxyFaults;

  readonly #silenced = { 'to-server': false, 'to-client': false };

  readonly #onClose: () => void;

  constructor({
    client,
    server,
    faults,
    onClose,
  }: {
    client: Socket;
    server: Socket;
    faults: ProxyFaults;
    onClose: () => void;
  }) {
    this.#client = client;
    this.#server = server;
    this.#faults = faults;
    this.#onClose = onClose;
    this.silence(faults.silence);
    this.#forward(client, server, 'to-server');
    this.#forward(server, client, 'to-client');
  }

  /** Swallows bytes in these directions from now on, for good. */
  silence(directions: Silence): void {
    if (directions !== 'to-client' && directions !== 'none') this.#silenced['to-server'] = true;
    if (directions !== 'to-server' && directions !== 'none') this.#silenced['to-client'] = true;
  }

  cut(): void {
    this.#client.destroy();
    this.#server.destroy();
  }

  #forward(from: Socket, to: Socket, direction: 'to-server' | 'to-client'): void {
    const line = new DelayLine();
    const later = (action: () => void) => line.add(this.#faults.delayMs, action);
    from.on('data', (bytes) => later(() => this.#pass(bytes, to, direction)));
    from.on('end', () => later(() => this.#pass(undefined, to, direction)));
    from.on('error', () => {});
    from.on('close', () => later(() => this.#closed(to, direction)));
  }

  /** Swallows the bytes, or the end of the stream, if the direction is silenced. */
  #pass(bytes: Buffer | undefined, to: Socket, direction: 'to-server' | 'to-client'): void {
    if (this.#silenced[direction] || to.destroyed) return;
    if (bytes === undefined) to.end();
    else to.write(bytes);
  }

  /** Whoever lost track of a connection doesn't tell the other end that it was closed either. */
  #closed(to: Socket, direction: 'to-server' | 'to-client'): void {
    if (!this.#silenced[direction]) to.destroySoon();
    if (this.#client.destroyed && this.#server.destroyed) this.#onClose();
  }
}
