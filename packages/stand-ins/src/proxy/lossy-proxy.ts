/** TCP proxy on loopback that loses, delays or cuts what passes through it, on command. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { parseListen } from '../server/http-server.js';
import { ProxiedConnection } from './proxied-connection.js';
import { proxyFaultsSchema, type ProxyFaults, type Silence } from './proxy-faults.js';

/** A proxy between `listen` and `to`. Faults may be changed in place. */
export class LossyProxy {
  readonly faults: ProxyFaults = proxyFaultsSchema.parse({});

  readonly #listen: { host: string; port: number };

  readonly #to: { host: string; port: number };

  readonly #server: Server;

  readonly #connections = new Set<ProxiedConnection>();

  #accepted = 0;

  constructor({ listen = '127.0.0.1:0', to }: { listen?: string; to: string }) {
    this.#listen = parseListen(listen);
    this.#to = parseListen(to);
    this.#server = createServer({ allowHalfOpen: true }, (client) => this.#accept(client));
  }

  /** `IP:port` it listens on, once started. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Connections open now. */
  get open(): number {
    return this.#connections.size;
  }

  /** Connections accepted so far. */
  get accepted(): number {
    return this.#accepted;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#listen, resolve);
    });
  }

  /** Silences the connections open now, for good; new ones follow `faults.silence`. */
  silenceOpen(directions: Silence): void {
    this.#connections.forEach((connection) => connection.silence(directions));
  }

  /** Cuts the connections open now. */
  cutOpen(): void {
    this.#connections.forEach((connection) => connection.cut());
  }

  async close(): Promise<void> {
    this.cutOpen();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  #accept(client: Socket): void {
    this.#accepted += 1;
    if (this.faults.refuse) {
      client.destroy();
      return;
    }
    const server = connect({ ...this.#to, allowHalfOpen: true });
    client.setNoDelay(true);
    server.setNoDelay(true);
    const connection = new ProxiedConnection({
      client,
      server,
      faults: this.faults,
      onClose: () => this.#connections.delete(connection),
    });
    this.#connections.add(connection);
  }
}
